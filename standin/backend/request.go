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

// maxBodyBytes is the largest accepted request body.
const maxBodyBytes = 16 << 20

// Causes that end a request early.
var (
	errCancelled = errors.New("cancelled by DELETE")
	errDeadline  = errors.New("deadline passed")
)

// call holds the parameters of one request.
type call struct {
	id       model.RequestID
	clientID string
	method   string
	path     string
	size     int
	direct   bool
	arrived  time.Time
	logIndex logIndex
}

// runningRequest is a request in progress.
type runningRequest struct {
	cancel context.CancelCauseFunc
	done   chan struct{}
}

// runningSet indexes the requests in progress by their identifier. Several
// attempts of one request may run at the same time.
type runningSet struct {
	mu   sync.Mutex
	byID map[model.RequestID][]*runningRequest
}

func (s *runningSet) add(id model.RequestID, r *runningRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = append(s.byID[id], r)
}

func (s *runningSet) remove(id model.RequestID, r *runningRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var remaining []*runningRequest
	for _, other := range s.byID[id] {
		if other != r {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) == 0 {
		delete(s.byID, id)
		return
	}
	s.byID[id] = remaining
}

func (s *runningSet) find(id model.RequestID) []*runningRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*runningRequest(nil), s.byID[id]...)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error(), Server: s.options.ID})
		return
	}
	c := s.parse(r, arrived)
	w.Header().Set(HeaderRequestID, string(c.id))
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
	c.logIndex = s.log.arrive(Execution{
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
		return s.runAndRecord(ctx, c, faults)
	}
	req := &runningRequest{cancel: stop, done: make(chan struct{})}
	s.running.add(c.id, req)
	defer func() {
		s.running.remove(c.id, req)
		close(req.done)
	}()
	if err := s.slots.acquire(ctx, faults.Stall); err != nil {
		end := endOf(err)
		if end == EndDeadline || errors.Is(err, errNoSlot) {
			end = EndShed
		}
		s.log.finish(c.logIndex, time.Now(), end)
		return end
	}
	defer s.slots.release()
	return s.runAndRecord(ctx, c, faults)
}

// runAndRecord runs the request and records its start and end.
func (s *Server) runAndRecord(ctx context.Context, c call, faults Faults) End {
	s.log.start(c.logIndex, time.Now())
	end := s.run(ctx, faults)
	s.log.finish(c.logIndex, time.Now(), end)
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

// run waits for the request's service time and until no stall is active.
func (s *Server) run(ctx context.Context, faults Faults) End {
	factor := s.coldFactor(time.Now())
	if faults.LatencyFactor > 0 && (faults.SlowRate == 0 || s.sampler.chance(faults.SlowRate)) {
		factor *= faults.LatencyFactor
	}
	serviceTime := time.Duration(float64(s.sampler.duration(s.options.ServiceTime)) * factor)
	err := sleep(ctx, serviceTime)
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

// waitChange returns nil when the faults change or when next has passed (no limit
// if zero), and the context's cause when ctx ends.
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

// serveCancel cancels a request. It answers 200 when the request's slot is free
// again, and 404 if the request is not in progress.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !s.delayControl(r) {
		return
	}
	id := model.RequestID(chi.URLParam(r, "id"))
	found := s.running.find(id)
	if len(found) == 0 {
		writeJSON(w, http.StatusNotFound, errorBody{Error: "request is not in progress", Server: s.options.ID})
		return
	}
	for _, req := range found {
		req.cancel(errCancelled)
	}
	for _, req := range found {
		select {
		case <-req.done:
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
