package backend

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errNoSlot is returned when the queue is full or QueueWait has passed.
var errNoSlot = errors.New("no free slot")

// slotPool limits the number of requests that run concurrently.
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
// is over, and the context's cause when ctx ends. If unlimited is set, the queue
// length and the wait have no limit.
func (p *slotPool) acquire(ctx context.Context, unlimited bool) error {
	select {
	case <-p.free:
		return nil
	default:
	}
	defer p.waiting.Add(-1)
	if p.waiting.Add(1) > p.limit && !unlimited {
		return errNoSlot
	}
	var expired <-chan time.Time
	if p.wait > 0 && !unlimited {
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
