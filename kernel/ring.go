package kernel

import (
	"context"
	"sync/atomic"
)

// OverflowPolicy selects what a full ring does with a new item.
type OverflowPolicy uint8

const (
	// Block makes Put wait until there is room or the context ends.
	Block OverflowPolicy = iota
	// DropNewest discards the new item.
	DropNewest
	// DropOldest discards the oldest item to make room.
	DropOldest
)

// Ring is a bounded queue between two tasks. It counts the items that it drops.
type Ring[T any] struct {
	name    string
	items   chan T
	policy  OverflowPolicy
	dropped atomic.Uint64
}

// NewRing returns a ring that holds at most size items.
func NewRing[T any](name string, size int, policy OverflowPolicy) *Ring[T] {
	return &Ring[T]{name: name, items: make(chan T, size), policy: policy}
}

// Put adds an item according to the ring's policy and reports whether the item
// was added. With Block, false means that ctx ended; the other policies do not
// wait and ignore ctx.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	switch r.policy {
	case DropNewest:
		return r.offer(item)
	case DropOldest:
		for !r.tryPut(item) {
			r.dropOldest()
		}
		return true
	}
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Offer adds an item if there is room and reports whether it was added. A full
// ring drops the new item and counts it, whatever the policy.
func (r *Ring[T]) Offer(item T) bool { return r.offer(item) }

// Items returns the channel to receive from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Name returns the ring's name, used as a metric label.
func (r *Ring[T]) Name() string { return r.name }

// Depth returns the number of waiting items.
func (r *Ring[T]) Depth() int { return len(r.items) }

// Dropped returns the number of items discarded so far.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }

func (r *Ring[T]) offer(item T) bool {
	if r.tryPut(item) {
		return true
	}
	r.dropped.Add(1)
	return false
}

func (r *Ring[T]) tryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

func (r *Ring[T]) dropOldest() {
	select {
	case <-r.items:
		r.dropped.Add(1)
	default:
	}
}
