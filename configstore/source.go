package configstore

import (
	"context"
	"errors"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// Status is the configuration that a host has applied.
type Status struct {
	// Epoch is zero if the host has no configuration.
	Epoch    model.Epoch `json:"epoch"`
	ChangeID string      `json:"changeId"`
	// Confirmed is set once the host has read the head from the object API
	// since it started. A host that started during an outage uses the highest
	// epoch of its peers and is unconfirmed until then.
	Confirmed bool `json:"confirmed"`
}

// Source serves a host's configuration to other hosts. Follower implements it.
// So does a client that calls a peer's Follower.
type Source interface {
	// Status returns the epoch that the host has applied.
	Status(ctx context.Context) (Status, error)
	// Head returns the encoded head. The error is ErrNoConfiguration if the
	// host has none.
	Head(ctx context.Context) ([]byte, error)
	// Chunk returns the data of a chunk of the current or the previous head.
	// The error wraps snapshot.ErrChunkMissing if neither has the chunk.
	Chunk(ctx context.Context, name snapshot.ChunkName) ([]byte, error)
}

// Peer is another host from which the configuration can be pulled.
type Peer struct {
	ID model.HostID
	// Local is set if the peer is in the same data centre as this host.
	Local bool
	// Source calls the peer. Its calls must return when their context ends.
	Source Source
}

// verifiedChunk reads a chunk from a source and checks it against its name.
func verifiedChunk(ctx context.Context, s Source, name snapshot.ChunkName) ([]byte, error) {
	data, err := s.Chunk(ctx, name)
	if err != nil {
		return nil, err
	}
	if snapshot.ChunkNameOf(data) != name {
		return nil, &snapshot.ChunkError{Name: name, Err: snapshot.ErrChunkContent}
	}
	return data, nil
}

// firstOf returns a getter that tries the getters in order. If all of them
// fail, the error joins all their errors.
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
