package configstore

import (
	"maps"
	"sync"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// configuration is one epoch with all its data. It is immutable.
type configuration struct {
	head     Head
	raw      []byte
	chunks   snapshot.Chunks
	snapshot *snapshot.Snapshot
}

func (c *configuration) epoch() model.Epoch {
	if c == nil {
		return 0
	}
	return c.head.Epoch
}

// state is the configuration that a follower runs. It only moves upward.
type state struct {
	mu        sync.Mutex
	current   *configuration
	previous  snapshot.Chunks // of the configuration before current
	confirmed bool
}

func (s *state) get() (*configuration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.confirmed
}

// confirm marks the configuration as checked against the object API, whose
// head has the epoch. A lower epoch comes from a lagging reader and confirms
// nothing.
func (s *state) confirm(e model.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = s.confirmed || e >= s.current.epoch()
}

// chunk returns the data of a chunk of the current or previous configuration.
func (s *state) chunk(name snapshot.ChunkName) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		if data, ok := s.current.chunks[name]; ok {
			return data, true
		}
	}
	data, ok := s.previous[name]
	return data, ok
}

// install makes c current if its epoch is higher, and calls then with the lock
// held, so that the calls follow the order of the epochs. Confirmed means that
// the head was read from the object API.
func (s *state) install(c *configuration, confirmed bool, then func(confirmed bool)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.epoch() <= s.current.epoch() {
		return false
	}
	if s.current != nil {
		s.previous = s.current.chunks
	}
	s.current = c
	s.confirmed = s.confirmed || confirmed
	then(s.confirmed)
	return true
}

// build returns the configuration of a head without any call. The second
// result names the chunks that are missing. If the head carries all changes
// since the current epoch, they are applied and no chunk is needed.
func (s *state) build(raw []byte, head Head, extra snapshot.Chunks) (*configuration, []snapshot.ChunkName, error) {
	current, _ := s.get()
	if c := replay(current, raw, head); c != nil {
		return c, nil, nil
	}
	chunks := selected(head.Chunks, extra)
	for _, name := range head.Chunks.Names() {
		if data, ok := s.chunk(name); ok {
			chunks[name] = data
		}
	}
	if missing := missingChunks(head.Chunks, chunks); len(missing) > 0 {
		return nil, missing, nil
	}
	snap, err := join(head, chunks)
	if err != nil {
		return nil, nil, err
	}
	return &configuration{head: head, raw: raw, chunks: chunks, snapshot: snap}, nil, nil
}

// replay applies the changes that the head carries to the current
// configuration. It returns nil if they are not all there, or if the result
// does not have exactly the chunks of the head.
func replay(current *configuration, raw []byte, head Head) *configuration {
	if current == nil {
		return nil
	}
	changes, complete := head.since(current.epoch())
	if !complete {
		return nil
	}
	snap := current.snapshot
	var changed []snapshot.Ref
	for _, a := range changes {
		if a.Change == nil || a.Epoch != snap.Epoch+1 {
			return nil
		}
		next, err := snap.Apply(*a.Change)
		if err != nil {
			return nil
		}
		snap = next
		changed = append(changed, a.Change.Refs()...)
	}
	chunks, ok := resplit(current, snap.Objects, head.Chunks, changed)
	if !ok {
		return nil
	}
	return &configuration{head: head, raw: raw, chunks: chunks, snapshot: snap}
}

// resplit returns the chunks of the objects. It reports false if those are not
// the ones of the manifest.
func resplit(current *configuration, o snapshot.Objects, want snapshot.Manifest, changed []snapshot.Ref) (snapshot.Chunks, bool) {
	manifest, encoded, err := snapshot.Resplit(o, current.head.Chunks, changed)
	if err != nil || !equalManifests(manifest, want) {
		return nil, false
	}
	chunks := selected(want, current.chunks)
	maps.Copy(chunks, encoded)
	return chunks, len(missingChunks(want, chunks)) == 0
}

func equalManifests(a, b snapshot.Manifest) bool {
	return maps.EqualFunc(a, b, func(x, y []snapshot.ChunkName) bool {
		if len(x) != len(y) {
			return false
		}
		for i := range x {
			if x[i] != y[i] {
				return false
			}
		}
		return true
	})
}
