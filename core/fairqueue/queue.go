package fairqueue

import (
	"time"

	"github.com/agateusher/agateusher/core/internal/indexheap"
	"github.com/agateusher/agateusher/core/model"
)

// Limits bounds the waiting requests.
type Limits struct {
	// Total over all workspaces, and for each Workspace.
	Total, Workspace int
	// Credit is the slot time, per unit of weight, that a workspace may save up
	// by using less than its share.
	Credit time.Duration
}

// Queue is a bounded weighted fair queue. Create it with New. It is not safe
// for concurrent use.
type Queue[T any] struct {
	limits Limits
	flows  map[model.WorkspaceID]*flow[T]
	// ready orders the flows with waiting requests of a class by tag, backlogs
	// all flows with waiting requests by backlog, idle the flows without any
	// request by tag.
	ready    [NumClasses]*indexheap.Heap[*flow[T]]
	backlogs *indexheap.Heap[*flow[T]]
	idle     *indexheap.Heap[*flow[T]]
	// virtual is the largest tag served so far.
	virtual float64
	seq     uint64
	// queued and running count requests, waitingWeight sums the weights of the
	// flows with waiting requests.
	queued, running int
	waitingWeight   float64
}

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] {
	q := &Queue[T]{limits: limits, flows: make(map[model.WorkspaceID]*flow[T])}
	for c := range q.ready {
		q.ready[c] = indexheap.New(
			func(a, b *flow[T]) bool {
				if a.tag != b.tag {
					return a.tag < b.tag
				}
				return a.lists[c].first.seq < b.lists[c].first.seq
			},
			func(f *flow[T]) *int { return &f.readyPos[c] })
	}
	q.backlogs = indexheap.New(
		func(a, b *flow[T]) bool {
			if a.backlog() != b.backlog() {
				return a.backlog() > b.backlog()
			}
			return a.workspace < b.workspace
		},
		func(f *flow[T]) *int { return &f.backlogPos })
	q.idle = indexheap.New(
		func(a, b *flow[T]) bool { return a.tag < b.tag },
		func(f *flow[T]) *int { return &f.idlePos })
	return q
}

// SetLimits changes the bounds. Waiting requests over a lower bound stay.
func (q *Queue[T]) SetLimits(limits Limits) { q.limits = limits }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.queued }

// Waiting reports whether requests of a class wait.
func (q *Queue[T]) Waiting(c Class) bool { return q.ready[c].Len() > 0 }

// Workspaces returns the number of workspaces that the queue remembers.
func (q *Queue[T]) Workspaces() int { return len(q.flows) }

// Push adds an entry. If the queue is over a bound, it returns the entry that
// has to leave, which may be e itself and is no longer in the queue: e if its
// workspace is over its own bound, otherwise the newest of the workspace with
// the largest backlog relative to its weight. A weight of zero or less means 1.
func (q *Queue[T]) Push(e *Entry[T], w model.WorkspaceID, weight float64, c Class) *Entry[T] {
	f := q.flow(w, weight)
	if f.queued >= q.limits.Workspace {
		q.settle(f)
		return e
	}
	if f.queued == 0 {
		f.tag = max(f.tag, q.oldest())
		q.waitingWeight += f.weight
	}
	q.seq++
	e.flow, e.class, e.seq = f, c, q.seq
	f.lists[c].push(e)
	f.queued++
	q.queued++
	q.reorder(f)
	if q.queued <= q.limits.Total {
		return nil
	}
	worst, _ := q.backlogs.Min()
	loser := worst.newest()
	q.Remove(loser)
	return loser
}

// Pop takes the next entry of the given classes and charges its workspace the
// estimated slot time; nil if none waits. Finish must follow when it ends.
func (q *Queue[T]) Pop(classes ClassSet, estimate time.Duration) *Entry[T] {
	var next *flow[T]
	var class Class
	for c := range q.ready {
		f, ok := q.ready[c].Min()
		if ok && classes[c] && (next == nil || f.before(next, Class(c), class)) {
			next, class = f, Class(c)
		}
	}
	if next == nil {
		return nil
	}
	e := next.lists[class].first
	q.virtual = max(q.virtual, next.tag)
	q.unlink(e)
	q.start(next, estimate)
	return e
}

// before orders two flows that lead the heaps of two classes.
func (f *flow[T]) before(g *flow[T], c, d Class) bool {
	if f.tag != g.tag {
		return f.tag < g.tag
	}
	return f.lists[c].first.seq < g.lists[d].first.seq
}

