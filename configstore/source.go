package configstore

import (
	"context"
	"errors"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// Status says which configuration a host runs.
type Status struct {
	// Epoch is zero if the host has no configuration.
	Epoch    model.Epoch `json:"epoch"`
	ChangeID string      `json:"changeId"`
	// Confirmed means that the host has read the head from the object API
	// since it started. A host that started during an outage runs the highest
	// epoch that its peers had and is unconfirmed until then.
	Confirmed bool `json:"confirmed"`
}

// Source is what a host offers to others. Follower implements it; a client for
// a peer implements it with calls to that peer's Follower.
type Source interface {
	// Status returns the epoch that the host runs.
	Status(ctx context.Context) (Status, error)
	// Head returns the encoded head, or ErrNoConfiguration.
	Head(ctx context.Context) ([]byte, error)
	// Chunk returns the data of a chunk of the head or of the one before it,
	// or an error that wraps snapshot.ErrChunkMissing.
	Chunk(ctx context.Context, name snapshot.ChunkName) ([]byte, error)
}

// Peer is another host to pull from.
type Peer struct {
	ID model.HostID
	// Local means that the host is in the same data centre.
	Local bool
	// Source calls the host. Its calls must end with their context.
	Source Source
}

// checkedChunk reads a chunk from a source and checks it against its name.
func checkedChunk(ctx context.Context, s Source, name snapshot.ChunkName) ([]byte, error) {
	data, err := s.Chunk(ctx, name)
	if err != nil {
		return nil, err
	}
	if snapshot.ChunkNameOf(data) != name {
		return nil, &snapshot.ChunkError{Name: name, Err: snapshot.ErrChunkContent}
	}
	return data, nil
}

// firstOf returns the chunk from the first getter that has it, and all
// failures otherwise.
func firstOf(getters ...chunkGetter) chunkGetter {
	return func(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
		var failures []error
		for _, get := range getters {
			data, err := get(ctx, name)
			if err == nil {
				return data, nil
			}
			failures = append(failures, err)
		}
		return nil, errors.Join(failures...)
	}
}
