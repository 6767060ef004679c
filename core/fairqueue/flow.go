package fairqueue

import (
	"github.com/agateusher/agateusher/core/internal/indexheap"
	"github.com/agateusher/agateusher/core/model"
)

// Class is a class of requests that can be served separately, because slots are
// reserved for it.
type Class uint8

// NumClasses is the number of classes; a Class is less than NumClasses.
const NumClasses = 2

// ClassSet is a set of classes.
type ClassSet [NumClasses]bool

// Entry is one waiting request. Make it a field of the request, so that it needs
// no allocation; the zero value is ready for Push. An entry is in at most one
// queue.
type Entry[T any] struct {
	Value      T
	flow       *flow[T]
	class      Class
	seq        uint64
	prev, next *Entry[T]
}

// Queued reports whether the entry is in a queue.
func (e *Entry[T]) Queued() bool { return e.flow != nil }

// list is a FIFO list of the waiting entries of one class.
type list[T any] struct{ first, last *Entry[T] }

func (l *list[T]) push(e *Entry[T]) {
	e.prev, e.next = l.last, nil
	if l.last == nil {
		l.first = e
	} else {
		l.last.next = e
	}
	l.last = e
}

func (l *list[T]) remove(e *Entry[T]) {
	if e.prev == nil {
		l.first = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.last = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
}

// flow is the state of one active workspace.
type flow[T any] struct {
	workspace model.WorkspaceID
	weight    float64
	// tag is the virtual start time of the next request, in seconds of slot time
	// per unit of weight.
	tag   float64
	lists [NumClasses]list[T]
	// queued and running count the workspace's waiting requests and its attempts.
	queued, running int
	// readyPos, backlogPos and idlePos are positions in the heaps of the queue.
	readyPos            [NumClasses]int
	backlogPos, idlePos int
}

func newFlow[T any](w model.WorkspaceID) *flow[T] {
	return &flow[T]{
		workspace: w, weight: 1,
		readyPos:   [NumClasses]int{indexheap.Absent, indexheap.Absent},
		backlogPos: indexheap.Absent, idlePos: indexheap.Absent,
	}
}

// newest returns the waiting entry that was pushed last, or nil.
func (f *flow[T]) newest() *Entry[T] {
	var newest *Entry[T]
	for c := range f.lists {
		if e := f.lists[c].last; e != nil && (newest == nil || e.seq > newest.seq) {
			newest = e
		}
	}
	return newest
}

// weightedBacklog returns the number of waiting requests divided by the weight.
func (f *flow[T]) weightedBacklog() float64 { return float64(f.queued) / f.weight }