// Start charges an attempt that does not come from Pop, such as a retry. Finish
// must follow when it ends.
func (q *Queue[T]) Start(w model.WorkspaceID, weight float64, estimate time.Duration) {
	f := q.flow(w, weight)
	if f.queued == 0 {
		f.tag = max(f.tag, q.oldest())
	}
	q.start(f, estimate)
}

func (q *Queue[T]) start(f *flow[T], estimate time.Duration) {
	f.running++
	q.running++
	f.tag += estimate.Seconds() / f.weight
	q.settle(f)
}

// Finish ends an attempt that Pop or Start began: the estimate is replaced by
// the slot time that was used. Unknown workspaces are ignored.
func (q *Queue[T]) Finish(w model.WorkspaceID, estimate, used time.Duration) {
	f := q.flows[w]
	if f == nil || f.running == 0 {
		return
	}
	f.running--
	q.running--
	f.tag += (used - estimate).Seconds() / f.weight
	q.settle(f)
}

// Remove takes a waiting entry out; it does nothing if the entry is not queued.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if f := e.flow; f != nil {
		q.unlink(e)
		q.settle(f)
	}
}

// Ahead estimates how many waiting requests would be served before a new one
// of this workspace: as many as its own backlog allows the others in
// proportion to their weights, and no more than wait.
func (q *Queue[T]) Ahead(w model.WorkspaceID, weight float64, estimate time.Duration) int {
	if q.queued == 0 {
		return 0
	}
	own, tag := 0, q.oldest()
	total := q.waitingWeight
	if f := q.flows[w]; f != nil {
		own, tag, weight = f.queued, max(f.tag, tag), f.weight
	}
	if weight <= 0 {
		weight = 1
	}
	if own == 0 {
		total += weight
	}
	lead := (tag - q.least()) / max(estimate.Seconds(), time.Microsecond.Seconds())
	ahead := (lead + float64(own)/weight) * total
	return int(min(float64(q.queued), max(0, ahead)))
}

// oldest returns the smallest tag of a flow that starts to wait.
func (q *Queue[T]) oldest() float64 { return q.virtual - q.limits.Credit.Seconds() }

// least returns the smallest tag of a waiting flow.
func (q *Queue[T]) least() float64 {
	least := q.virtual
	for c := range q.ready {
		if f, ok := q.ready[c].Min(); ok {
			least = min(least, f.tag)
		}
	}
	return least
}

// flow returns the state of a workspace and updates its weight.
func (q *Queue[T]) flow(w model.WorkspaceID, weight float64) *flow[T] {
	f := q.flows[w]
	if f == nil {
		f = newFlow[T](w)
		f.tag = q.oldest()
		q.flows[w] = f
	}
	if weight <= 0 {
		weight = 1
	}
	if f.weight != weight {
		if f.queued > 0 {
			q.waitingWeight += weight - f.weight
		}
		f.weight = weight
		q.reorder(f)
	}
	return f
}

// unlink takes an entry out of its flow without reordering the flow.
func (q *Queue[T]) unlink(e *Entry[T]) {
	f := e.flow
	f.lists[e.class].remove(e)
	e.flow = nil
	f.queued--
	q.queued--
	if f.queued == 0 {
		q.waitingWeight -= f.weight
	}
	if q.queued == 0 {
		q.waitingWeight = 0
	}
}

// settle restores the heaps after a change of the flow, and forgets flows that
// no longer matter.
func (q *Queue[T]) settle(f *flow[T]) {
	q.reorder(f)
	if q.queued == 0 && q.running == 0 {
		clear(q.flows)
		q.idle.Clear()
		q.virtual = 0
		return
	}
	for {
		idle, ok := q.idle.Min()
		if !ok || idle.tag > q.oldest() {
			return
		}
		q.idle.Remove(idle)
		delete(q.flows, idle.workspace)
	}
}

// reorder restores the position of the flow in each heap.
func (q *Queue[T]) reorder(f *flow[T]) {
	for c := range q.ready {
		if f.lists[c].first != nil {
			q.ready[c].Set(f)
		} else {
			q.ready[c].Remove(f)
		}
	}
	if f.queued > 0 {
		q.backlogs.Set(f)
	} else {
		q.backlogs.Remove(f)
	}
	if f.queued == 0 && f.running == 0 {
		q.idle.Set(f)
	} else {
		q.idle.Remove(f)
	}
}
