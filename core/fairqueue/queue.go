package fairqueue

import (
	"time"

	"github.com/agateusher/agateusher/core/internal/indexheap"
	"github.com/agateusher/agateusher/core/model"
)

// Limits bounds the waiting requests and the credit of workspaces.
type Limits struct {
	// Total is the largest number of waiting requests, Workspace that of one
	// workspace.
	Total, Workspace int
	// Credit is the slot time, per unit of weight, that a workspace can
	// accumulate by using less than its share.
	Credit time.Duration
}

// Queue is a bounded weighted fair queue. Create it with New. It is not safe
// for concurrent use.
type Queue[T any] struct {
	limits Limits
	flows  map[model.WorkspaceID]*flow[T]
	// ready orders the flows with waiting requests of a class by tag. backlogs
	// orders the flows with waiting requests by weighted backlog, largest first.
	// idle orders the flows without waiting or running requests by tag.
	ready    [NumClasses]*indexheap.Heap[*flow[T]]
	backlogs *indexheap.Heap[*flow[T]]
	idle     *indexheap.Heap[*flow[T]]
	// virtualTime is the largest tag served so far.
	virtualTime float64
	seq         uint64
	// queued counts waiting requests, running counts attempts; waitingWeight is
	// the sum of the weights of the flows with waiting requests.
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
			if a.weightedBacklog() != b.weightedBacklog() {
				return a.weightedBacklog() > b.weightedBacklog()
			}
			return a.workspace < b.workspace
		},
		func(f *flow[T]) *int { return &f.backlogPos })
	q.idle = indexheap.New(
		func(a, b *flow[T]) bool { return a.tag < b.tag },
		func(f *flow[T]) *int { return &f.idlePos })
	return q
}

// SetLimits changes the limits. Waiting requests beyond a lowered limit stay in
// the queue.
func (q *Queue[T]) SetLimits(limits Limits) { q.limits = limits }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.queued }

// Waiting reports whether any request of the class is waiting.
func (q *Queue[T]) Waiting(c Class) bool { return q.ready[c].Len() > 0 }

// Workspaces returns the number of workspaces whose state the queue keeps.
func (q *Queue[T]) Workspaces() int { return len(q.flows) }

// Push adds an entry. If that exceeds a limit, it returns the evicted entry,
// which is not in the queue: e itself if its workspace is at its own limit,
// otherwise the newest entry, possibly e, of the workspace with the largest
// backlog relative to its weight. A weight of zero or less means 1.
func (q *Queue[T]) Push(e *Entry[T], w model.WorkspaceID, weight float64, c Class) *Entry[T] {
	f := q.flow(w, weight)
	if f.queued >= q.limits.Workspace {
		q.updateFlow(f)
		return e
	}
	if f.queued == 0 {
		f.tag = max(f.tag, q.minStartTag())
		q.waitingWeight += f.weight
	}
	q.seq++
	e.flow, e.class, e.seq = f, c, q.seq
	f.lists[c].push(e)
	f.queued++
	q.queued++
	q.updateHeaps(f)
	if q.queued <= q.limits.Total {
		return nil
	}
	largest, _ := q.backlogs.Min()
	evicted := largest.newest()
	q.Remove(evicted)
	return evicted
}

// Pop removes and returns the next entry of the given classes and charges its
// workspace the estimated slot time; nil if none is waiting. Finish must be called
// when the attempt ends.
func (q *Queue[T]) Pop(classes ClassSet, estimate time.Duration) *Entry[T] {
	var next *flow[T]
	var class Class
	for c := range q.ready {
		f, ok := q.ready[c].Min()
		if ok && classes[c] && (next == nil || f.servedBefore(next, Class(c), class)) {
			next, class = f, Class(c)
		}
	}
	if next == nil {
		return nil
	}
	e := next.lists[class].first
	q.virtualTime = max(q.virtualTime, next.tag)
	q.unlink(e)
	q.startAttempt(next, estimate)
	return e
}

