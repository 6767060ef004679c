package snapshot

import (
	"sync/atomic"

	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/model"
)

// Holder holds the snapshot in force. Reading it costs one atomic load. It is
// safe for concurrent use; the zero value holds nothing.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// Load returns the snapshot in force, nil if there is none.
func (h *Holder) Load() *Snapshot { return h.current.Load() }

// Epoch returns the epoch in force, zero if there is none.
func (h *Holder) Epoch() model.Epoch {
	if s := h.Load(); s != nil {
		return s.Epoch
	}
	return 0
}

// Apply puts s in force if its epoch is higher than the current one, and
// reports whether it did. Two different changes with one epoch violate
// invariant.EpochUpward: an accepted change would have been replaced.
func (h *Holder) Apply(s *Snapshot) bool {
	for {
		old := h.current.Load()
		if old != nil && s.Epoch <= old.Epoch {
			invariant.Check(s.Epoch < old.Epoch || s.ChangeID == old.ChangeID, invariant.EpochUpward,
				"epoch %d is in force with change %q and offered with change %q", s.Epoch, old.ChangeID, s.ChangeID)
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
