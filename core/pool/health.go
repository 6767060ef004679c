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
	// maxHoldLevel bounds the doublings of the hold time, so that the shift
	// cannot overflow; MaxEjectionTime takes effect long before.
	maxHoldLevel = 20
	// maxDoubts is the number of probation attempts in a row that lost to their
	// hedge before the server is ejected again. One is not enough: by the choice
	// of the hedge delay a healthy server loses a few percent of them.
	maxDoubts = 2
	// shareTolerance absorbs rounding of the floor's share times the slots.
	shareTolerance = 1e-9
)

// assess applies the passage of time and the detector's verdicts to the
// servers, and asserts the floor.
func (p *Pool) assess(now time.Time) {
	for _, s := range p.servers {
		p.advanceServer(now, s)
	}
	p.readSuspicions(now)
	if p.needsPlan() {
		p.applyPlan(now, p.cfg.Plan(p.planInput()))
	}
	p.checkFloor()
}

// advanceServer ends holds and probations whose time is over.
func (p *Pool) advanceServer(now time.Time, s *server) {
	switch {
	case s.status == Ejected && !now.Before(s.heldUntil):
		p.beginProbation(now, s)
	case s.status == Probation && !now.Before(s.probationFrom.Add(p.cfg.Readmission.MaxProbation)):
		p.returnServer(now, s)
	case s.unproven && !now.Before(s.probationFrom.Add(p.cfg.Readmission.MaxProbation)):
		s.unproven = false
	}
}

// serverWake returns when the server's status or ramp changes by time; zero:
// never.
func (p *Pool) serverWake(now time.Time, s *server) time.Time {
	switch {
	case s.status == Ejected:
		return s.heldUntil
	case s.status == Probation:
		return s.probationFrom.Add(p.cfg.Readmission.MaxProbation)
	case !s.inService():
		return time.Time{}
	}
	wake := s.nextRampStep(now, p.cfg.Readmission.RampTime)
	if s.unproven {
		wake = earlier(wake, s.probationFrom.Add(p.cfg.Readmission.MaxProbation))
	}
	if now.Before(s.shedUntil) && (p.queue.Len() > 0 || len(p.urgent) > 0) {
		wake = earlier(wake, s.shedUntil)
	}
	return wake
}

// readSuspicions copies the detector's scores to the servers in service, and
// ejects suspects on probation. An ejected server keeps the score it was
// ejected with, for the order of early readmission.
func (p *Pool) readSuspicions(now time.Time) {
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

// needsPlan reports whether any server is suspected or out for its health.
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

// floorState returns the state that the floor counts. A server on probation
// serves too little to count as capacity.
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
	p.each(plan.Eject, func(s *server) {
		if s.inService() {
			p.eject(now, s)
		}
	})
	p.each(plan.ReadmitEarly, func(s *server) {
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

func (p *Pool) each(ids []model.ServerID, do func(*server)) {
	for _, id := range ids {
		if s := p.byID[id]; s != nil {
			do(s)
		}
	}
}

// checkFloor asserts that our own decisions leave the floor's capacity. If
// operators took out so much that it cannot be met, nothing may be ejected.
func (p *Pool) checkFloor() {
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

// eject takes a server out of service, or back from probation, for its hold
// time. The hold doubles with each ejection in a row, and the doublings are
// taken back one for each quiet time in service.
func (p *Pool) eject(now time.Time, s *server) {
	quiet := now.Sub(s.returned)
	switch {
	case s.returned.IsZero() && s.status != Probation:
		s.holdLevel = 0
	case s.status == Probation || quiet < p.cfg.Readmission.EjectionDecayTime:
		s.holdLevel = min(s.holdLevel+1, maxHoldLevel)
	default:
		s.holdLevel = max(0, s.holdLevel-int(quiet/p.cfg.Readmission.EjectionDecayTime))
	}
	hold := min(p.cfg.Readmission.EjectionTime<<s.holdLevel, p.cfg.Readmission.MaxEjectionTime)
	s.heldUntil = now.Add(hold)
	s.unproven = false
	p.setStatus(now, s, Ejected)
	p.rescue(now, s)
}

func (p *Pool) beginProbation(now time.Time, s *server) {
	p.detector.Reset(now, s.id)
	s.probationFrom = now
	s.successes, s.doubts = 0, 0
	p.setStatus(now, s, Probation)
}

// returnServer puts a server back to service after probation, with a ramp.
func (p *Pool) returnServer(now time.Time, s *server) {
	s.returned = now
	p.enterService(now, s, true)
}

// readmitEarly returns a server because the floor needs its capacity. It is a
// suspect until it has shown enough successes.
func (p *Pool) readmitEarly(now time.Time, s *server) {
	s.returned = now
	s.probationFrom = now
	s.successes = 0
	s.unproven = true
	s.rampFrom = time.Time{}
	p.setStatus(now, s, Suspect)
}

// settle counts the result of an attempt at a server on probation or readmitted
// early.
func (p *Pool) settle(now time.Time, s *server, res AttemptResult) {
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
	s.doubts = 0
	s.successes++
	if s.successes < p.cfg.Readmission.SuccessThreshold {
		return
	}
	if s.status == Probation {
		p.returnServer(now, s)
	}
	s.unproven = false
}

// doubt counts a probation attempt that was slower than its hedge. Its time in
// probation starts again, so that a stalled server does not return by time.
func (p *Pool) doubt(now time.Time, s *server) {
	if s.status != Probation {
		return
	}
	s.successes = 0
	s.probationFrom = now
	s.doubts++
	if s.doubts >= maxDoubts {
		p.eject(now, s)
	}
}

// operatorState returns the operators' wish with the default filled in.
func operatorState(st snapshot.ServerState) snapshot.ServerState {
	if st == "" {
		return snapshot.ServerActive
	}
	return st
}
