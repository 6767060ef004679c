package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/agateusher/agateusher/core/model"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

// Causes that end a request early.
var (
	errCancelled = errors.New("cancelled by DELETE")
	errDeadline  = errors.New("deadline passed")
)

// call is one request as the server understands it.
type call struct {
	id       model.RequestID
	clientID string
	method   string
	path     string
	size     int
	direct   bool
	arrived  time.Time
	entry    entry
}

// running is a request in progress.
type running struct {
	cancel context.CancelCauseFunc
	done   chan struct{}
}

// runningSet finds requests in progress by their identifier. Several attempts
// of one request may run at the same time.
type runningSet struct {
	mu   sync.Mutex
	byID map[model.RequestID][]*running
}

func (s *runningSet) add(id model.RequestID, r *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = append(s.byID[id], r)
}

func (s *runningSet) remove(id model.RequestID, r *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var left []*running
	for _, other := range s.byID[id] {
		if other != r {
			left = append(left, other)
		}
	}
	if len(left) == 0 {
		delete(s.byID, id)
		return
	}
	s.byID[id] = left
}

func (s *runningSet) find(id model.RequestID) []*running {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*running(nil), s.byID[id]...)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error(), Server: s.options.ID})
		return
	}
	c := s.parse(r, arrived)
	faults, _, _ := s.faults.active(arrived)
	if s.draining.Load() || s.sampler.chance(faults.ShedRate) {
		s.shed(w, c)
		return
	}
	end := s.execute(r, c, faults)
	s.respond(w, r, c, end, faults)
}

func (s *Server) parse(r *http.Request, now time.Time) call {
	query := r.URL.Query()
	c := call{
		id:       model.RequestID(r.Header.Get(HeaderRequestID)),
		clientID: query.Get(QueryClientID),
		method:   r.Method,
		path:     r.URL.Path,
		size:     s.options.PayloadBytes,
		direct:   query.Get(QueryDirect) != "",
		arrived:  now,
	}
	if c.id == "" {
		c.id = model.RequestID(c.clientID)
	}
	if n, err := strconv.Atoi(query.Get(QueryBytes)); err == nil && n >= 0 {
		c.size = min(n, MaxPayloadBytes)
	}
	c.entry = s.log.arrive(Execution{
		Server: s.options.ID, RequestID: c.id, ClientID: c.clientID,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Method:         c.method, Path: c.path, Direct: c.direct, Arrived: now,
	})
	return c
}

// execute waits for a slot and runs the request.
func (s *Server) execute(r *http.Request, c call, faults Faults) End {
	ctx, stop := s.requestContext(r, c.arrived)
	defer stop(nil)
	if c.direct {
		return s.occupy(ctx, c, faults)
	}
	self := &running{cancel: stop, done: make(chan struct{})}
	s.running.add(c.id, self)
	defer func() {
		s.running.remove(c.id, self)
		close(self.done)
	}()
	if err := s.slots.acquire(ctx, faults.Stall); err != nil {
		end := endOf(err)
		if end == EndDeadline || errors.Is(err, errNoSlot) {
			end = EndShed
		}
		s.log.finish(c.entry, time.Now(), end)
		return end
	}
	defer s.slots.release()
	return s.occupy(ctx, c, faults)
}

// occupy runs the request and records its start and end.
func (s *Server) occupy(ctx context.Context, c call, faults Faults) End {
	s.log.start(c.entry, time.Now())
	end := s.run(ctx, faults)
	s.log.finish(c.entry, time.Now(), end)
	return end
}

func (s *Server) requestContext(r *http.Request, arrived time.Time) (context.Context, context.CancelCauseFunc) {
	base := r.Context()
	if s.options.IgnoreClose {
		base = context.WithoutCancel(base)
	}
	ctx, cancel := context.WithCancelCause(base)
	budget, err := strconv.ParseInt(r.Header.Get(HeaderBudget), 10, 64)
	if err != nil || s.options.IgnoreDeadline {
		return ctx, cancel
	}
	deadline := arrived.Add(time.Duration(budget) * time.Microsecond)
	timed, stopTimer := context.WithDeadlineCause(ctx, deadline, errDeadline)
	return timed, func(cause error) {
		cancel(cause)
		stopTimer()
	}
}

// run occupies the slot for the request's service time, and for as long as a
// stall lasts.
func (s *Server) run(ctx context.Context, faults Faults) End {
	factor := s.coldFactor(time.Now())
	if faults.LatencyFactor > 0 && (faults.SlowRate == 0 || s.sampler.chance(faults.SlowRate)) {
		factor *= faults.LatencyFactor
	}
	busy := time.Duration(float64(s.sampler.duration(s.options.ServiceTime)) * factor)
	err := sleep(ctx, busy)
	for err == nil {
		current, changed, next := s.faults.active(time.Now())
		if !current.Stall {
			break
		}
		err = waitChange(ctx, changed, next)
	}
	if err != nil {
		time.Sleep(s.options.CancelDelay)
		return endOf(err)
	}
	if s.sampler.chance(faults.ErrorRate) {
		return EndError
	}
	return EndCompleted
}

func endOf(err error) End {
	switch {
	case errors.Is(err, errCancelled):
		return EndCancelled
	case errors.Is(err, errDeadline):
		return EndDeadline
	default:
		return EndDisconnected
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// waitChange returns when the faults change, after next (unless zero), or with
// the context's cause.
func waitChange(ctx context.Context, changed <-chan struct{}, next time.Duration) error {
	var phase <-chan time.Time
	if next > 0 {
		timer := time.NewTimer(next)
		defer timer.Stop()
		phase = timer.C
	}
	select {
	case <-changed:
		return nil
	case <-phase:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// serveCancel ends a request and answers once its slot is free: 200, or 404 if
// the request is not in progress.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !s.passControl(r) {
		return
	}
	id := model.RequestID(chi.URLParam(r, "id"))
	found := s.running.find(id)
	if len(found) == 0 {
		writeJSON(w, http.StatusNotFound, errorBody{Error: "request is not in progress", Server: s.options.ID})
		return
	}
	for _, one := range found {
		one.cancel(errCancelled)
	}
	for _, one := range found {
		select {
		case <-one.done:
		case <-r.Context().Done():
			return
		}
	}
	writeJSON(w, http.StatusOK, cancelBody{RequestID: id, Cancelled: len(found)})
}

type cancelBody struct {
	RequestID model.RequestID `json:"requestId"`
	Cancelled int             `json:"cancelled"`
}
