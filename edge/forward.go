package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/model"
)

const (
	// defaultTimeout applies to a route without one.
	defaultTimeout = 30 * time.Second
	// answerMargin is how long before its end a request is answered, so that
	// the answer arrives in time.
	answerMargin = 10 * time.Millisecond
	// minAttemptTime is the least time in which an attempt is worth starting.
	minAttemptTime = 30 * time.Millisecond
	// queueFactor times a route's target latency is the longest expected time to
	// an answer that a request is queued for; repeatableQueueFactor is the same
	// for idempotent requests, which make room first.
	queueFactor           = 1.1
	repeatableQueueFactor = 0.8
	// hedgeFactor times the mean service time of the service, and at least hedgeMin,
	// is when an idempotent request is sent to a second server.
	hedgeFactor = 2.2
	hedgeMin    = 350 * time.Millisecond
	// maxDials bounds the servers that are tried for a connection.
	maxDials = 5
	// refusalPause is the pause before a server that refused is asked again.
	refusalPause = 50 * time.Millisecond
	// startWait is how long after its start a daemon holds requests that need its
	// first configuration and set of servers.
	startWait = 500 * time.Millisecond
	// unreachableHold is how long a path counts as doubtful after a failed dial.
	unreachableHold = 4 * time.Second
)

// flight is one request on its way.
type flight struct {
	node    *Node
	request *request
	route   *catalog.Route
	service model.ServiceName
	end     time.Time
	results chan attemptResult

	active  map[uint64]activeAttempt
	sent    int                 // servers that were sent the request
	passed  []balance.ServerKey // servers that no attempt may go to
	refused []balance.ServerKey // servers that refused and may be asked again
	dials   int
	arrived bool // an attempt reached a server
	mayRun  bool // an attempt may have run
	// noBudget is set if the retry budget refused another attempt.
	noBudget bool
	last     *response
	reason   model.Reason
	notes    []string
}

// activeAttempt is an attempt whose end is not known yet.
type activeAttempt struct {
	choice balance.Choice
	began  time.Time
	cancel context.CancelFunc
}

type attemptResult struct {
	number  uint64
	choice  balance.Choice
	verdict Verdict
	resp    *response
	err     error
	latency time.Duration
}

// serve answers one request. ctx ends when the caller goes away.
func (n *Node) serve(ctx context.Context, q *request) *response {
	view := n.awaitView(ctx)
	if view == nil || view.Config == nil {
		return n.unrouted(q, 0, n.refuse(q, model.ReasonNoConfiguration), model.ReasonNoConfiguration)
	}
	path, _, _ := strings.Cut(q.target, "?")
	route, ok := view.Routes.Match(q.host, path)
	if !ok {
		return n.unrouted(q, view.Epoch(), n.own(q, http.StatusNotFound, model.ReasonNoRoute), model.ReasonNoRoute)
	}
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if q.patience > 0 {
		timeout = min(timeout, q.patience)
	}
	f := &flight{
		node: n, request: q, route: route, service: pickPart(route.Services), end: q.received.Add(timeout - answerMargin),
		results: make(chan attemptResult, maxDials+1), active: map[uint64]activeAttempt{},
	}
	resp := f.run(ctx)
	n.finished(f, view, resp)
	return resp
}

// awaitView returns the view in force. A daemon that has just started waits for
// its first whole one for a moment.
func (n *Node) awaitView(ctx context.Context) *catalog.View {
	select {
	case <-n.complete:
		return n.view.Load()
	default:
	}
	wait, cancel := context.WithDeadline(ctx, n.started.Add(startWait))
	defer cancel()
	select {
	case <-n.complete:
	case <-wait.Done():
	}
	return n.view.Load()
}

// pickPart draws a service by the weights of a route.
func pickPart(parts []catalog.WeightedService) model.ServiceName {
	total := 0.0
	for _, p := range parts {
		total += p.Weight
	}
	x := rand.Float64() * total
	for _, p := range parts {
		if x -= p.Weight; x < 0 {
			return p.Service
		}
	}
	return parts[len(parts)-1].Service
}

