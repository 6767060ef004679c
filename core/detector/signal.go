package detector

import (
	"cmp"
	"slices"
)

// Values of Evidence.Signal.
const (
	SignalFailures    = "failures"
	SignalLatency     = "latency"
	SignalStall       = "stall"
	SignalConnect     = "connect"
	SignalConsecutive = "consecutive"
)

// sortWorstFirst sorts by score, highest first, and by server ID for equal
// scores, so that results do not depend on the order of map iteration.
func sortWorstFirst(list []Suspicion) {
	slices.SortFunc(list, func(a, b Suspicion) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Server, b.Server))
	})
}
