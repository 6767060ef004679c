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
	// maxParallelChunkCalls limits the concurrent chunk calls, so that loading
	// does not use up the object API's rate limit.
	maxParallelChunkCalls = 8
	// maxCallAttempts limits the attempts of an idempotent call.
	maxCallAttempts = 4
	// minRetryDelay is the delay before the first retry. It doubles with each
	// attempt, up to maxRetryDelay.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Store reads and changes the configuration in the object API. It is safe for
// concurrent use.
type Store struct {
	api objectapi.Store

	mu    sync.Mutex
	cache snapshot.Chunks // chunks of the configuration loaded or written last
}

// NewStore returns a store that uses the given object API.
func NewStore(api objectapi.Store) *Store { return &Store{api: api} }

// Loaded is a configuration read from the object API.
type Loaded struct {
	Head     StoredHead
	Snapshot *snapshot.Snapshot
}

// Load reads the configuration. It returns ErrNoConfiguration if there is none.
// Other errors wrap objectapi.ErrUnavailable or are a *HeadError or a
// *snapshot.ChunkError.
func (s *Store) Load(ctx context.Context) (Loaded, error) {
	var err error
	for range maxCallAttempts {
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
		// A missing chunk was deleted because the head has changed since. Read
		// the new head.
		if !errors.Is(err, snapshot.ErrChunkMissing) {
			return Loaded{}, err
		}
	}
	return Loaded{}, err
}

// Head reads the head. The version of the result is zero if there is no head.
// Errors wrap objectapi.ErrUnavailable or are a *HeadError.
func (s *Store) Head(ctx context.Context) (StoredHead, error) {
	var o objectapi.Object
	err := retry(ctx, func() (err error) {
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

// Lookup returns the accepted change with the ID, and whether the head lists
// one. The head lists only the last maxListedChanges changes.
func (s *Store) Lookup(ctx context.Context, changeID string) (AcceptedChange, bool, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return AcceptedChange{}, false, err
	}
	c, ok := head.find(changeID)
	return c, ok, nil
}

// Chunk reads a chunk and verifies its data against its name. The error wraps
// snapshot.ErrChunkMissing, snapshot.ErrChunkContent or
// objectapi.ErrUnavailable.
func (s *Store) Chunk(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
	var o objectapi.Object
	err := retry(ctx, func() (err error) {
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

// snapshotOf loads the snapshot of a head. It reads only chunks that are not in
// the cache.
func (s *Store) snapshotOf(ctx context.Context, h Head) (*snapshot.Snapshot, error) {
	chunks := s.cachedChunks(h.Chunks)
	missing := missingChunks(h.Chunks, chunks)
	if err := fetchChunks(ctx, chunks, missing, s.Chunk); err != nil {
		return nil, err
	}
	snap, err := joinSnapshot(h, chunks)
	if err != nil {
		return nil, err
	}
	s.cacheChunks(chunks)
	return snap, nil
}

func (s *Store) cacheChunks(chunks snapshot.Chunks) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache = chunks
}

// cachedChunks returns the chunks in the cache that the manifest names.
func (s *Store) cachedChunks(m snapshot.Manifest) snapshot.Chunks {
	s.mu.Lock()
	defer s.mu.Unlock()
	return selectChunks(m, s.cache)
}

// selectChunks returns the subset of chunks that the manifest names.
func selectChunks[C ~map[snapshot.ChunkName]D, D ~[]byte](m snapshot.Manifest, from C) C {
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

func joinSnapshot(h Head, chunks snapshot.Chunks) (*snapshot.Snapshot, error) {
	objects, err := snapshot.Join(h.Chunks, chunks)
	if err != nil {
		return nil, err
	}
	return &snapshot.Snapshot{Epoch: h.Epoch, ChangeID: h.ChangeID, Objects: objects}, nil
}

// chunkGetter returns the data of a chunk, verified against its name.
type chunkGetter func(ctx context.Context, name snapshot.ChunkName) ([]byte, error)

// fetchChunks adds the missing chunks to chunks, with up to
// maxParallelChunkCalls concurrent calls.
func fetchChunks[C ~map[snapshot.ChunkName]D, D ~[]byte](ctx context.Context, chunks C, missing []snapshot.ChunkName, get chunkGetter) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelChunkCalls)
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

// retry runs an idempotent call until it succeeds, fails with an error that is
// not transient, or has been tried maxCallAttempts times.
func retry(ctx context.Context, call func() error) error {
	var err error
	for attempt := range maxCallAttempts {
		if err = call(); err == nil || !isTransient(err) {
			return err
		}
		if attempt+1 == maxCallAttempts || !pause(ctx, retryDelay(attempt, err)) {
			return err
		}
	}
	return err
}

func isTransient(err error) bool {
	var limited *objectapi.RateLimitedError
	return errors.Is(err, objectapi.ErrUnavailable) || errors.As(err, &limited)
}

func retryDelay(attempt int, err error) time.Duration {
	delay := min(minRetryDelay<<min(attempt, 10), maxRetryDelay)
	var limited *objectapi.RateLimitedError
	if errors.As(err, &limited) {
		delay = max(delay, limited.RetryAfter)
	}
	return delay
}

// pause waits for d or until ctx ends. It returns false if ctx has ended.
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
