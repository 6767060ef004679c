package configstore

import (
	"maps"
	"sync"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// previousChunks bounds the chunks of the previous configuration that are kept
// for peers that are reading them. A usual change replaces one.
const previousChunks = 16

// configuration is one epoch. Its chunks are encoded when they are asked for.
type configuration struct {
	head     Head
	raw      []byte
	snapshot *snapshot.Snapshot
	encoder  *snapshot.Encoder
	// foreign holds the chunks that encoding the objects does not give,
	// because they were written by a program that knows more fields.
	foreign snapshot.Chunks
}

// newConfiguration returns the configuration of a head; read holds the chunks
// that were read rather than computed.
func newConfiguration(raw []byte, head Head, snap *snapshot.Snapshot, read snapshot.Chunks) *configuration {
	c := &configuration{head: head, raw: raw, snapshot: snap, encoder: snapshot.NewEncoder(snap.Objects, head.Chunks), foreign: snapshot.Chunks{}}
	for name, data := range read {
		if _, ok := c.encoder.Chunk(name); !ok {
			c.foreign[name] = data
		}
	}
	return c
}

func (c *configuration) epoch() model.Epoch {
	if c == nil {
		return 0
	}
	return c.head.Epoch
}

func (c *configuration) chunk(name snapshot.ChunkName) ([]byte, bool) {
	if c == nil {
		return nil, false
	}
	if data, ok := c.foreign[name]; ok {
		return data, true
	}
	return c.encoder.Chunk(name)
}

// replaced returns the chunks of c that the next head no longer names, nil if
// there are more than previousChunks.
func (c *configuration) replaced(next Head) snapshot.Chunks {
	if c == nil {
		return nil
	}
	named := map[snapshot.ChunkName]bool{}
	for _, name := range next.Chunks.Names() {
		named[name] = true
	}
	old := snapshot.Chunks{}
	for _, name := range c.head.Chunks.Names() {
		if named[name] {
			continue
		}
		if len(old) == previousChunks {
			return nil
		}
		if data, ok := c.chunk(name); ok {
			old[name] = data
		}
	}
	return old
}

// state is the configuration that a follower runs. It only moves upward.
type state struct {
	mu        sync.Mutex
	current   *configuration
	previous  snapshot.Chunks // of the configuration before current; immutable
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
	current, old := s.current, s.previous
	s.mu.Unlock()
	if data, ok := current.chunk(name); ok {
		return data, true
	}
	data, ok := old[name]
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
	s.previous = s.current.replaced(c.head)
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
	return newConfiguration(raw, head, snap, chunks), nil, nil
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
	manifest, _, err := snapshot.Resplit(snap.Objects, current.head.Chunks, changed)
	if err != nil || !equalManifests(manifest, head.Chunks) {
		return nil
	}
	return newConfiguration(raw, head, snap, selected(head.Chunks, current.foreign))
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
