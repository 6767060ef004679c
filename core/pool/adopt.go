package pool

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Ejection is what one owner tells the next about a server that it has
// ejected, so that a planned change of owner does not send callers to a server
// that is known to be sick.
type Ejection struct {
	Server model.ServerID `json:"server"`
	// Remaining is the time until probation; zero if it has begun.
	Remaining time.Duration `json:"holdLeft"`
	// BackoffLevel is the number of doublings of the hold time.
	BackoffLevel int `json:"holdLevel"`
	// Score is the suspicion that the server was ejected with.
	Score float64 `json:"score"`
}

// Ejections returns the servers that are out of service for their health.
func (p *Pool) Ejections(now time.Time) []Ejection {
	var list []Ejection
	for _, s := range p.servers {
		if s.status == Ejected || s.status == Probation {
			list = append(list, Ejection{
				Server: s.id, Remaining: max(0, s.heldUntil.Sub(now)), BackoffLevel: s.holdLevel, Score: s.score,
			})
		}
	}
	return list
}

// AdoptEjections applies another owner's verdicts to servers that are in service here.
// The floor decides as it does for the pool's own verdicts. Servers that the
// pool does not know or has judged itself are left alone.
func (p *Pool) AdoptEjections(now time.Time, list []Ejection) []Decision {
	adopted := make(map[model.ServerID]Ejection, len(list))
	in := p.planInput()
	for i, x := range in.Servers {
		h, ok := find(list, x.ID)
		if s := p.byID[x.ID]; ok && s.status == Serving && s.score == 0 {
			// Any positive score makes a suspect.
			in.Servers[i].Score = max(h.Score, 1)
			adopted[x.ID] = h
		}
	}
	if len(adopted) == 0 {
		return nil
	}
	p.each(p.cfg.Plan(in).Eject, func(s *server) {
		if h, ok := adopted[s.id]; ok {
			p.adopt(now, s, h)
		}
	})
	return p.finish(now)
}

func (p *Pool) adopt(now time.Time, s *server, h Ejection) {
	p.eject(now, s)
	s.score = max(h.Score, 1)
	s.holdLevel = min(max(h.BackoffLevel, 0), maxHoldLevel)
	s.heldUntil = now.Add(min(max(h.Remaining, 0), p.cfg.Readmission.MaxEjectionTime))
}

func find(list []Ejection, id model.ServerID) (Ejection, bool) {
	for _, h := range list {
		if h.Server == id {
			return h, true
		}
	}
	return Ejection{}, false
}
