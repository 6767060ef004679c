package pool

import (
	"math"
	"time"

	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

const (
	// maxEjectionBackoffLevel bounds the doublings of the ejection time, so that
	// the shift cannot overflow; MaxEjectionTime takes effect long before.
	maxEjectionBackoffLevel = 20
	// maxHedgeLosses is the number of consecutive probation attempts, each slower
	// than its hedge, after which the server is ejected again. One is not enough:
	// with this hedge delay, a healthy server loses a few percent of them.
	maxHedgeLosses = 2
	// shareTolerance compensates for rounding errors of the floor's share times
	// the slots.
	shareTolerance = 1e-9
)

// assessServers updates the status of the servers by the current time and the
// detector's verdicts, and asserts the floor.
func (p *Pool) assessServers(now time.Time) {
	for _, s := range p.servers {
		p.advanceServer(now, s)
	}
	p.applySuspicions(now)
	if p.needsPlan() {
		p.applyPlan(now, p.cfg.Plan(p.planInput()))
	}
	p.assertFloor()
}

// advanceServer ends an ejection, a probation or the trial after an early
// readmission whose time is over.
func (p *Pool) advanceServer(now time.Time, s *server) {
	switch {
	case s.status == Ejected && !now.Before(s.ejectedUntil):
		p.beginProbation(now, s)
	case s.status == Probation && !now.Before(s.probationStart.Add(p.cfg.Readmission.MaxProbation)):
		p.returnServer(now, s)
	case s.unproven && !now.Before(s.probationStart.Add(p.cfg.Readmission.MaxProbation)):
		s.unproven = false
	}
}

// serverWake returns when the server's status, ramp, shed backoff or rate limit next
// lets it take another request, by time alone; zero: never. The backoff and the limit
// matter only while requests wait.
func (p *Pool) serverWake(now time.Time, s *server) time.Time {
	var wake time.Time
	switch {
	case s.status == Ejected:
		return s.ejectedUntil
	case s.status == Probation:
		wake = s.probationStart.Add(p.cfg.Readmission.MaxProbation)
	case !s.inService():
		return wake
	default:
		wake = s.nextRampStep(now, p.cfg.Readmission.RampTime)
		if s.unproven {
			wake = earlier(wake, s.probationStart.Add(p.cfg.Readmission.MaxProbation))
		}
	}
	if p.queue.Len() == 0 && len(p.urgent) == 0 {
		return wake
	}
	if s.inService() && now.Before(s.shedBackoffUntil) {
		wake = earlier(wake, s.shedBackoffUntil)
	}
	if wait := s.limit.wait(now); wait > 0 {
		wake = earlier(wake, now.Add(wait))
	}
	return wake
}

// applySuspicions copies the detector's scores to the servers in service, and
// ejects suspects that are on probation. An ejected server keeps the score that
// it was ejected with, which decides the order of early readmission.
func (p *Pool) applySuspicions(now time.Time) {
	for _, s := range p.servers {
		if s.inService() {
			s.score = 0
		}
	}
	for _, suspicion := range p.detector.Suspects(now) {
		s := p.byID[suspicion.Server]
		switch {
		case s == nil:
		case s.inService():
			s.score = suspicion.Score
		case s.status == Probation:
			p.eject(now, s)
		}
	}
}

// needsPlan reports whether any server is suspected, ejected or on probation.
func (p *Pool) needsPlan() bool {
	for _, s := range p.servers {
		if s.score > 0 || s.status == Suspect || s.status == Ejected || s.status == Probation {
			return true
		}
	}
	return false
}

func (p *Pool) planInput() floor.Input {
	in := floor.Input{Limits: p.cfg.Limits, Servers: make([]floor.Server, 0, len(p.servers))}
	for _, s := range p.servers {
		if !s.removed {
			in.Servers = append(in.Servers, floor.Server{ID: s.id, Slots: s.slots, State: s.floorState(), Score: s.score})
		}
	}
	return in
}

// floorState returns the server's state for the floor. A server on probation
// serves too few requests to count as capacity.
func (s *server) floorState() floor.State {
	switch s.status {
	case Serving, Suspect:
		return floor.Serving
	case Probation, Ejected:
		return floor.EjectedByHealth
	case EjectedByOperator:
		return floor.EjectedByOperator
	default:
		return floor.Leaving
	}
}

func (p *Pool) applyPlan(now time.Time, plan floor.Result) {
	p.forEachServer(plan.Eject, func(s *server) {
		if s.inService() {
			p.eject(now, s)
		}
	})
	p.forEachServer(plan.ReadmitEarly, func(s *server) {
		if s.status == Ejected || s.status == Probation {
			p.readmitEarly(now, s)
		}
	})
	for _, s := range p.servers {
		if !s.inService() {
			continue
		}
		if s.score > 0 || s.unproven {
			p.setStatus(now, s, Suspect)
		} else {
			p.setStatus(now, s, Serving)
		}
	}
}

func (p *Pool) forEachServer(ids []model.ServerID, do func(*server)) {
	for _, id := range ids {
		if s := p.byID[id]; s != nil {
			do(s)
		}
	}
}

// assertFloor asserts that the pool's own ejections leave the floor's capacity in
// service. If operators took so many servers out of service that the floor cannot
// be met, no server may be ejected.
func (p *Pool) assertFloor() {
	configured, slots, servers, ejected := 0, 0, 0, 0
	for _, s := range p.servers {
		if s.removed {
			continue
		}
		configured += s.slots
		switch {
		case s.inService():
			slots += s.slots
			servers++
		case s.status == Ejected || s.status == Probation:
			ejected++
		}
	}
	needed := int(math.Ceil(p.cfg.Limits.Share*float64(configured) - shareTolerance))
	if ejected > 0 && (slots < needed || servers < p.cfg.Limits.MinServers) {
		invariant.Check(false, invariant.Floor,
			"%d servers with %d slots are in service and %d are ejected; the floor is %d servers and %d slots",
			servers, slots, ejected, p.cfg.Limits.MinServers, needed)
	}
}

// eject ejects a server that is in service or on probation for its ejection time.
// The time doubles with each consecutive ejection. Each EjectionDecayTime in
// service undoes one doubling.
func (p *Pool) eject(now time.Time, s *server) {
	timeInService := now.Sub(s.returnedAt)
	switch {
	case s.returnedAt.IsZero() && s.status != Probation:
		s.ejectionBackoffLevel = 0
	case s.status == Probation || timeInService < p.cfg.Readmission.EjectionDecayTime:
		s.ejectionBackoffLevel = min(s.ejectionBackoffLevel+1, maxEjectionBackoffLevel)
	default:
		s.ejectionBackoffLevel = max(0, s.ejectionBackoffLevel-int(timeInService/p.cfg.Readmission.EjectionDecayTime))
	}
	ejectionTime := min(p.cfg.Readmission.EjectionTime<<s.ejectionBackoffLevel, p.cfg.Readmission.MaxEjectionTime)
	s.ejectedUntil = now.Add(ejectionTime)
	s.unproven = false
	p.setStatus(now, s, Ejected)
	p.hedgeLiveRequests(now, s)
}

func (p *Pool) beginProbation(now time.Time, s *server) {
	p.detector.Reset(now, s.id)
	s.probationStart = now
	s.successes, s.hedgeLosses = 0, 0
	p.setStatus(now, s, Probation)
}

// returnServer returns a server to service after probation, with a ramp.
func (p *Pool) returnServer(now time.Time, s *server) {
	s.returnedAt = now
	p.enterService(now, s, true)
}

// readmitEarly returns a server to service because the floor needs its capacity.
// It is a suspect until it has enough consecutive successes, or until
// MaxProbation has passed.
func (p *Pool) readmitEarly(now time.Time, s *server) {
	s.returnedAt = now
	s.probationStart = now
	s.successes = 0
	s.unproven = true
	s.rampStart = time.Time{}
	p.setStatus(now, s, Suspect)
}

// recordProbationResult counts the result of an attempt at a server that is on
// probation or was readmitted early. A failure on probation ejects it again.
func (p *Pool) recordProbationResult(now time.Time, s *server, res AttemptResult) {
	if (s.status != Probation && !s.unproven) || res.Kind == Shed {
		return
	}
	if res.Kind != Answered || res.ServerError {
		s.successes = 0
		if s.status == Probation {
			p.eject(now, s)
		}
		return
	}
	s.hedgeLosses = 0
	s.successes++
	if s.successes < p.cfg.Readmission.SuccessThreshold {
		return
	}
	if s.status == Probation {
		p.returnServer(now, s)
	}
	s.unproven = false
}

// recordHedgeLoss counts a probation attempt that was slower than its hedge. The
// server's time on probation starts again, so that a stalled server does not
// return to service when MaxProbation has passed.
func (p *Pool) recordHedgeLoss(now time.Time, s *server) {
	if s.status != Probation {
		return
	}
	s.successes = 0
	s.probationStart = now
	s.hedgeLosses++
	if s.hedgeLosses >= maxHedgeLosses {
		p.eject(now, s)
	}
}

// stateOrDefault returns the state that operators have set, or the default.
func stateOrDefault(st snapshot.ServerState) snapshot.ServerState {
	if st == "" {
		return snapshot.ServerActive
	}
	return st
}
