package configstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/objectapi"
)

const (
	// parallelChunks bounds the chunk calls in progress, so that loading does
	// not use up the object API's rate limit.
	parallelChunks = 8
	// callAttempts bounds the attempts of a call that is safe to repeat.
	callAttempts = 4
	// firstRetryDelay doubles with each attempt, up to maxRetryDelay.
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// Store reads and changes the configuration in the object API. It is safe for
// concurrent use.
type Store struct {
	api objectapi.Store

	mu     sync.Mutex
	chunks snapshot.Chunks // of the configuration that was loaded last
}

// NewStore returns a store over the object API.
func NewStore(api objectapi.Store) *Store { return &Store{api: api} }

// Loaded is the configuration as it is in the object API.
type Loaded struct {
	Head     StoredHead
	Snapshot *snapshot.Snapshot
}

// Load reads the configuration. It returns ErrNoConfiguration if there is
// none, an error that wraps objectapi.ErrUnavailable, a *HeadError or a
// *snapshot.ChunkError.
func (s *Store) Load(ctx context.Context) (Loaded, error) {
	var err error
	for range callAttempts {
		var head StoredHead
		if head, err = s.Head(ctx); err != nil {
			return Loaded{}, err
		}
		if head.Version == 0 {
			return Loaded{}, ErrNoConfiguration
		}
		var snap *snapshot.Snapshot
		if snap, err = s.snapshotOf(ctx, head.Head); err == nil {
			return Loaded{Head: head, Snapshot: snap}, nil
		}
		// A chunk that is gone means that the head has changed since.
		if !errors.Is(err, snapshot.ErrChunkMissing) {
			return Loaded{}, err
		}
	}
	return Loaded{}, err
}

// Head reads the head. Its version is zero if there is none. Errors wrap
// objectapi.ErrUnavailable or are a *HeadError.
func (s *Store) Head(ctx context.Context) (StoredHead, error) {
	var o objectapi.Object
	err := repeat(ctx, func() (err error) {
		o, err = s.api.Get(ctx, HeadKey)
		return err
	})
	if errors.Is(err, objectapi.ErrNotFound) {
		return StoredHead{}, nil
	}
	if err != nil {
		return StoredHead{}, err
	}
	h, err := DecodeHead(o.Value)
	return StoredHead{Head: h, Version: o.Version}, err
}

// Lookup reports whether a change is among the last accepted ones.
func (s *Store) Lookup(ctx context.Context, changeID string) (AcceptedChange, bool, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return AcceptedChange{}, false, err
	}
	c, ok := head.find(changeID)
	return c, ok, nil
}

// Chunk reads one chunk and checks it against its name. The error wraps
// snapshot.ErrChunkMissing, snapshot.ErrChunkContent or
// objectapi.ErrUnavailable.
func (s *Store) Chunk(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
	var o objectapi.Object
	err := repeat(ctx, func() (err error) {
		o, err = s.api.Get(ctx, ChunkKey(name))
		return err
	})
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil, &snapshot.ChunkError{Name: name, Err: snapshot.ErrChunkMissing}
	}
	if err != nil {
		return nil, err
	}
	if snapshot.ChunkNameOf(o.Value) != name {
		return nil, &snapshot.ChunkError{Name: name, Err: snapshot.ErrChunkContent}
	}
	return o.Value, nil
}

// snapshotOf loads the snapshot of a head; chunks that the last loaded
// configuration had are not read again.
func (s *Store) snapshotOf(ctx context.Context, h Head) (*snapshot.Snapshot, error) {
	chunks := s.known(h.Chunks)
	missing := missingChunks(h.Chunks, chunks)
	if err := fetch(ctx, chunks, missing, s.Chunk); err != nil {
		return nil, err
	}
	snap, err := join(h, chunks)
	if err != nil {
		return nil, err
	}
	s.remember(chunks)
	return snap, nil
}

func (s *Store) remember(chunks snapshot.Chunks) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunks = chunks
}

// known returns the remembered chunks that the manifest names.
func (s *Store) known(m snapshot.Manifest) snapshot.Chunks {
	s.mu.Lock()
	defer s.mu.Unlock()
	return selected(m, s.chunks)
}

// selected returns those of the chunks that the manifest names.
func selected[C ~map[snapshot.ChunkName]D, D ~[]byte](m snapshot.Manifest, from C) C {
	chunks := C{}
	for _, name := range m.Names() {
		if data, ok := from[name]; ok {
			chunks[name] = data
		}
	}
	return chunks
}

func missingChunks[C ~map[snapshot.ChunkName]D, D ~[]byte](m snapshot.Manifest, have C) []snapshot.ChunkName {
	var missing []snapshot.ChunkName
	for _, name := range m.Names() {
		if _, ok := have[name]; !ok {
			missing = append(missing, name)
		}
	}
	return missing
}

func join(h Head, chunks snapshot.Chunks) (*snapshot.Snapshot, error) {
	objects, err := snapshot.Join(h.Chunks, chunks)
	if err != nil {
		return nil, err
	}
	return &snapshot.Snapshot{Epoch: h.Epoch, ChangeID: h.ChangeID, Objects: objects}, nil
}

// chunkGetter returns the checked data of a chunk.
type chunkGetter func(ctx context.Context, name snapshot.ChunkName) ([]byte, error)

// fetch adds the missing chunks, a few at a time.
func fetch[C ~map[snapshot.ChunkName]D, D ~[]byte](ctx context.Context, chunks C, missing []snapshot.ChunkName, get chunkGetter) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelChunks)
	var mu sync.Mutex
	for _, name := range missing {
		g.Go(func() error {
			data, err := get(ctx, name)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			chunks[name] = data
			return nil
		})
	}
	return g.Wait()
}

// repeat runs a call that is safe to repeat until it succeeds, fails for good
// or has been tried callAttempts times.
func repeat(ctx context.Context, call func() error) error {
	var err error
	for attempt := range callAttempts {
		if err = call(); err == nil || !transient(err) {
			return err
		}
		if attempt+1 == callAttempts || !pause(ctx, retryDelay(attempt, err)) {
			return err
		}
	}
	return err
}

func transient(err error) bool {
	var limited *objectapi.RateLimitedError
	return errors.Is(err, objectapi.ErrUnavailable) || errors.As(err, &limited)
}

func retryDelay(attempt int, err error) time.Duration {
	delay := min(firstRetryDelay<<min(attempt, 10), maxRetryDelay)
	var limited *objectapi.RateLimitedError
	if errors.As(err, &limited) {
		delay = max(delay, limited.RetryAfter)
	}
	return delay
}

// pause waits and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
