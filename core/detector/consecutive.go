package detector

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// DefaultConsecutiveFailures is the number of failures in a row at which
// Consecutive suspects a server; five is the common default of such counters.
const DefaultConsecutiveFailures = 5

// recentEnds bounds the counts in Evidence: at this many ends both counts are
// halved, so that they describe recent work.
const recentEnds = 256

// Consecutive suspects a server after a number of failures in a row. It is the
// baseline that Sequential is compared with. It ignores latency and the age of
// unanswered attempts: a stall counts only once attempts end in timeouts.
type Consecutive struct {
	limit   int
	servers map[model.ServerID]*streak
}

type streak struct {
	failures int
	ends     ends
	started  map[model.AttemptID]time.Time
}

// ends counts recent ends of attempts and how many of them failed.
type ends struct{ attempts, failures uint16 }

func (e *ends) add(failed bool) {
	if e.attempts >= recentEnds {
		e.attempts /= 2
		e.failures /= 2
	}
	e.attempts++
	if failed {
		e.failures++
	}
}

// NewConsecutive returns a detector that suspects a server after limit
// failures in a row; a limit below 1 counts as 1.
func NewConsecutive(limit int) *Consecutive {
	return &Consecutive{limit: max(limit, 1), servers: map[model.ServerID]*streak{}}
}

var _ Detector = (*Consecutive)(nil)

// Started implements Detector.
func (c *Consecutive) Started(now time.Time, s model.ServerID, a model.AttemptID) {
	st := c.servers[s]
	if st == nil {
		st = &streak{started: map[model.AttemptID]time.Time{}}
		c.servers[s] = st
	}
	st.started[a] = now
}

// Finished implements Detector. Shed and Cancelled change nothing.
func (c *Consecutive) Finished(_ time.Time, s model.ServerID, a model.AttemptID, r Result) {
	st := c.servers[s]
	if st == nil {
		return
	}
	delete(st.started, a)
	switch r.Kind {
	case Success:
		st.failures = 0
		st.ends.add(false)
	case Failure, ConnectFailure:
		st.failures++
		st.ends.add(true)
	}
}

// Reset implements Detector.
func (c *Consecutive) Reset(_ time.Time, s model.ServerID) {
	if st := c.servers[s]; st != nil {
		st.failures = 0
		st.ends = ends{}
	}
}

// Forget implements Detector.
func (c *Consecutive) Forget(s model.ServerID) { delete(c.servers, s) }

// Suspects implements Detector. The score is the number of failures in a row.
func (c *Consecutive) Suspects(now time.Time) []Suspicion {
	var list []Suspicion
	for s, st := range c.servers {
		if st.failures >= c.limit {
			list = append(list, Suspicion{Server: s, Score: float64(st.failures), Evidence: c.Evidence(now, s)})
		}
	}
	sortWorstFirst(list)
	return list
}

// Evidence implements Detector.
func (c *Consecutive) Evidence(now time.Time, s model.ServerID) Evidence {
	st := c.servers[s]
	if st == nil {
		return Evidence{}
	}
	e := Evidence{
		Signal: SignalConsecutive, Score: float64(st.failures), Threshold: float64(c.limit),
		Attempts: int(st.ends.attempts), Failures: int(st.ends.failures),
	}
	for _, began := range st.started {
		e.OldestAttempt = max(e.OldestAttempt, now.Sub(began))
	}
	return e
}

// NextWake implements Detector. It is always zero: the counter changes only
// when attempts end.
func (c *Consecutive) NextWake(time.Time) time.Time { return time.Time{} }
