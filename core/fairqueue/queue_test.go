package fairqueue_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/fairqueue"
	"github.com/agateusher/agateusher/core/model"
)

const slotTime = 10 * time.Millisecond

var bothClasses = fairqueue.ClassSet{true, true}

func newQueue(total, workspace int) *fairqueue.Queue[string] {
	return fairqueue.New[string](fairqueue.Limits{Total: total, Workspace: workspace})
}

func entry(v string) *fairqueue.Entry[string] { return &fairqueue.Entry[string]{Value: v} }

func push(q *fairqueue.Queue[string], w string, n int) {
	for range n {
		q.Push(entry(w), model.WorkspaceID(w), 1, 0)
	}
}

// serve pops n entries, finishes each with the slot time that used returns for
// its value, and counts them by value.
func serve(q *fairqueue.Queue[string], n int, used func(string) time.Duration) map[string]int {
	counts := make(map[string]int)
	for range n {
		e := q.Pop(bothClasses, slotTime)
		counts[e.Value]++
		q.Finish(model.WorkspaceID(e.Value), slotTime, used(e.Value))
	}
	return counts
}

// Guards against a workspace that gets more slot time than the share by its weight
// because it sends more, or slower, requests.
func TestSharesFollowWeightAndSlotTime(t *testing.T) {
	for _, c := range []struct {
		name    string
		weightB float64
		usedB   time.Duration
		a, b    int
	}{
		{"equal", 1, slotTime, 30, 30},
		{"weight 2", 2, slotTime, 20, 40},
		{"slow requests", 1, 2 * slotTime, 40, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			q := newQueue(1000, 1000)
			push(q, "a", 100)
			for range 400 {
				q.Push(entry("b"), "b", c.weightB, 1)
			}
			counts := serve(q, 60, func(w string) time.Duration {
				if w == "b" {
					return c.usedB
				}
				return slotTime
			})
			g.Expect(counts["a"]).To(BeNumerically("~", c.a, 2))
			g.Expect(counts["b"]).To(BeNumerically("~", c.b, 2))
		})
	}
}

// Guards against a workspace that gets credit, although the limit is zero, for the
// time in which it sent nothing, and against one that waits behind the backlog of
// others.
func TestLateWorkspaceIsServedNextWithoutCredit(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(1000, 1000)
	push(q, "flood", 200)
	useSlotTime := func(string) time.Duration { return slotTime }
	serve(q, 100, useSlotTime)
	push(q, "late", 50)
	g.Expect(q.Ahead("later", 1, slotTime)).To(BeNumerically("<=", 3))
	counts := serve(q, 20, useSlotTime)
	g.Expect(counts["late"]).To(BeNumerically("~", 10, 1))
}

// Guards against a flooding workspace that keeps others out of a full queue.
func TestFullQueueDropsTheNewestOfTheLargestBacklog(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(5, 100)
	push(q, "flood", 4)
	newest := entry("newest of flood")
	g.Expect(q.Push(newest, "flood", 1, 0)).To(BeNil())
	other := entry("other")
	g.Expect(q.Push(other, "other", 1, 0)).To(BeIdenticalTo(newest))
	g.Expect(newest.Queued()).To(BeFalse())
	self := entry("self")
	g.Expect(q.Push(self, "flood", 1, 0)).To(BeIdenticalTo(self))
	g.Expect(q.Push(entry("heavy"), "heavy", 9, 0)).NotTo(BeNil())
	g.Expect(q.Len()).To(Equal(5))
}

// Guards against one workspace that fills the queue up to the total limit.
func TestWorkspaceBound(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(100, 2)
	push(q, "a", 2)
	third := entry("a")
	g.Expect(q.Push(third, "a", 1, 0)).To(BeIdenticalTo(third))
	g.Expect(q.Push(entry("b"), "b", 1, 0)).To(BeNil())
}

