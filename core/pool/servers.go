package pool

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/snapshot"
)

// configure applies cfg. If ramp is true, servers that enter service start with
// a ramp.
func (p *Pool) configure(now time.Time, cfg Config, ramp bool) {
	p.cfg = cfg.withDefaults()
	p.retryBudget.SetLimits(p.cfg.RetryBudgetShare, p.cfg.RetryBurst)
	p.hedgeDelay.SetPercentile(p.cfg.latencyPercentile())
	p.slots = 0
	listed := make(map[*server]bool, len(cfg.Servers))
	for _, c := range cfg.Servers {
		s := p.byID[c.ID]
		if s == nil {
			s = &server{id: c.ID, status: Leaving, removed: true}
			p.byID[c.ID] = s
			p.servers = append(p.servers, s)
		}
		listed[s] = true
		p.applyServer(now, s, c, ramp)
		p.slots += s.slots
	}
	p.updateQueueLimits()
	for _, s := range slices.Clone(p.servers) {
		if !listed[s] {
			s.removed = true
			p.leaveService(now, s, Leaving)
			p.removeIfIdle(s)
		}
	}
}

// applyServer applies the configuration of one server.
func (p *Pool) applyServer(now time.Time, s *server, c Server, ramp bool) {
	wasOutOfService := s.leaving() || s.operatorState == snapshot.ServerEjected
	s.removed = false
	s.slots = max(1, c.Slots)
	s.operatorState = stateOrDefault(c.State)
	switch {
	case s.operatorState == snapshot.ServerDraining:
		p.leaveService(now, s, Leaving)
	case s.operatorState == snapshot.ServerEjected:
		p.leaveService(now, s, EjectedByOperator)
	case wasOutOfService:
		p.enterService(now, s, ramp)
	}
}

// enterService puts a server into service with a reset detector state.
func (p *Pool) enterService(now time.Time, s *server, ramp bool) {
	p.detector.Reset(now, s.id)
	s.score = 0
	s.unproven = false
	s.rampStart = time.Time{}
	if ramp {
		s.rampStart = now
	}
	p.setStatus(now, s, Serving)
}

// leaveService takes a server out of service on behalf of operators.
func (p *Pool) leaveService(now time.Time, s *server, to Status) {
	s.score = 0
	s.unproven = false
	p.setStatus(now, s, to)
}

// setStatus changes the status of a server and reports the change.
func (p *Pool) setStatus(now time.Time, s *server, to Status) {
	if s.status == to {
		return
	}
	from := s.status
	s.status = to
	var evidence detector.Evidence
	if to != Leaving && to != Gone {
		evidence = p.detector.Evidence(now, s.id)
	}
	p.emit(ServerChanged{Server: s.id, From: from, To: to, Evidence: evidence})
}

// removeIfIdle deletes a server that was removed from the configuration and has
// no attempt left.
func (p *Pool) removeIfIdle(s *server) {
	if !s.removed || s.inUse > 0 || p.byID[s.id] != s {
		return
	}
	delete(p.byID, s.id)
	p.servers = slices.DeleteFunc(p.servers, func(o *server) bool { return o == s })
	p.cursor = 0
	p.detector.Forget(s.id)
	s.status = Gone
	p.emit(ServerChanged{Server: s.id, From: Leaving, To: Gone})
}
