package idempotency

import (
	"container/heap"
	"time"
)

// bucketWidth is the resolution at which issued keys are counted. A key counts as
// unexpired for up to this much longer than its lifetime.
const bucketWidth = time.Second

// bucket counts the keys issued within bucketWidth before end.
type bucket struct {
	end   time.Duration
	count int
}

// issueWindow counts the keys issued within the last lifetime.
type issueWindow struct {
	buckets []bucket
	total   int
}

func (w *issueWindow) count() int { return w.total }

func (w *issueWindow) add(at time.Duration, n int) {
	end := at.Truncate(bucketWidth) + bucketWidth
	w.total += n
	if last := len(w.buckets) - 1; last >= 0 && w.buckets[last].end == end {
		w.buckets[last].count += n
		return
	}
	w.buckets = append(w.buckets, bucket{end: end, count: n})
}

// expire drops the buckets that end before the given time.
func (w *issueWindow) expire(before time.Duration) {
	for len(w.buckets) > 0 && w.buckets[0].end < before {
		w.total -= w.buckets[0].count
		w.buckets = w.buckets[1:]
	}
}

type spentKey struct {
	expiry   time.Duration
	sequence uint64
}

// spentQueue is a heap of spent keys ordered by expiry. A heap is needed because
// keys are not spent in the order in which they were issued.
type spentQueue []spentKey

func (q *spentQueue) push(expiry time.Duration, sequence uint64) {
	heap.Push(q, spentKey{expiry: expiry, sequence: sequence})
}

func (q *spentQueue) popExpired(age time.Duration) (uint64, bool) {
	if len(*q) == 0 || (*q)[0].expiry > age {
		return 0, false
	}
	return heap.Pop(q).(spentKey).sequence, true
}

// Len implements heap.Interface.
func (q spentQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q spentQueue) Less(i, j int) bool { return q[i].expiry < q[j].expiry }

// Swap implements heap.Interface.
func (q spentQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *spentQueue) Push(x any) { *q = append(*q, x.(spentKey)) }

// Pop implements heap.Interface.
func (q *spentQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
