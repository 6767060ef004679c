package pool

import "time"

// View returns the pool's load, and the state and evidence of each server.
func (p *Pool) View(now time.Time) View {
	v := View{
		Servers:     make([]ServerView, 0, len(p.servers)),
		Queued:      p.queue.Len(),
		Running:     len(p.requests) - p.queue.Len(),
		ServiceTime: p.meanServiceTime,
	}
	for _, s := range p.servers {
		allowed := s.allowed(now, p.cfg.Readmission.RampTime)
		v.Servers = append(v.Servers, ServerView{
			ID: s.id, Status: s.status, Slots: s.slots, Allowed: allowed, InUse: s.inUse, Held: s.held,
			EjectedUntil: s.ejectedUntil, Evidence: p.detector.Evidence(now, s.id),
		})
		if s.status == Serving {
			v.FreeSlots += s.free(now, p.cfg.Readmission.RampTime)
		}
	}
	if capacity := p.capacity(now, true); capacity > 0 && v.FreeSlots == 0 {
		v.QueueDelay = time.Duration(float64(p.meanServiceTime) * float64(v.Queued+1) / capacity)
	}
	return v
}