// run makes attempts until there is an answer.
func (f *flight) run(ctx context.Context) *response {
	defer f.cancelAll()
	if !f.launch(ctx) {
		return f.fail()
	}
	end := time.NewTimer(time.Until(f.end))
	defer end.Stop()
	hedge := time.NewTimer(f.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case r := <-f.results:
			if resp, done := f.handle(ctx, r); done {
				return resp
			}
		case <-hedge.C:
			if f.mayHedge() {
				q := f.query()
				q.Hedge, q.CanRetry = true, false
				f.send(ctx, q)
			}
		case <-end.C:
			f.reason = model.ReasonTimeout
			return f.fail()
		case <-ctx.Done():
			f.reason = model.ReasonCancelled
			return f.fail()
		}
	}
}

func (f *flight) hedgeDelay() time.Duration {
	work := f.node.state.work(f.service)
	return max(hedgeMin, time.Duration(hedgeFactor*float64(work)))
}

// queueLimit is the expected time to an answer above which the request is
// refused rather than queued: queues at servers that are full make every request
// late, and servers that are nearly full work more slowly. Zero: none.
func (f *flight) queueLimit() time.Duration {
	if f.route.TargetLatency <= 0 || f.arrived {
		return 0
	}
	factor := queueFactor
	if f.route.Idempotent {
		factor = repeatableQueueFactor
	}
	return time.Duration(factor * float64(f.route.TargetLatency))
}

func (f *flight) mayHedge() bool {
	return f.route.Idempotent && len(f.active) == 1 && f.attemptsLeft() && f.node.state.allowHedge(f.service)
}

// attemptsLeft reports whether another server may be sent the request.
func (f *flight) attemptsLeft() bool {
	return f.sent < f.route.MaxAttempts && f.dials < maxDials && time.Until(f.end) > minAttemptTime
}

// launch starts an attempt; false if there is no server for it.
func (f *flight) launch(ctx context.Context) bool {
	return f.send(ctx, f.query())
}

func (f *flight) query() balance.Query {
	return balance.Query{
		Service: f.service, Idempotent: f.route.Idempotent,
		CanRetry:      f.route.Idempotent && f.sent+1 < f.route.MaxAttempts,
		TargetLatency: f.route.TargetLatency, ExpectedBytes: f.node.sizes.estimate(f.route.Name, len(f.request.body)),
		LatencyLimit: f.queueLimit(),
		Excluded:     f.passed, TieBreak: rand.Uint64(),
	}
}

// askAgain sends the request once more to one of the servers that refused it,
// when it may not be sent to others. A refusal is no run.
func (f *flight) askAgain(ctx context.Context, last balance.ServerKey) bool {
	if f.mayRun || len(f.active) > 0 || f.dials >= maxDials || time.Until(f.end) < minAttemptTime+refusalPause ||
		!f.allowRepeat() {
		return false
	}
	select {
	case <-time.After(refusalPause):
	case <-ctx.Done():
		return false
	}
	q := f.query()
	q.Allowed, q.Excluded, q.CanRetry = f.refused, nil, false
	if len(f.refused) > 1 {
		q.Excluded = []balance.ServerKey{last}
	}
	f.sent--
	return f.send(ctx, q)
}

// send starts an attempt at the server that a query chooses.
func (f *flight) send(ctx context.Context, q balance.Query) bool {
	choice, number, reason := f.node.state.begin(q, f.arrived || len(f.active) > 0)
	if reason != model.ReasonNone {
		f.reason = reason
		if reason == model.ReasonQueueFull {
			f.noteQueueFull(choice, q.LatencyLimit)
		}
		return false
	}
	f.dials++
	f.passed = append(f.passed, choice.Server.Key)
	attempt, cancel := context.WithDeadline(f.attemptContext(ctx), f.end)
	left := time.Until(f.end)
	began := time.Now()
	f.active[number] = activeAttempt{choice: choice, began: began, cancel: cancel}
	f.sent++
	go func() {
		far := choice.Server.Region != f.node.settings.Host.Region
		verdict, resp, err := f.node.exchanger.exchange(attempt, f.request, choice.Server, far, left)
		f.results <- attemptResult{number: number, choice: choice, verdict: verdict, resp: resp, err: err, latency: time.Since(began)}
	}()
	return true
}

