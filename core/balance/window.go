package balance

import "time"

// windowBuckets is the number of buckets of a sliding window.
const windowBuckets = 20

// extendedWindow returns a window that is one bucket longer than the span, so
// that it always covers the whole span.
func extendedWindow(span time.Duration) window { return window{span: span + span/windowBuckets} }

// window counts events over a sliding span by the monotonic clock. At bucket
// resolution it covers between 19/20 of the span and the whole span.
type window struct {
	span    time.Duration
	start   time.Time
	buckets [windowBuckets]int
	total   int
	// current is the number of the newest bucket since start.
	current int64
}

func (w *window) add(now time.Time) {
	w.advance(now)
	w.buckets[w.current%windowBuckets]++
	w.total++
}

func (w *window) count(now time.Time) int {
	w.advance(now)
	return w.total
}

// advance drops the buckets that have left the window.
func (w *window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	bucket := int64(now.Sub(w.start)) / (int64(w.span) / windowBuckets)
	if bucket-w.current >= windowBuckets {
		w.buckets, w.total, w.current = [windowBuckets]int{}, 0, bucket
		return
	}
	for w.current < bucket {
		w.current++
		w.total -= w.buckets[w.current%windowBuckets]
		w.buckets[w.current%windowBuckets] = 0
	}
}
