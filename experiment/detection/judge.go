package detection

import (
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/model"
)

// Rule is the ejection rule of the trial: a simple form of the pool's.
type Rule struct {
	// Hold is the time of the first ejection. It doubles up to MaxHold for
	// each ejection within Memory of the last readmission.
	Hold, MaxHold, Memory time.Duration
	// Probation is the number of answers in a row, one at a time, that end
	// probation. A failure during it ejects again.
	Probation int
}

// DefaultRule returns the rule of all trials.
func DefaultRule() Rule {
	return Rule{Hold: 5 * time.Second, MaxHold: time.Minute, Memory: time.Minute, Probation: 5}
}

// admission is a judge's decision about one server.
type admission struct {
	ejected   bool
	until     time.Duration // end of the hold
	hold      time.Duration
	readmit   time.Duration // last readmission
	probation int           // answers still needed; zero: full service
	inFlight  int
}

// ejection is reported to the trial.
type ejection struct {
	server int
	signal string
}

// judge decides for one owner or one entry.
type judge struct {
	d       detector.Detector
	rule    Rule
	limits  floor.Limits
	slots   int
	ids     []model.ServerID
	servers []admission
	due     time.Duration // earliest end of a hold
	input   floor.Input
}

func newJudge(d detector.Detector, rule Rule, limits floor.Limits, ids []model.ServerID, slots int) *judge {
	j := &judge{d: d, rule: rule, limits: limits, ids: ids, slots: slots, servers: make([]admission, len(ids)), due: forever}
	for i := range j.servers {
		j.servers[i].readmit = -rule.Memory
	}
	return j
}

// accepts reports whether the server may get another attempt.
func (j *judge) accepts(server int) bool {
	a := &j.servers[server]
	return !a.ejected && (a.probation == 0 || a.inFlight == 0)
}

// ended updates probation after an attempt and returns an ejection, if any.
func (j *judge) ended(now time.Duration, server int, kind detector.Kind) []ejection {
	a := &j.servers[server]
	a.inFlight--
	if a.ejected || a.probation == 0 {
		return nil
	}
	switch kind {
	case detector.Success:
		a.probation--
	case detector.Failure, detector.ConnectFailure:
		return j.plan(now, map[model.ServerID]detector.Suspicion{
			j.ids[server]: {Score: 1, Evidence: detector.Evidence{Signal: "probation"}}})
	}
	return nil
}

// assess ends holds that are over and ejects what the detector suspects.
func (j *judge) assess(now time.Duration) []ejection {
	if now >= j.due {
		j.endHolds(now)
	}
	suspects := j.d.Suspects(at(now))
	if len(suspects) == 0 {
		return nil
	}
	byServer := make(map[model.ServerID]detector.Suspicion, len(suspects))
	for _, s := range suspects {
		byServer[s.Server] = s
	}
	return j.plan(now, byServer)
}

func (j *judge) plan(now time.Duration, suspects map[model.ServerID]detector.Suspicion) []ejection {
	j.input.Limits = j.limits
	j.input.Servers = j.input.Servers[:0]
	for i, a := range j.servers {
		s := floor.Server{ID: j.ids[i], Slots: j.slots, State: floor.Serving, Score: suspects[j.ids[i]].Score}
		if a.ejected {
			s.State = floor.EjectedByHealth
		}
		j.input.Servers = append(j.input.Servers, s)
	}
	var list []ejection
	for _, id := range floor.Plan(j.input).Eject {
		for i := range j.ids {
			if j.ids[i] == id {
				j.eject(now, i)
				list = append(list, ejection{server: i, signal: suspects[id].Evidence.Signal})
			}
		}
	}
	return list
}

func (j *judge) eject(now time.Duration, server int) {
	a := &j.servers[server]
	if now-a.readmit < j.rule.Memory {
		a.hold = min(2*a.hold, j.rule.MaxHold)
	} else {
		a.hold = j.rule.Hold
	}
	a.ejected, a.until, a.probation = true, now+a.hold, 0
	j.due = min(j.due, a.until)
}

func (j *judge) endHolds(now time.Duration) {
	j.due = forever
	for i := range j.servers {
		a := &j.servers[i]
		if !a.ejected {
			continue
		}
		if now < a.until {
			j.due = min(j.due, a.until)
			continue
		}
		a.ejected, a.readmit, a.probation = false, now, j.rule.Probation
		j.d.Reset(at(now), j.ids[i])
	}
}
