package snapshot

import (
	"sync/atomic"

	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/model"
)

// Holder holds the current snapshot. Reading it costs one atomic load. It is
// safe for concurrent use; the zero value holds no snapshot.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// Load returns the current snapshot, or nil if there is none.
func (h *Holder) Load() *Snapshot { return h.current.Load() }

// Epoch returns the epoch of the current snapshot, or zero if there is none.
func (h *Holder) Epoch() model.Epoch {
	if s := h.Load(); s != nil {
		return s.Epoch
	}
	return 0
}

// Apply makes s the current snapshot if its epoch is higher than the current
// one, and reports whether it did. Two changes with the same epoch violate
// invariant.EpochUpward, because one of them was accepted and would be lost.
func (h *Holder) Apply(s *Snapshot) bool {
	for {
		old := h.current.Load()
		if old != nil && s.Epoch <= old.Epoch {
			invariant.Check(s.Epoch < old.Epoch || s.ChangeID == old.ChangeID, invariant.EpochUpward,
				"current snapshot of epoch %d has change %q, new snapshot of the same epoch has change %q", s.Epoch, old.ChangeID, s.ChangeID)
			return false
		}
		if h.current.CompareAndSwap(old, s) {
			invariant.Check(old == nil || old.Epoch < s.Epoch, invariant.EpochUpward, "epoch %d replaced by %d", epochOf(old), s.Epoch)
			return true
		}
	}
}

func epochOf(s *Snapshot) model.Epoch {
	if s == nil {
		return 0
	}
	return s.Epoch
}
