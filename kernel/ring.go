package kernel

import (
	"context"
	"sync/atomic"
)

// FullPolicy says what a ring does with a new item when it is full.
type FullPolicy uint8

const (
	// Block makes Put wait until there is room or the context ends.
	Block FullPolicy = iota
	// DropNewest discards the new item.
	DropNewest
	// DropOldest discards the oldest item to make room.
	DropOldest
)

// Ring is a bounded queue between two tasks. It counts what it drops.
type Ring[T any] struct {
	name    string
	items   chan T
	policy  FullPolicy
	dropped atomic.Uint64
}

// NewRing returns a ring that holds size items.
func NewRing[T any](name string, size int, policy FullPolicy) *Ring[T] {
	return &Ring[T]{name: name, items: make(chan T, size), policy: policy}
}

// Put adds an item according to the ring's policy. It reports whether the item
// was added; false with Block means that ctx ended.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	switch r.policy {
	case DropNewest:
		return r.offer(item)
	case DropOldest:
		for !r.tryPut(item) {
			r.dropOne()
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

// Offer adds an item if there is room, whatever the policy; otherwise the item
// counts as dropped.
func (r *Ring[T]) Offer(item T) bool { return r.offer(item) }

// Items returns the channel to receive from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Name returns the ring's name, used as a metric label.
func (r *Ring[T]) Name() string { return r.name }

// Depth returns the number of waiting items.
func (r *Ring[T]) Depth() int { return len(r.items) }

// Dropped returns the number of discarded items so far.
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

func (r *Ring[T]) dropOne() {
	select {
	case <-r.items:
		r.dropped.Add(1)
	default:
	}
}
