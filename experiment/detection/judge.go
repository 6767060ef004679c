package detection

import (
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/model"
)

// Rule is the ejection rule of a trial, a simplified form of the pool's rule.
type Rule struct {
	// Hold is the duration of an ejection. It doubles, up to MaxHold, for each
	// ejection within BackoffWindow of the last readmission.
	Hold, MaxHold, BackoffWindow time.Duration
	// Probation is the number of successful answers that end the probation of a
	// readmitted server. It gets one attempt at a time during probation, and a
	// failure ejects it again.
	Probation int
}

// DefaultRule returns the rule of all trials.
func DefaultRule() Rule {
	return Rule{Hold: 5 * time.Second, MaxHold: time.Minute, BackoffWindow: time.Minute, Probation: 5}
}

// serverState is a judge's state for one server.
type serverState struct {
	ejected      bool
	holdEnd      time.Duration
	hold         time.Duration
	readmittedAt time.Duration
	probation    int // successes that probation still needs; 0: not on probation
	inFlight     int
}

// ejection is an ejected server and the signal that caused it.
type ejection struct {
	server int
	signal string
}

// judge ejects and readmits servers for one owner or one entry.
type judge struct {
	d           detector.Detector
	rule        Rule
	limits      floor.Limits
	slots       int
	ids         []model.ServerID
	servers     []serverState
	nextHoldEnd time.Duration // earliest end of any hold
	input       floor.Input
}

func newJudge(d detector.Detector, rule Rule, limits floor.Limits, ids []model.ServerID, slots int) *judge {
	j := &judge{d: d, rule: rule, limits: limits, ids: ids, slots: slots, servers: make([]serverState, len(ids)), nextHoldEnd: forever}
	for i := range j.servers {
		j.servers[i].readmittedAt = -rule.BackoffWindow
	}
	return j
}

// accepts reports whether the server may receive another attempt.
func (j *judge) accepts(server int) bool {
	a := &j.servers[server]
	return !a.ejected && (a.probation == 0 || a.inFlight == 0)
}

// attemptEnded updates the probation of a server after an attempt and returns the
// ejection that follows, if any.
func (j *judge) attemptEnded(now time.Duration, server int, kind detector.Kind) []ejection {
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

// assess ends expired holds and ejects suspected servers as far as the floor
// permits. It returns the ejections.
func (j *judge) assess(now time.Duration) []ejection {
	if now >= j.nextHoldEnd {
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
	if now-a.readmittedAt < j.rule.BackoffWindow {
		a.hold = min(2*a.hold, j.rule.MaxHold)
	} else {
		a.hold = j.rule.Hold
	}
	a.ejected, a.holdEnd, a.probation = true, now+a.hold, 0
	j.nextHoldEnd = min(j.nextHoldEnd, a.holdEnd)
}

func (j *judge) endHolds(now time.Duration) {
	j.nextHoldEnd = forever
	for i := range j.servers {
		a := &j.servers[i]
		if !a.ejected {
			continue
		}
		if now < a.holdEnd {
			j.nextHoldEnd = min(j.nextHoldEnd, a.holdEnd)
			continue
		}
		a.ejected, a.readmittedAt, a.probation = false, now, j.rule.Probation
		j.d.Reset(at(now), j.ids[i])
	}
}
