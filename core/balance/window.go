package balance

import "time"

// windowParts is the resolution of a sliding window.
const windowParts = 20

// longWindow returns a window that covers at least the span: one part more.
func longWindow(span time.Duration) window { return window{span: span + span/windowParts} }

// window counts events over the last span, by the monotonic clock. It covers
// between 19 parts of 20 and the whole span.
type window struct {
	span  time.Duration
	start time.Time
	parts [windowParts]int
	total int
	last  int64
}

func (w *window) add(now time.Time) {
	w.advance(now)
	w.parts[w.last%windowParts]++
	w.total++
}

func (w *window) count(now time.Time) int {
	w.advance(now)
	return w.total
}

func (w *window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	part := int64(now.Sub(w.start)) / (int64(w.span) / windowParts)
	if part-w.last >= windowParts {
		w.parts, w.total, w.last = [windowParts]int{}, 0, part
		return
	}
	for w.last < part {
		w.last++
		w.total -= w.parts[w.last%windowParts]
		w.parts[w.last%windowParts] = 0
	}
}
