package operator

import (
	"context"
	"errors"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// objectStore adapts configstore.Store to ConfigStore.
type objectStore struct {
	store *configstore.Store
}

// NewConfigStore returns a ConfigStore that keeps the configuration in the object
// API.
func NewConfigStore(store *configstore.Store) ConfigStore { return objectStore{store} }

// Apply implements ConfigStore.
func (s objectStore) Apply(ctx context.Context, change snapshot.Change, expected model.Epoch) (model.Epoch, error) {
	receipt, err := s.store.Apply(ctx, change, expected)
	if conflict, ok := errors.AsType[*configstore.ConflictError](err); ok {
		return 0, conflictOf(conflict)
	}
	if is[*configstore.ReusedIDError](err) {
		return 0, &RequestError{Field: "change_id", Expected: "a name that no other change has: " + err.Error()}
	}
	return receipt.Epoch, err
}

func conflictOf(e *configstore.ConflictError) *ConflictError {
	return &ConflictError{
		Expected: e.Expected,
		Current:  e.Current,
		Changes: mapSlice(e.Changes, func(c configstore.AcceptedChange) ChangeSummary {
			return ChangeSummary{Epoch: c.Epoch, ChangeID: c.ID, Author: c.Author, Objects: c.Objects, ObjectCount: c.ObjectCount}
		}),
	}
}

// Load implements ConfigStore.
func (s objectStore) Load(ctx context.Context) (snapshot.Snapshot, error) {
	loaded, err := s.store.Load(ctx)
	if errors.Is(err, configstore.ErrNoConfiguration) {
		return snapshot.Snapshot{}, nil
	}
	if err != nil {
		return snapshot.Snapshot{}, err
	}
	return *loaded.Snapshot, nil
}
