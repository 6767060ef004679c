package backend

import (
	"net/http"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// HealthMode selects whether /health and /load report the true state.
type HealthMode string

const (
	// HealthHonest reports the current state. It is the default.
	HealthHonest HealthMode = "honest"
	// HealthLagging reports a state that is up to HealthLag old.
	HealthLagging HealthMode = "lagging"
	// HealthAlwaysGood reports an idle, healthy server.
	HealthAlwaysGood HealthMode = "always-good"
	// HealthAlwaysBad reports a failing, full server.
	HealthAlwaysBad HealthMode = "always-bad"
)

// failingErrorRate is the error rate at and above which a server with
// HealthHonest reports itself unhealthy.
const failingErrorRate = 0.5

// Load is what /load reports.
type Load struct {
	Server  model.ServerID `json:"server"`
	Healthy bool           `json:"healthy"`
	// Draining servers shed new requests.
	Draining bool `json:"draining"`
	Slots    int  `json:"slots"`
	// Busy counts occupied slots. Queued counts requests that wait for a slot.
	Busy   int `json:"busy"`
	Queued int `json:"queued"`
	// Connections counts open connections. Refused counts those that were closed
	// because of the limit.
	Connections int `json:"connections"`
	Refused     int `json:"refused"`
}

// reportCache holds the report of a server with HealthLagging.
type reportCache struct {
	mu    sync.Mutex
	load  Load
	taken time.Time
}

// Load returns the current load, whatever the health mode.
func (s *Server) Load() Load {
	faults, _, _ := s.faults.active(time.Now())
	return Load{
		Server:      s.options.ID,
		Healthy:     !s.draining.Load() && !faults.Stall && faults.ErrorRate < failingErrorRate,
		Draining:    s.draining.Load(),
		Slots:       s.options.Slots,
		Busy:        s.slots.busy(),
		Queued:      int(s.slots.waiting.Load()),
		Connections: int(s.openConnections.Load()),
		Refused:     int(s.refusedConnections.Load()),
	}
}

// reported returns the load that the health mode reports.
func (s *Server) reported(now time.Time) Load {
	switch s.options.Health {
	case HealthAlwaysGood:
		return Load{Server: s.options.ID, Healthy: true, Slots: s.options.Slots}
	case HealthAlwaysBad:
		return Load{Server: s.options.ID, Slots: s.options.Slots, Busy: s.options.Slots}
	case HealthLagging:
		s.reports.mu.Lock()
		defer s.reports.mu.Unlock()
		if s.reports.taken.IsZero() || now.Sub(s.reports.taken) >= s.options.HealthLag {
			s.reports.load, s.reports.taken = s.Load(), now
		}
		return s.reports.load
	default:
		return s.Load()
	}
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !s.delayControl(r) {
		return
	}
	load := s.reported(time.Now())
	status := http.StatusOK
	if !load.Healthy {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, load)
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	if s.delayControl(r) {
		writeJSON(w, http.StatusOK, s.reported(time.Now()))
	}
}

// delayControl delays a probe or cancellation by ProbeDelay and StallControl. It
// returns false if the connection closed meanwhile.
func (s *Server) delayControl(r *http.Request) bool {
	if r.Method == http.MethodGet && sleep(r.Context(), s.options.ProbeDelay) != nil {
		return false
	}
	for {
		faults, changed, next := s.faults.active(time.Now())
		if !faults.StallControl {
			return true
		}
		if waitChange(r.Context(), changed, next) != nil {
			return false
		}
	}
}
