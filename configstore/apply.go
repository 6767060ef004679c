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
	// ApplyTimeout is the time limit of Store.Apply.
	ApplyTimeout = 20 * time.Second
	// staleReadTimeout is how long Apply rereads a head that is older than the
	// expected epoch. Reads from the object API may lag behind writes.
	staleReadTimeout = 2 * time.Second
)

// ApplyResult is the result of an accepted change.
type ApplyResult struct {
	// Epoch is the epoch that the change created.
	Epoch model.Epoch
	// AlreadyAccepted is set if the change was accepted in an earlier call.
	AlreadyAccepted bool
}

// errHeadRewritten is returned when the head has a new version but the same
// epoch. Apply then starts again.
var errHeadRewritten = errors.New("the head was rewritten by a garbage collection")

// Apply accepts a change if the current epoch equals the expected one; epoch 0
// is the empty configuration. It writes the missing chunks and then makes one
// conditional update of the head. If the reply to the update is lost, it reads
// the head and looks for the change ID there.
//
// The change was not accepted if the error is a *snapshot.ValidationError,
// *ConflictError, *ReusedIDError or *NotAcceptedError. After an
// *UnknownResultError it may have been accepted.
func (s *Store) Apply(ctx context.Context, c snapshot.Change, expected model.Epoch) (ApplyResult, error) {
	c.Put = c.Put.Normalized()
	if err := c.Validate(); err != nil {
		return ApplyResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	for {
		r, err := s.applyOnce(ctx, c, expected)
		if !errors.Is(err, errHeadRewritten) {
			return r, err
		}
	}
}

func (s *Store) applyOnce(ctx context.Context, c snapshot.Change, expected model.Epoch) (ApplyResult, error) {
	base, err := s.headAtLeast(ctx, expected)
	if err != nil {
		return ApplyResult{}, &NotAcceptedError{ChangeID: c.ID, Err: err}
	}
	if a, ok := base.find(c.ID); ok {
		return applyResult(a, c, true)
	}
	if base.Epoch != expected {
		return ApplyResult{}, conflictError(base.Head, expected)
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
	u := headUpdate{store: s, change: c, expected: expected, baseVersion: base.Version, data: data}
	r, err := u.run(ctx)
	if err == nil {
		s.cacheChunks(chunks)
	}
	return r, err
}

// headAtLeast reads the head. While the head is older than the epoch, it reads
// again for up to staleReadTimeout and then returns the last head read.
func (s *Store) headAtLeast(ctx context.Context, e model.Epoch) (StoredHead, error) {
	deadline := time.Now().Add(staleReadTimeout)
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

// prepare applies the change to the base configuration and returns the next
// head and its chunks.
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
	manifest, chunks, err := snapshot.SplitChanged(next.Objects, base.Chunks, c.Refs())
	if err != nil {
		return Head{}, nil, &NotAcceptedError{ChangeID: c.ID, Err: err}
	}
	maps.Copy(chunks, s.cachedChunks(manifest))
	head, err := base.next(c, next, manifest)
	if err != nil {
		return Head{}, nil, &NotAcceptedError{ChangeID: c.ID, Err: err}
	}
	return head, chunks, nil
}

func applyResult(a AcceptedChange, c snapshot.Change, repeated bool) (ApplyResult, error) {
	digest, err := digestOf(c)
	if err != nil {
		return ApplyResult{}, &NotAcceptedError{ChangeID: c.ID, Err: err}
	}
	if digest != a.Digest {
		return ApplyResult{}, &ReusedIDError{Accepted: a}
	}
	return ApplyResult{Epoch: a.Epoch, AlreadyAccepted: repeated}, nil
}

func conflictError(h Head, expected model.Epoch) error {
	changes, complete := h.since(expected)
	return &ConflictError{Expected: expected, Current: h.Epoch, Changes: changes, Complete: complete}
}

// headUpdate makes one conditional update of the head and determines its
// result, also after a lost reply.
type headUpdate struct {
	store       *Store
	change      snapshot.Change
	expected    model.Epoch
	baseVersion objectapi.Version
	data        []byte
	// ambiguousErr is the last error after which the update may have taken
	// effect.
	ambiguousErr error
}

// run makes the update. After a lost reply it reads the head, which lists the
// change, or is newer and does not list it, or is still at the base version.
// In the last case run repeats the update, conditional on the same version, so
// that at most one of the two updates can take effect.
func (u *headUpdate) run(ctx context.Context) (ApplyResult, error) {
	for attempt := 0; ; attempt++ {
		_, err := u.store.api.Put(ctx, HeadKey, u.data, u.baseVersion)
		if err == nil {
			return ApplyResult{Epoch: u.expected + 1}, nil
		}
		var c *objectapi.ConflictError
		if errors.As(err, &c) {
			return u.resolveConflict(ctx, c.Current)
		}
		if !isTransient(err) {
			return ApplyResult{}, u.failure(err)
		}
		if errors.Is(err, objectapi.ErrUnavailable) {
			u.ambiguousErr = err
			if r, err, done := u.checkLostReply(ctx); done {
				return r, err
			}
		}
		if !pause(ctx, retryDelay(attempt, err)) {
			return ApplyResult{}, u.failure(err)
		}
	}
}

// failure returns the error to report when run gives up: the result is unknown
// if an update may have taken effect.
func (u *headUpdate) failure(err error) error {
	if u.ambiguousErr != nil {
		return &UnknownResultError{ChangeID: u.change.ID, Err: u.ambiguousErr}
	}
	return &NotAcceptedError{ChangeID: u.change.ID, Err: err}
}

// checkLostReply reads the head once after a lost reply. It returns false if
// the head is still at the base version or could not be read.
func (u *headUpdate) checkLostReply(ctx context.Context) (ApplyResult, error, bool) {
	head, err := u.store.Head(ctx)
	if err != nil || head.Version <= u.baseVersion {
		return ApplyResult{}, nil, false
	}
	r, err := u.resultFrom(head)
	return r, err, true
}

// resolveConflict reads the head until its version is at least the one that the
// update conflicted with. An older version is a stale read.
func (u *headUpdate) resolveConflict(ctx context.Context, current objectapi.Version) (ApplyResult, error) {
	for attempt := 0; ; attempt++ {
		head, err := u.store.Head(ctx)
		if err == nil && head.Version >= current {
			return u.resultFrom(head)
		}
		if !pause(ctx, retryDelay(attempt, err)) {
			return ApplyResult{}, u.failure(&objectapi.ConflictError{Key: HeadKey, Expected: u.baseVersion, Current: current})
		}
	}
}

// resultFrom determines the result from a head that is newer than the base
// version. The update is conditional on that version, so that it can no longer
// take effect if the head does not list the change.
func (u *headUpdate) resultFrom(head StoredHead) (ApplyResult, error) {
	if a, ok := head.find(u.change.ID); ok {
		return applyResult(a, u.change, u.ambiguousErr == nil)
	}
	if head.Epoch == u.expected {
		return ApplyResult{}, errHeadRewritten
	}
	if _, complete := head.since(u.expected); !complete && u.ambiguousErr != nil {
		return ApplyResult{}, u.failure(u.ambiguousErr)
	}
	return ApplyResult{}, conflictError(head.Head, u.expected)
}

// writeChunks writes the chunks that the base manifest does not name.
func (s *Store) writeChunks(ctx context.Context, base snapshot.Manifest, chunks snapshot.Chunks) error {
	inBase := map[snapshot.ChunkName]bool{}
	for _, name := range base.Names() {
		inBase[name] = true
	}
	var names []snapshot.ChunkName
	for name := range chunks {
		if !inBase[name] {
			names = append(names, name)
		}
	}
	return fetchChunks(ctx, snapshot.Chunks{}, names, func(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
		return nil, s.writeChunk(ctx, name, chunks[name])
	})
}

// writeChunk creates a chunk. An existing chunk is written again with the same
// data, which raises its version. A garbage collection that found the chunk
// unused before then cannot delete it (see Collector).
func (s *Store) writeChunk(ctx context.Context, name snapshot.ChunkName, data []byte) error {
	var expected objectapi.Version
	return retry(ctx, func() error {
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