// attemptContext keeps a request that is not idempotent running when its caller
// goes away: it may have taken effect.
func (f *flight) attemptContext(ctx context.Context) context.Context {
	if f.route.Idempotent {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// handle takes the end of an attempt. It returns the answer if there is one.
func (f *flight) handle(ctx context.Context, r attemptResult) (*response, bool) {
	f.active[r.number].cancel()
	delete(f.active, r.number)
	f.node.state.end(r)
	f.note(r)
	// A server that is not the one asked for, or cannot be reached, is none of
	// the servers that max_attempts counts.
	if r.verdict == ConnectFailed || r.verdict == Misdirected {
		f.sent--
	}
	f.arrived = f.arrived || r.verdict != ConnectFailed
	f.mayRun = f.mayRun || r.verdict.ran()
	if r.verdict == Usable {
		return r.resp, true
	}
	f.reason = reasonOf(r.verdict)
	switch r.verdict {
	case ServerFailure:
		f.last = r.resp
	case Refused:
		f.refused = append(f.refused, r.choice.Server.Key)
	}
	if f.mayRepeat(r.verdict) && f.launch(ctx) {
		return nil, false
	}
	if r.verdict == Refused && f.askAgain(ctx, r.choice.Server.Key) {
		return nil, false
	}
	if len(f.active) > 0 {
		return nil, false
	}
	return f.fail(), true
}

// mayRepeat reports whether the request may be sent to another server after an
// attempt that ended with a verdict.
func (f *flight) mayRepeat(v Verdict) bool {
	if !f.attemptsLeft() || (!f.route.Idempotent && f.mayRun) {
		return false
	}
	invariant.Check(f.route.Idempotent || !v.ran(), invariant.AtMostOnce, "request %s repeated after %s", f.request.id, v)
	return v == ConnectFailed || f.allowRepeat()
}

// allowRepeat asks the retry budget and keeps its refusal for the log.
func (f *flight) allowRepeat() bool {
	allowed := f.node.state.allowRepeat(f.service, f.route.Idempotent)
	f.noBudget = f.noBudget || !allowed
	return allowed
}

func reasonOf(v Verdict) model.Reason {
	switch v {
	case Refused, Misdirected:
		return model.ReasonShed
	case ConnectFailed:
		return model.ReasonConnect
	case Cancelled:
		return model.ReasonTimeout
	case InvalidResponse, MismatchedResponse, ConnectionLost:
		return model.ReasonTruncated
	}
	return model.ReasonServerFailed
}

// fail returns the answer of a request that no server answered.
func (f *flight) fail() *response {
	switch {
	case f.last != nil:
		return f.last
	case !f.mayRun && len(f.active) == 0:
		return f.node.refuse(f.request, f.reason)
	case f.reason == model.ReasonTimeout:
		return f.node.own(f.request, http.StatusGatewayTimeout, f.reason)
	}
	return f.node.own(f.request, http.StatusBadGateway, f.reason)
}

// cancelAll ends the attempts that are still active. Those of a request that is
// not idempotent run on if its caller has gone.
func (f *flight) cancelAll() {
	if len(f.active) == 0 {
		return
	}
	if f.route.Idempotent || f.reason != model.ReasonCancelled {
		for _, a := range f.active {
			a.cancel()
		}
	}
	go f.collect(len(f.active))
}

// collect waits for attempts whose answers are not needed.
func (f *flight) collect(n int) {
	for range n {
		r := <-f.results
		if r.verdict == ConnectionLost {
			r.verdict = Cancelled
		}
		f.node.state.end(r)
		f.active[r.number].cancel()
	}
}
