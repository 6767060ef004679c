package configstore

import (
	"maps"
	"slices"
	"sync"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// configuration is the data of one epoch. It is immutable. The objects of the
// snapshot have the compact form of snapshot.JoinCompact, whereas the chunks
// contain all objects.
type configuration struct {
	head        Head
	encodedHead []byte
	chunks      packedChunks
	snapshot    *snapshot.Snapshot
}

func (c *configuration) epoch() model.Epoch {
	if c == nil {
		return 0
	}
	return c.head.Epoch
}

// state holds the configuration that a follower has applied. Its epoch never
// decreases.
type state struct {
	mu             sync.Mutex
	current        *configuration
	previousChunks packedChunks // of the configuration before current
	confirmed      bool
}

func (s *state) get() (*configuration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.confirmed
}

// confirm marks the configuration as confirmed if e, the epoch of the head read
// from the object API, is not lower than the current one. A lower epoch is a
// stale read and confirms nothing.
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
	p, ok := s.previousChunks[name]
	return p, ok
}

// install makes c the current configuration if its epoch is higher. It calls
// onInstall with the lock held, so that the calls are in the order of epochs.
// Confirmed is set if the head was read from the object API.
func (s *state) install(c *configuration, confirmed bool, onInstall func(confirmed bool)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.epoch() <= s.current.epoch() {
		return false
	}
	if s.current != nil {
		s.previousChunks = s.current.chunks
	}
	s.current = c
	s.confirmed = s.confirmed || confirmed
	onInstall(s.confirmed)
	return true
}

// build returns the configuration of a head without any remote call. If the
// head lists all changes since the current epoch in full, it replays them and
// needs no chunks. Otherwise it joins the chunks of the state and the received
// ones, and returns the names of those that are missing.
func (s *state) build(encodedHead []byte, head Head, received packedChunks) (*configuration, []snapshot.ChunkName, error) {
	current, _ := s.get()
	if c := replay(current, encodedHead, head); c != nil {
		return c, nil, nil
	}
	chunks := selectChunks(head.Chunks, received)
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
	return newConfiguration(encodedHead, head, chunks, objects), nil, nil
}

func newConfiguration(encodedHead []byte, head Head, chunks packedChunks, o snapshot.Objects) *configuration {
	return &configuration{
		head: head, encodedHead: encodedHead, chunks: chunks,
		snapshot: &snapshot.Snapshot{Epoch: head.Epoch, ChangeID: head.ChangeID, Objects: o},
	}
}

// replay applies the changes listed in the head to the chunks and objects of
// the current configuration. It returns nil if changes are missing or not
// listed in full, or if the resulting chunks are not exactly those of the head.
// The changes need no further validation, because the names of the chunks are
// derived from their content.
func replay(current *configuration, encodedHead []byte, head Head) *configuration {
	if current == nil {
		return nil
	}
	changes, complete := head.since(current.epoch())
	if !complete || slices.ContainsFunc(changes, func(a AcceptedChange) bool { return a.Change == nil }) {
		return nil
	}
	chunks, ok := patchChunks(current, head.Chunks, changes)
	if !ok && !sameChunkCounts(current.head.Chunks, head.Chunks) {
		chunks, ok = resplitChunks(current, head.Chunks, changes)
	}
	if !ok {
		return nil
	}
	objects := current.snapshot.Objects
	for _, a := range changes {
		objects = objects.CompactAfter(*a.Change)
	}
	return newConfiguration(encodedHead, head, chunks, objects)
}

// patchChunks returns the chunks after the changes. It decodes and encodes only
// chunks that hold changed objects. It returns false if the result does not
// match the wanted manifest, for example because the number of chunks changed.
func patchChunks(current *configuration, want snapshot.Manifest, changes []AcceptedChange) (packedChunks, bool) {
	manifest, chunks := current.head.Chunks, maps.Clone(current.chunks)
	for _, a := range changes {
		next, changed, err := snapshot.Patch(manifest, chunks.get, *a.Change)
		if err != nil {
			return nil, false
		}
		maps.Copy(chunks, packAll(changed))
		manifest = next
	}
	return selectChunks(want, chunks), equalManifests(manifest, want)
}

func sameChunkCounts(a, b snapshot.Manifest) bool {
	return maps.EqualFunc(a, b, func(x, y []snapshot.ChunkName) bool { return len(x) == len(y) })
}

// resplitChunks does the same as patchChunks when the number of chunks changes.
// It decodes all chunks, which takes seconds at the target scale, but fetches
// none.
func resplitChunks(current *configuration, want snapshot.Manifest, changes []AcceptedChange) (packedChunks, bool) {
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
	chunks := selectChunks(want, current.chunks)
	maps.Copy(chunks, packAll(selectChunks(want, encoded)))
	return chunks, equalManifests(manifest, want) && len(missingChunks(want, chunks)) == 0
}

func equalManifests(a, b snapshot.Manifest) bool {
	return maps.EqualFunc(a, b, slices.Equal[[]snapshot.ChunkName])
}
