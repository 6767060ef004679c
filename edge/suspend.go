package edge

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/agateusher/agateusher/telemetry"
)

// suspensionCheckInterval is the interval between checks for a suspension.
const suspensionCheckInterval = 200 * time.Millisecond

// minSuspension is the shortest suspension of the host that is noticed. It is above
// the difference between two reads of the clocks on a busy host.
const minSuspension = 200 * time.Millisecond

// suspensionClock finds out that the host was suspended. The monotonic clock, by which
// all ages are counted, does not run meanwhile; the boot-time clock does.
type suspensionClock struct {
	boot      func() time.Duration
	monotonic func() time.Duration
	offset    time.Duration
}

func newSuspensionClock() *suspensionClock {
	c := &suspensionClock{boot: readClock(unix.CLOCK_BOOTTIME), monotonic: readClock(unix.CLOCK_MONOTONIC)}
	c.offset = c.boot() - c.monotonic()
	return c
}

// readClock returns a function that reads a clock; zero if the system lacks it.
func readClock(id int32) func() time.Duration {
	return func() time.Duration {
		var ts unix.Timespec
		if err := unix.ClockGettime(id, &ts); err != nil {
			return 0
		}
		return time.Duration(ts.Nano())
	}
}

// suspended returns how long the host was suspended since the last call; zero if it
// was not.
func (c *suspensionClock) suspended() time.Duration {
	offset := c.boot() - c.monotonic()
	gap := offset - c.offset
	if gap < minSuspension {
		return 0
	}
	c.offset = offset
	return gap
}

// afterSuspension makes the content unconfirmed, so that the store or another daemon
// has to confirm it, forgets the attempts of other daemons and closes the idle
// connections: their servers counted on while the clocks here stood still.
func (n *Node) afterSuspension(gap time.Duration) {
	n.log.WithFields(telemetry.Fields{"event": "host_suspended", "for": gap.Round(time.Millisecond)}).Warn("the host was suspended; its content has to be confirmed again")
	n.cache.AddAge(gap)
	n.serverState.forgetPeerAttempts()
	n.exchanger.conns.clear()
}
