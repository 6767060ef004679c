package backend

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errNoSlot reports that no slot became free within the queue's limits.
var errNoSlot = errors.New("no free slot")

// slotPool hands out the server's slots.
type slotPool struct {
	free    chan struct{}
	waiting atomic.Int64
	limit   int64
	wait    time.Duration
}

func newSlotPool(slots, queueLimit int, wait time.Duration) *slotPool {
	p := &slotPool{free: make(chan struct{}, slots), limit: int64(queueLimit), wait: wait}
	for range slots {
		p.free <- struct{}{}
	}
	return p
}

// acquire takes a slot. It returns errNoSlot when the queue is full or the wait
// is over, and the context's cause when ctx ends. A patient caller waits
// without these limits.
func (p *slotPool) acquire(ctx context.Context, patient bool) error {
	select {
	case <-p.free:
		return nil
	default:
	}
	defer p.waiting.Add(-1)
	if p.waiting.Add(1) > p.limit && !patient {
		return errNoSlot
	}
	var expired <-chan time.Time
	if p.wait > 0 && !patient {
		timer := time.NewTimer(p.wait)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-p.free:
		return nil
	case <-expired:
		return errNoSlot
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (p *slotPool) release() { p.free <- struct{}{} }

func (p *slotPool) busy() int { return cap(p.free) - len(p.free) }