// Guards against Pop returning entries of a class that was not requested, and
// against a class that blocks the other one.
func TestPopHonoursClasses(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(100, 100)
	q.Push(entry("first"), "a", 1, 0)
	q.Push(entry("second"), "a", 1, 1)
	g.Expect(q.Pop(fairqueue.ClassSet{false, true}, slotTime).Value).To(Equal("second"))
	g.Expect(q.Pop(fairqueue.ClassSet{false, true}, slotTime)).To(BeNil())
	g.Expect(q.Pop(bothClasses, slotTime).Value).To(Equal("first"))
}

// Guards against memory that grows with the number of all workspaces that ever
// sent a request.
func TestIdleWorkspacesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(1000, 1000)
	push(q, "busy", 500)
	for i := range 400 {
		w := fmt.Sprint("w", i)
		push(q, w, 1)
		serve(q, 2, func(string) time.Duration { return slotTime })
		g.Expect(q.Workspaces()).To(BeNumerically("<", 10))
	}
	for q.Len() > 0 {
		serve(q, 1, func(string) time.Duration { return slotTime })
	}
	g.Expect(q.Workspaces()).To(BeZero())
}

// Guards, under random operations, against lost, duplicated or reordered entries
// and exceeded limits. The queue is compared with a map of the waiting entries.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(20, 8)
		waiting := make(map[*fairqueue.Entry[string]]string)
		running := make(map[string]int)
		var order []*fairqueue.Entry[string]
		perWorkspace := func(w string) (n int) {
			for _, v := range waiting {
				if v == w {
					n++
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				w := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "workspace")
				e := entry(w)
				class := fairqueue.Class(rapid.IntRange(0, 1).Draw(t, "class"))
				waiting[e] = w
				order = append(order, e)
				evicted := q.Push(e, model.WorkspaceID(w), rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "weight"), class)
				if evicted == nil {
					return
				}
				if _, ok := waiting[evicted]; !ok {
					t.Fatalf("Push evicted an entry that was not waiting")
				}
				if len(waiting) <= 20 && perWorkspace(w) <= 8 {
					t.Fatalf("Push evicted an entry of %q from a queue within its limits", evicted.Value)
				}
				delete(waiting, evicted)
			},
			"pop": func(t *rapid.T) {
				e := q.Pop(bothClasses, slotTime)
				if (e == nil) != (len(waiting) == 0) {
					t.Fatalf("Pop returned %v with %d entries waiting", e, len(waiting))
				}
				if e == nil {
					return
				}
				if _, ok := waiting[e]; !ok {
					t.Fatalf("Pop returned an entry that was not waiting")
				}
				delete(waiting, e)
				running[e.Value]++
			},
			"remove": func(t *rapid.T) {
				if len(order) == 0 {
					return
				}
				e := rapid.SampledFrom(order).Draw(t, "entry")
				q.Remove(e)
				delete(waiting, e)
			},
			"charge": func(t *rapid.T) {
				w := rapid.SampledFrom([]string{"a", "b", "c", "d", "unknown"}).Draw(t, "workspace")
				q.Finish(model.WorkspaceID(w), slotTime, time.Duration(rapid.IntRange(0, 100).Draw(t, "used"))*time.Millisecond)
				running[w] = max(0, running[w]-1)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) {
					t.Fatalf("%d entries wait, want %d", q.Len(), len(waiting))
				}
				if len(waiting) == 0 && running["a"]+running["b"]+running["c"]+running["d"] == 0 && q.Workspaces() != 0 {
					t.Fatalf("an idle queue keeps the state of %d workspaces", q.Workspaces())
				}
			},
		})
	})
}

// Guards against a burst of a workspace within its share that waits behind a
// workspace with a constant backlog, and against a credit beyond its limit.
func TestCreditIsBounded(t *testing.T) {
	g := NewWithT(t)
	q := fairqueue.New[string](fairqueue.Limits{Total: 1000, Workspace: 1000, Credit: 5 * slotTime})
	useSlotTime := func(string) time.Duration { return slotTime }
	push(q, "flood", 200)
	serve(q, 100, useSlotTime)
	push(q, "burst", 50)
	g.Expect(serve(q, 5, useSlotTime)["burst"]).To(Equal(5))
	g.Expect(serve(q, 20, useSlotTime)["burst"]).To(BeNumerically("~", 10, 1))
}
