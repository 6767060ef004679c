package workspace

import "time"

const (
	// wakeGap is the shortest pause of the process that counts as a freeze. Busy hosts
	// with a tenth of a processor pause for 0.2 to 0.4 s; a revoked key that is accepted
	// for wakeGap longer still stops working within the usual bound of 5 s.
	wakeGap = 700 * time.Millisecond
	// confirmWait is how long after a freeze requests wait for a confirmation of the
	// configuration. After that the store counts as away.
	confirmWait = 1200 * time.Millisecond
	// staleInput is how long after a freeze confirmations are not relied on, because
	// they may have been received during the freeze and read only now.
	staleInput = 500 * time.Millisecond
)

// Trust says whether keys may be accepted by the configuration in force.
type Trust uint8

const (
	// Trusted: keys are accepted.
	Trusted Trust = iota
	// Pending: the configuration is about to be confirmed; requests wait.
	Pending
	// Untrusted: the configuration is too old; requests that need a key are refused.
	Untrusted
)

// Guard decides whether a host may accept keys by its configuration. Times are those of
// a clock that also runs while the host is suspended.
type Guard struct {
	limits RevocationLimits
	// seen is when the process was last known to run.
	seen time.Duration
	// wokeAt is the end of the last freeze; asleep is set until the configuration has
	// been confirmed since.
	wokeAt time.Duration
	asleep bool
}

// RevocationLimits bound the age of the configuration by which keys are accepted.
type RevocationLimits struct {
	// Within is the longest time since the last confirmation by the store; zero: no
	// limit.
	Within time.Duration
	// FailClosed makes requests be refused beyond Within.
	FailClosed bool
}

// NewGuard returns a guard of a process that runs at the time now.
func NewGuard(l RevocationLimits, now time.Duration) *Guard { return &Guard{limits: l, seen: now} }

// SetLimits replaces the limits.
func (g *Guard) SetLimits(l RevocationLimits) { g.limits = l }

// Observe records that the process runs. It returns true if the process was frozen since
// the last call, so that the configuration has to be confirmed.
func (g *Guard) Observe(now time.Duration) (woke bool) {
	woke = now-g.seen > wakeGap
	g.seen = max(g.seen, now)
	if woke {
		g.wokeAt, g.asleep = now, true
	}
	return woke
}

// Confirm records that the store, or a host with a confirmation that is not older than a
// moment, replied to a question asked at the given time.
func (g *Guard) Confirm(asked time.Duration) {
	if asked >= g.wokeAt {
		g.asleep = false
	}
}

// Confirmed reports whether the configuration has been confirmed since the last freeze.
// age is the time since the store's last confirmation as far as this host knows.
func (g *Guard) Confirmed(now, age time.Duration) bool {
	if g.asleep && now-age > g.wokeAt+staleInput {
		g.asleep = false
	}
	return !g.asleep
}

// Trust returns whether keys are accepted at the time now.
func (g *Guard) Trust(now, age time.Duration) Trust {
	confirmed := g.Confirmed(now, age)
	switch {
	case !confirmed && now-g.wokeAt < confirmWait:
		return Pending
	case g.limits.FailClosed && g.limits.Within > 0 && (!confirmed || age > g.limits.Within):
		return Untrusted
	}
	return Trusted
}
