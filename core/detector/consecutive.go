package detector

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// DefaultConsecutiveFailures is the number of failures in a row at which
// Consecutive suspects a server; five is the common default of such counters.
const DefaultConsecutiveFailures = 5

// maxOutcomes bounds the counts in Evidence: when this many attempts have been
// counted, both counts are halved, so that they describe recent attempts.
const maxOutcomes = 256

// Consecutive suspects a server after a number of failures in a row. It is the
// baseline that Sequential is compared with. It ignores latency and the age of
// unanswered attempts, so a stalled server is noticed only when its attempts
// time out.
type Consecutive struct {
	limit   int
	servers map[model.ServerID]*consecutiveState
}

// consecutiveState is the state of one server. The field failures counts the
// failures in a row.
type consecutiveState struct {
	failures  int
	outcomes  outcomeCounts
	startedAt map[model.AttemptID]time.Time
}

// outcomeCounts counts recently finished attempts and the failures among them.
type outcomeCounts struct{ attempts, failures uint16 }

func (e *outcomeCounts) add(failed bool) {
	if e.attempts >= maxOutcomes {
		e.attempts /= 2
		e.failures /= 2
	}
	e.attempts++
	if failed {
		e.failures++
	}
}

// NewConsecutive returns a detector that suspects a server after limit
// failures in a row; a limit below 1 is raised to 1.
func NewConsecutive(limit int) *Consecutive {
	return &Consecutive{limit: max(limit, 1), servers: map[model.ServerID]*consecutiveState{}}
}

var _ Detector = (*Consecutive)(nil)

// Started implements Detector.
func (c *Consecutive) Started(now time.Time, s model.ServerID, a model.AttemptID) {
	st := c.servers[s]
	if st == nil {
		st = &consecutiveState{startedAt: map[model.AttemptID]time.Time{}}
		c.servers[s] = st
	}
	st.startedAt[a] = now
}

// Finished implements Detector. Shed and Cancelled do not change the count of
// failures.
func (c *Consecutive) Finished(_ time.Time, s model.ServerID, a model.AttemptID, r Result) {
	st := c.servers[s]
	if st == nil {
		return
	}
	delete(st.startedAt, a)
	switch r.Kind {
	case Success:
		st.failures = 0
		st.outcomes.add(false)
	case Failure, ConnectFailure:
		st.failures++
		st.outcomes.add(true)
	}
}

// Reset implements Detector.
func (c *Consecutive) Reset(_ time.Time, s model.ServerID) {
	if st := c.servers[s]; st != nil {
		st.failures = 0
		st.outcomes = outcomeCounts{}
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
		Attempts: int(st.outcomes.attempts), Failures: int(st.outcomes.failures),
	}
	for _, began := range st.startedAt {
		e.OldestAttempt = max(e.OldestAttempt, now.Sub(began))
	}
	return e
}

// NextWake implements Detector. It always returns the zero time, because the
// counter changes only when attempts finish.
func (c *Consecutive) NextWake(time.Time) time.Time { return time.Time{} }