// servedBefore reports whether f, the first flow of class c, is served before g,
// the first flow of class d.
func (f *flow[T]) servedBefore(g *flow[T], c, d Class) bool {
	if f.tag != g.tag {
		return f.tag < g.tag
	}
	return f.lists[c].first.seq < g.lists[d].first.seq
}

// Start charges the workspace for an attempt that does not come from Pop, such as
// a retry. Finish must be called when the attempt ends.
func (q *Queue[T]) Start(w model.WorkspaceID, weight float64, estimate time.Duration) {
	f := q.flow(w, weight)
	if f.queued == 0 {
		f.tag = max(f.tag, q.minStartTag())
	}
	q.startAttempt(f, estimate)
}

func (q *Queue[T]) startAttempt(f *flow[T], estimate time.Duration) {
	f.running++
	q.running++
	f.tag += estimate.Seconds() / f.weight
	q.updateFlow(f)
}

// Finish ends an attempt that Pop or Start began and replaces the estimate by the
// slot time that was used. Unknown workspaces are ignored.
func (q *Queue[T]) Finish(w model.WorkspaceID, estimate, used time.Duration) {
	f := q.flows[w]
	if f == nil || f.running == 0 {
		return
	}
	f.running--
	q.running--
	f.tag += (used - estimate).Seconds() / f.weight
	q.updateFlow(f)
}

// Remove removes a waiting entry; it does nothing if the entry is not queued.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if f := e.flow; f != nil {
		q.unlink(e)
		q.updateFlow(f)
	}
}

// Ahead estimates how many waiting requests would be served before a new one of
// this workspace. While its own backlog is served, the other workspaces are served
// in proportion to their weights. The result is at most the number of waiting
// requests.
func (q *Queue[T]) Ahead(w model.WorkspaceID, weight float64, estimate time.Duration) int {
	if q.queued == 0 {
		return 0
	}
	own, tag := 0, q.minStartTag()
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
	lead := (tag - q.minWaitingTag()) / max(estimate.Seconds(), time.Microsecond.Seconds())
	ahead := (lead + float64(own)/weight) * total
	return int(min(float64(q.queued), max(0, ahead)))
}

// minStartTag returns the smallest tag that a flow can start with: the virtual
// time less the credit.
func (q *Queue[T]) minStartTag() float64 { return q.virtualTime - q.limits.Credit.Seconds() }

// minWaitingTag returns the smallest tag of a flow with waiting requests, at most
// the virtual time.
func (q *Queue[T]) minWaitingTag() float64 {
	minWaitingTag := q.virtualTime
	for c := range q.ready {
		if f, ok := q.ready[c].Min(); ok {
			minWaitingTag = min(minWaitingTag, f.tag)
		}
	}
	return minWaitingTag
}

// flow returns the state of a workspace, which it creates if necessary, and
// updates its weight.
func (q *Queue[T]) flow(w model.WorkspaceID, weight float64) *flow[T] {
	f := q.flows[w]
	if f == nil {
		f = newFlow[T](w)
		f.tag = q.minStartTag()
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
		q.updateHeaps(f)
	}
	return f
}

// unlink removes an entry from its flow without updating the heaps.
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

// updateFlow updates the heaps after a change of the flow, and deletes idle flows
// whose tag no longer affects the order.
func (q *Queue[T]) updateFlow(f *flow[T]) {
	q.updateHeaps(f)
	if q.queued == 0 && q.running == 0 {
		clear(q.flows)
		q.idle.Clear()
		q.virtualTime = 0
		return
	}
	for {
		idle, ok := q.idle.Min()
		if !ok || idle.tag > q.minStartTag() {
			return
		}
		q.idle.Remove(idle)
		delete(q.flows, idle.workspace)
	}
}

// updateHeaps updates the position of the flow in each heap.
func (q *Queue[T]) updateHeaps(f *flow[T]) {
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
