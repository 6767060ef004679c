package edge

import (
	"sync/atomic"
	"time"
)

// DelayClock adds a time, as if the host had been suspended for it, to the clock by which
// freezes are noticed. It must be called before Run.
func (n *Node) DelayClock(by *atomic.Int64) {
	clock := n.keys.clock
	n.keys.clock = func() time.Duration { return clock() + time.Duration(by.Load()) }
}
