package pooltrial

import (
	"container/heap"
	"time"
)

// Clock runs events in order of virtual time. Events at the same time run in the
// order in which they were scheduled.
type Clock struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

// Event is a scheduled function.
type Event struct {
	at        time.Time
	seq       uint64
	run       func()
	cancelled bool
}

// Cancel keeps the event from running.
func (e *Event) Cancel() { e.cancelled = true }

// NewClock returns a clock that starts at a fixed, arbitrary time.
func NewClock() *Clock { return &Clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// After schedules an event after d; a negative d means now.
func (c *Clock) After(d time.Duration, run func()) *Event { return c.At(c.now.Add(max(0, d)), run) }

// At schedules an event at t; a time in the past means now.
func (c *Clock) At(t time.Time, run func()) *Event {
	if t.Before(c.now) {
		t = c.now
	}
	c.seq++
	e := &Event{at: t, seq: c.seq, run: run}
	heap.Push(&c.events, e)
	return e
}

// RunUntil runs all events up to and including t and sets the time to t.
func (c *Clock) RunUntil(t time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(t) {
		e := heap.Pop(&c.events).(*Event)
		if e.cancelled {
			continue
		}
		c.now = e.at
		e.run()
	}
	c.now = t
}

type eventHeap []*Event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(e any) { *h = append(*h, e.(*Event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
