package pool

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/snapshot"
)

// configure applies cfg; ramp says whether servers that enter service start
// with a ramp.
func (p *Pool) configure(now time.Time, cfg Config, ramp bool) {
	p.cfg = cfg.withDefaults()
	p.budget.SetLimits(p.cfg.RetryBudgetShare, p.cfg.RetryBurst)
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
	p.limitQueue()
	for _, s := range slices.Clone(p.servers) {
		if !listed[s] {
			s.removed = true
			p.leaveService(now, s, Leaving)
			p.retire(s)
		}
	}
}

// applyServer applies the configuration of one server.
func (p *Pool) applyServer(now time.Time, s *server, c Server, ramp bool) {
	wasOut := s.leaving() || s.operator == snapshot.ServerEjected
	s.removed = false
	s.slots = max(1, c.Slots)
	s.operator = operatorState(c.State)
	switch {
	case s.operator == snapshot.ServerDraining:
		p.leaveService(now, s, Leaving)
	case s.operator == snapshot.ServerEjected:
		p.leaveService(now, s, EjectedByOperator)
	case wasOut:
		p.enterService(now, s, ramp)
	}
}

// enterService returns a server to service.
func (p *Pool) enterService(now time.Time, s *server, ramp bool) {
	p.detector.Reset(now, s.id)
	s.score = 0
	s.unproven = false
	s.rampFrom = time.Time{}
	if ramp {
		s.rampFrom = now
	}
	p.setStatus(now, s, Serving)
}

// leaveService takes a server out of service because operators ask for it.
func (p *Pool) leaveService(now time.Time, s *server, to Status) {
	s.score = 0
	s.unproven = false
	p.setStatus(now, s, to)
}

// setStatus changes the status and reports it.
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

// retire forgets a removed server that has no attempt left.
func (p *Pool) retire(s *server) {
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
