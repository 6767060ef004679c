// Package indexheap implements a binary min-heap whose items store their
// position, so that any item can be moved or removed in O(log n).
package indexheap

// Absent is the position of an item that is in no heap.
const Absent = -1

// Heap is a min-heap of items ordered by less. Create it with New.
type Heap[T any] struct {
	items []T
	less  func(a, b T) bool
	// position returns a pointer to the item's position in this heap.
	position func(T) *int
}

// New returns an empty heap. The value that position points to must be Absent
// while the item is not in the heap.
func New[T any](less func(a, b T) bool, position func(T) *int) *Heap[T] {
	return &Heap[T]{less: less, position: position}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the smallest item; false if the heap is empty.
func (h *Heap[T]) Min() (T, bool) {
	if len(h.items) == 0 {
		var none T
		return none, false
	}
	return h.items[0], true
}

// Contains reports whether the item is in the heap.
func (h *Heap[T]) Contains(item T) bool { return *h.position(item) != Absent }

// Set inserts the item, or moves it to its place after its order has changed.
func (h *Heap[T]) Set(item T) {
	if !h.Contains(item) {
		h.items = append(h.items, item)
		*h.position(item) = len(h.items) - 1
	}
	i := *h.position(item)
	if !h.down(i) {
		h.up(i)
	}
}

// Remove removes the item; it does nothing if the item is not in the heap.
func (h *Heap[T]) Remove(item T) {
	i := *h.position(item)
	if i == Absent {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*h.position(item) = Absent
	if i < last && !h.down(i) {
		h.up(i)
	}
}

// Clear removes all items.
func (h *Heap[T]) Clear() {
	for _, item := range h.items {
		*h.position(item) = Absent
	}
	clear(h.items)
	h.items = h.items[:0]
}

func (h *Heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]) = i
	*h.position(h.items[j]) = j
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the item towards the leaves and reports whether it moved.
func (h *Heap[T]) down(i int) bool {
	moved := false
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return moved
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			return moved
		}
		h.swap(i, child)
		i = child
		moved = true
	}
}
