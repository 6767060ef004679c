package configstore

import (
	"maps"
	"slices"
	"sync"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// configuration is one epoch with all its data. It is immutable. The snapshot
// has its objects in the compact form (snapshot.JoinCompact); the chunks have
// all of them.
type configuration struct {
	head     Head
	raw      []byte
	chunks   packedChunks
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
	previous  packedChunks // of the configuration before current
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

// chunk returns a chunk of the current or previous configuration.
func (s *state) chunk(name snapshot.ChunkName) (packedChunk, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		if p, ok := s.current.chunks[name]; ok {
			return p, true
		}
	}
	p, ok := s.previous[name]
	return p, ok
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
func (s *state) build(raw []byte, head Head, extra packedChunks) (*configuration, []snapshot.ChunkName, error) {
	current, _ := s.get()
	if c := replay(current, raw, head); c != nil {
		return c, nil, nil
	}
	chunks := selected(head.Chunks, extra)
	for _, name := range head.Chunks.Names() {
		if p, ok := s.chunk(name); ok {
			chunks[name] = p
		}
	}
	if missing := missingChunks(head.Chunks, chunks); len(missing) > 0 {
		return nil, missing, nil
	}
	objects, err := snapshot.JoinCompact(head.Chunks, chunks.get)
	if err != nil {
		return nil, nil, err
	}
	return newConfiguration(raw, head, chunks, objects), nil, nil
}

func newConfiguration(raw []byte, head Head, chunks packedChunks, o snapshot.Objects) *configuration {
	return &configuration{
		head: head, raw: raw, chunks: chunks,
		snapshot: &snapshot.Snapshot{Epoch: head.Epoch, ChangeID: head.ChangeID, Objects: o},
	}
}

// replay applies the changes that the head carries to the chunks and objects
// of the current configuration. It returns nil if the changes are not all
// there, or if the result does not have exactly the chunks of the head. The
// chunks' names prove their content, so the changes need no validation again.
func replay(current *configuration, raw []byte, head Head) *configuration {
	if current == nil {
		return nil
	}
	changes, complete := head.since(current.epoch())
	if !complete || slices.ContainsFunc(changes, func(a AcceptedChange) bool { return a.Change == nil }) {
		return nil
	}
	chunks, ok := patched(current, head.Chunks, changes)
	if !ok && !sameCounts(current.head.Chunks, head.Chunks) {
		chunks, ok = resplit(current, head.Chunks, changes)
	}
	if !ok {
		return nil
	}
	objects := current.snapshot.Objects
	for _, a := range changes {
		objects = objects.CompactAfter(*a.Change)
	}
	return newConfiguration(raw, head, chunks, objects)
}

// patched returns the chunks after the changes; it decodes and encodes only
// those that hold changed objects. It reports false if they are not the wanted
// ones, as after a change of the number of chunks.
func patched(current *configuration, want snapshot.Manifest, changes []AcceptedChange) (packedChunks, bool) {
	manifest, chunks := current.head.Chunks, maps.Clone(current.chunks)
	for _, a := range changes {
		next, changed, err := snapshot.Patch(manifest, chunks.get, *a.Change)
		if err != nil {
			return nil, false
		}
		maps.Copy(chunks, packAll(changed))
		manifest = next
	}
	return selected(want, chunks), equalManifests(manifest, want)
}

func sameCounts(a, b snapshot.Manifest) bool {
	return maps.EqualFunc(a, b, func(x, y []snapshot.ChunkName) bool { return len(x) == len(y) })
}

// resplit is patched for changes of the number of chunks. It decodes all
// chunks, which takes seconds at the target scale, but fetches none.
func resplit(current *configuration, want snapshot.Manifest, changes []AcceptedChange) (packedChunks, bool) {
	manifest := current.head.Chunks
	objects, err := snapshot.JoinFrom(manifest, current.chunks.get)
	if err != nil {
		return nil, false
	}
	snap, encoded := &snapshot.Snapshot{Objects: objects}, snapshot.Chunks{}
	for _, a := range changes {
		if snap, err = snap.Apply(*a.Change); err != nil {
			return nil, false
		}
		next, changed, err := snapshot.SplitChanged(snap.Objects, manifest, a.Change.Refs())
		if err != nil {
			return nil, false
		}
		maps.Copy(encoded, changed)
		manifest = next
	}
	chunks := selected(want, current.chunks)
	maps.Copy(chunks, packAll(selected(want, encoded)))
	return chunks, equalManifests(manifest, want) && len(missingChunks(want, chunks)) == 0
}

func equalManifests(a, b snapshot.Manifest) bool {
	return maps.EqualFunc(a, b, slices.Equal[[]snapshot.ChunkName])
}
