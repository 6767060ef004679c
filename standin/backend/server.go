package backend

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/agateusher/agateusher/core/model"
)

// Server is a stand-in backend server. It is an http.Handler. Only Serve applies
// the connection limit. All methods are safe for concurrent use.
type Server struct {
	options Options
	router  chi.Router
	sampler *sampler
	faults  *faultState
	slots   *slotPool
	log     executionLog
	running runningSet
	reports reportCache

	started            atomic.Pointer[time.Time]
	draining           atomic.Bool
	openConnections    atomic.Int64
	refusedConnections atomic.Int64
}

// New returns a server whose cold start begins now.
func New(o Options) *Server {
	o = o.withDefaults()
	now := time.Now()
	s := &Server{
		options: o,
		sampler: newSampler(o.Seed),
		faults:  newFaultState(now),
		slots:   newSlotPool(o.Slots, o.QueueLimit, o.QueueWait),
		log:     executionLog{limit: o.LogLimit},
		running: runningSet{byID: map[model.RequestID][]*runningRequest{}},
	}
	s.started.Store(&now)
	s.router = s.routes()
	return s
}

// ID returns the server's identifier.
func (s *Server) ID() model.ServerID { return s.options.ID }

// Options returns the options with their defaults filled in.
func (s *Server) Options() Options { return s.options }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the faults. The error is an *OptionError.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.faults.set(time.Now(), f)
	return nil
}

// Faults returns the current faults and when they were set.
func (s *Server) Faults() (Faults, time.Time) { return s.faults.get() }

// Executions returns the requests that arrived at or after t, in order of
// arrival, and the number of requests that exceeded the log's limit.
func (s *Server) Executions(t time.Time) ([]Execution, int) { return s.log.since(t) }

// Drain makes the server shed new requests. Requests in progress end normally.
func (s *Server) Drain() { s.draining.Store(true) }

// Restart begins a new cold start and ends draining.
func (s *Server) Restart() {
	now := time.Now()
	s.started.Store(&now)
	s.draining.Store(false)
}

func (s *Server) routes() chi.Router {
	r := chi.NewRouter()
	r.Get("/health", s.serveHealth)
	r.Get("/load", s.serveLoad)
	r.Delete("/requests/{id}", s.serveCancel)
	r.Mount("/standin", s.Admin())
	r.NotFound(s.serveRequest)
	r.MethodNotAllowed(s.serveRequest)
	return r
}

// coldFactor returns the factor by which the cold start lengthens service times
// at the given time.
func (s *Server) coldFactor(now time.Time) float64 {
	age := now.Sub(*s.started.Load())
	if age >= s.options.ColdStart {
		return 1
	}
	remaining := 1 - float64(age)/float64(s.options.ColdStart)
	return 1 + (s.options.ColdFactor-1)*remaining
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
