package pool

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Ejection describes an ejected server to the pool's next owner, so that a
// planned change of owner does not send requests to a server that is known to
// be unhealthy.
type Ejection struct {
	Server model.ServerID `json:"server"`
	// Remaining is the time until probation; zero if it has begun.
	Remaining time.Duration `json:"holdLeft"`
	// BackoffLevel is the number of doublings of the ejection time.
	BackoffLevel int `json:"holdLevel"`
	// Score is the detector's suspicion score at the ejection.
	Score float64 `json:"score"`
}

// Ejections returns the servers that are ejected or on probation because of
// their health.
func (p *Pool) Ejections(now time.Time) []Ejection {
	var list []Ejection
	for _, s := range p.servers {
		if s.status == Ejected || s.status == Probation {
			list = append(list, Ejection{
				Server: s.id, Remaining: max(0, s.ejectedUntil.Sub(now)), BackoffLevel: s.ejectionBackoffLevel, Score: s.score,
			})
		}
	}
	return list
}

// AdoptEjections ejects the servers that another owner had ejected, as far as
// the floor allows, as for the pool's own verdicts. Servers that are unknown,
// not serving or already suspected by the pool's own detector are left unchanged.
func (p *Pool) AdoptEjections(now time.Time, list []Ejection) []Decision {
	adopted := make(map[model.ServerID]Ejection, len(list))
	in := p.planInput()
	for i, x := range in.Servers {
		h, ok := findEjection(list, x.ID)
		if s := p.byID[x.ID]; ok && s.status == Serving && s.score == 0 {
			// A positive score makes the server a suspect in the plan.
			in.Servers[i].Score = max(h.Score, 1)
			adopted[x.ID] = h
		}
	}
	if len(adopted) == 0 {
		return nil
	}
	p.forEachServer(p.cfg.Plan(in).Eject, func(s *server) {
		if h, ok := adopted[s.id]; ok {
			p.adoptEjection(now, s, h)
		}
	})
	return p.step(now)
}

func (p *Pool) adoptEjection(now time.Time, s *server, h Ejection) {
	p.eject(now, s)
	s.score = max(h.Score, 1)
	s.ejectionBackoffLevel = min(max(h.BackoffLevel, 0), maxEjectionBackoffLevel)
	s.ejectedUntil = now.Add(min(max(h.Remaining, 0), p.cfg.Readmission.MaxEjectionTime))
}

func findEjection(list []Ejection, id model.ServerID) (Ejection, bool) {
	for _, h := range list {
		if h.Server == id {
			return h, true
		}
	}
	return Ejection{}, false
}
