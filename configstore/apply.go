package configstore

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/objectapi"
)

const (
	// ApplyTimeout bounds Store.Apply.
	ApplyTimeout = 20 * time.Second
	// staleWait is how long Apply reads the head again when it is older than
	// the expected epoch: the reader may lag behind the writer.
	staleWait = 2 * time.Second
)

// ApplyResult says which epoch a change made.
type ApplyResult struct {
	Epoch model.Epoch
	// AlreadyAccepted means that the change had been accepted by an earlier call.
	AlreadyAccepted bool
}

// errHeadMoved means that the head has a new version with the same epoch.
var errHeadMoved = errors.New("the head was rewritten by a garbage collection")

// Apply accepts a change if the current epoch is the expected one; 0 stands
// for the empty configuration. It writes the missing chunks and then makes one
// conditional update of the head. If the reply to that is lost, it reads the
// head and looks for the change's ID.
//
// Errors: *snapshot.ValidationError, *ConflictError, *ReusedIDError and
// *NotAcceptedError mean that the change was not accepted;
// *UnknownResultError means that it may have been.
func (s *Store) Apply(ctx context.Context, c snapshot.Change, expected model.Epoch) (ApplyResult, error) {
	c.Put = c.Put.Normalized()
	if err := c.Validate(); err != nil {
		return ApplyResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	for {
		r, err := s.applyOnce(ctx, c, expected)
		if !errors.Is(err, errHeadMoved) {
			return r, err
		}
	}
}

func (s *Store) applyOnce(ctx context.Context, c snapshot.Change, expected model.Epoch) (ApplyResult, error) {
	base, err := s.headSince(ctx, expected)
	if err != nil {
		return ApplyResult{}, &NotAcceptedError{ChangeID: c.ID, Err: err}
	}
	if a, ok := base.find(c.ID); ok {
		return receipt(a, c, true)
	}
	if base.Epoch != expected {
		return ApplyResult{}, conflict(base.Head, expected)
	}
	head, chunks, err := s.prepare(ctx, base, c)
	if err != nil {
		return ApplyResult{}, err
	}
	if err := s.writeChunks(ctx, base.Chunks, chunks); err != nil {
		return ApplyResult{}, &NotAcceptedError{ChangeID: c.ID, Err: err}
	}
	data, err := head.encode()
	if err != nil {
		return ApplyResult{}, &NotAcceptedError{ChangeID: c.ID, Err: err}
	}
	u := headUpdate{store: s, change: c, expected: expected, base: base.Version, data: data}
	r, err := u.run(ctx)
	if err == nil {
		s.remember(chunks)
	}
	return r, err
}

// headSince reads the head; if it is older than the epoch, it reads again for
// up to staleWait.
func (s *Store) headSince(ctx context.Context, e model.Epoch) (StoredHead, error) {
	deadline := time.Now().Add(staleWait)
	for attempt := 0; ; attempt++ {
		head, err := s.Head(ctx)
		if err != nil || head.Epoch >= e || time.Now().After(deadline) {
			return head, err
		}
		if !pause(ctx, retryDelay(attempt, nil)) {
			return head, ctx.Err()
		}
	}
}

// prepare returns the next head and its chunks.
func (s *Store) prepare(ctx context.Context, base StoredHead, c snapshot.Change) (Head, snapshot.Chunks, error) {
	var current *snapshot.Snapshot
	if base.Version != 0 {
		var err error
		if current, err = s.snapshotOf(ctx, base.Head); err != nil {
			return Head{}, nil, &NotAcceptedError{ChangeID: c.ID, Err: err}
		}
	}
	next, err := current.Apply(c)
	if err != nil {
		return Head{}, nil, err
	}
	manifest, chunks, err := snapshot.Resplit(next.Objects, base.Chunks, c.Refs())
	if err != nil {
		return Head{}, nil, &NotAcceptedError{ChangeID: c.ID, Err: err}
	}
	maps.Copy(chunks, s.known(manifest))
	head, err := base.next(c, next, manifest)
	if err != nil {
		return Head{}, nil, &NotAcceptedError{ChangeID: c.ID, Err: err}
	}
	return head, chunks, nil
}

func receipt(a AcceptedChange, c snapshot.Change, repeated bool) (ApplyResult, error) {
	digest, err := digestOf(c)
	if err != nil {
		return ApplyResult{}, &NotAcceptedError{ChangeID: c.ID, Err: err}
	}
	if digest != a.Digest {
		return ApplyResult{}, &ReusedIDError{Accepted: a}
	}
	return ApplyResult{Epoch: a.Epoch, AlreadyAccepted: repeated}, nil
}

func conflict(h Head, expected model.Epoch) error {
	changes, complete := h.since(expected)
	return &ConflictError{Expected: expected, Current: h.Epoch, Changes: changes, Complete: complete}
}

// headUpdate is one conditional update of the head and its resolution.
type headUpdate struct {
	store    *Store
	change   snapshot.Change
	expected model.Epoch
	base     objectapi.Version
	data     []byte
	// lost is the last failure after which the update may have taken effect.
	lost error
}

// run makes the update. After a lost reply it reads the head: the change is
// listed, or the head has moved on without it, or the head is still the base.
// In the last case it makes the same update again, conditional on the same
// version, so that at most one of the two can take effect.
func (u *headUpdate) run(ctx context.Context) (ApplyResult, error) {
	for attempt := 0; ; attempt++ {
		_, err := u.store.api.Put(ctx, HeadKey, u.data, u.base)
		if err == nil {
			return ApplyResult{Epoch: u.expected + 1}, nil
		}
		var c *objectapi.ConflictError
		if errors.As(err, &c) {
			return u.resolve(ctx, c.Current)
		}
		if !transient(err) {
			return ApplyResult{}, u.failed(err)
		}
		if errors.Is(err, objectapi.ErrUnavailable) {
			u.lost = err
			if r, err, done := u.check(ctx); done {
				return r, err
			}
		}
		if !pause(ctx, retryDelay(attempt, err)) {
			return ApplyResult{}, u.failed(err)
		}
	}
}

// failed returns the error for a change that run gives up on.
func (u *headUpdate) failed(err error) error {
	if u.lost != nil {
		return &UnknownResultError{ChangeID: u.change.ID, Err: u.lost}
	}
	return &NotAcceptedError{ChangeID: u.change.ID, Err: err}
}

// check reads the head once after a lost reply. It is done unless the head is
// still the base or could not be read.
func (u *headUpdate) check(ctx context.Context) (ApplyResult, error, bool) {
	head, err := u.store.Head(ctx)
	if err != nil || head.Version <= u.base {
		return ApplyResult{}, nil, false
	}
	r, err := u.settle(head)
	return r, err, true
}

// resolve reads the head until it is at least at the version that the update
// conflicted with; an older one comes from a lagging reader.
func (u *headUpdate) resolve(ctx context.Context, current objectapi.Version) (ApplyResult, error) {
	for attempt := 0; ; attempt++ {
		head, err := u.store.Head(ctx)
		if err == nil && head.Version >= current {
			return u.settle(head)
		}
		if !pause(ctx, retryDelay(attempt, err)) {
			return ApplyResult{}, u.failed(&objectapi.ConflictError{Key: HeadKey, Expected: u.base, Current: current})
		}
	}
}

// settle decides by a head that is newer than the base, so that the update can
// no longer take effect if it has not yet.
func (u *headUpdate) settle(head StoredHead) (ApplyResult, error) {
	if a, ok := head.find(u.change.ID); ok {
		return receipt(a, u.change, u.lost == nil)
	}
	if head.Epoch == u.expected {
		return ApplyResult{}, errHeadMoved
	}
	if _, complete := head.since(u.expected); !complete && u.lost != nil {
		return ApplyResult{}, u.failed(u.lost)
	}
	return ApplyResult{}, conflict(head.Head, u.expected)
}

// writeChunks makes sure that those chunks exist that the base does not name.
func (s *Store) writeChunks(ctx context.Context, base snapshot.Manifest, chunks snapshot.Chunks) error {
	named := map[snapshot.ChunkName]bool{}
	for _, name := range base.Names() {
		named[name] = true
	}
	var names []snapshot.ChunkName
	for name := range chunks {
		if !named[name] {
			names = append(names, name)
		}
	}
	return fetch(ctx, snapshot.Chunks{}, names, func(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
		return nil, s.writeChunk(ctx, name, chunks[name])
	})
}

// writeChunk creates a chunk. One that exists is written again with the same
// data: that raises its version, so that a garbage collection that found it
// unused before cannot delete it (see Collector).
func (s *Store) writeChunk(ctx context.Context, name snapshot.ChunkName, data []byte) error {
	var expected objectapi.Version
	return repeat(ctx, func() error {
		for {
			_, err := s.api.Put(ctx, ChunkKey(name), data, expected)
			var c *objectapi.ConflictError
			if !errors.As(err, &c) {
				return err
			}
			expected = c.Current
		}
	})
}
