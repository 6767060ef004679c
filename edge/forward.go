package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/workspace"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// responseMargin is how long before the timeout a request is answered, so
	// that the response reaches the caller in time.
	responseMargin = 10 * time.Millisecond
	// minAttemptTime is the least remaining time in which an attempt is started.
	minAttemptTime = 30 * time.Millisecond
	// An unanswered idempotent request is sent to a second server after
	// hedgeFactor times its expected service time, and after hedgeMin
	// at the earliest.
	hedgeFactor = 2.2
	hedgeMin    = 350 * time.Millisecond
	// hedgeRecheck is the pause after a check that found no attempt to hedge, no
	// server with a free slot or no budget left.
	hedgeRecheck = 100 * time.Millisecond
	// maxDials is the maximum number of attempts of a request, including those
	// that open no connection.
	maxDials = 5
	// refusedRetryDelay is the delay before a request is sent again to a server
	// that refused it.
	refusedRetryDelay = 50 * time.Millisecond
	// initialViewTimeout is how long after the start of the daemon requests wait
	// for the first configuration and set of servers. After a restart of all hosts the
	// content passes from host to host, which takes about a second.
	initialViewTimeout = 1500 * time.Millisecond
	// unreachableDuration is how long the path to a server counts as possibly
	// unreachable after a failed dial.
	unreachableDuration = 4 * time.Second
)

// forwarding is the state of one request while it is being forwarded.
type forwarding struct {
	node     *Node
	request  *request
	view     *catalog.View // the view that route is from
	route    *catalog.Route
	service  model.ServiceName
	deadline time.Time
	results  chan attemptResult

	credentials workspace.Credentials
	// workspace is that of the request's key; nil: none.
	workspace *catalog.Workspace
	// quota is the decision about the workspace's limit.
	quota quotaDecision

	active          map[uint64]activeAttempt
	countedAttempts int                 // attempts that count towards max_attempts
	excluded        []balance.ServerKey // servers that were tried already
	refusedBy       []balance.ServerKey // servers that refused the request; it may be sent to them again
	dials           int                 // attempts, including those that opened no connection
	reachedServer   bool                // an attempt opened a connection
	mayHaveRun      bool                // a server may have run the request
	// wait is the time until a server that limits its rate or asked for a pause may take
	// the request, if it was refused for that.
	wait time.Duration
	// budgetRefused is set if the retry budget refused another attempt.
	budgetRefused bool
	hold          hold
	serverFailure *response // the last response of a server that failed
	reason        model.Reason
	attemptNotes  []string
	// noReuse is set after an attempt failed on an idle connection.
	noReuse bool
}

// activeAttempt is an attempt without a result yet.
type activeAttempt struct {
	choice    balance.Choice
	startedAt time.Time
	cancel    context.CancelFunc
	// progressAt is when the last part of the response was received, as time since
	// startedAt; zero: none yet.
	progressAt *atomic.Int64
}

// lastProgress returns when the attempt started or last received something.
func (a *activeAttempt) lastProgress() time.Time {
	return a.startedAt.Add(time.Duration(a.progressAt.Load()))
}

type attemptResult struct {
	number  uint64
	choice  balance.Choice
	verdict Verdict
	resp    *response
	err     error
	latency time.Duration
}

// handleRequest returns the response to a request. ctx is cancelled when the
// caller disconnects.
func (n *Node) handleRequest(ctx context.Context, q *request) *response {
	view := n.awaitView(ctx)
	if view == nil || view.Config == nil {
		return n.logUnrouted(q, 0, n.refuse(q, model.ReasonNoConfiguration), model.ReasonNoConfiguration)
	}
	route, result := view.Routes.Match(q.host, q.path())
	switch result {
	case catalog.Unmatched:
		return n.logUnrouted(q, view.Epoch(), n.localResponse(q, http.StatusNotFound, model.ReasonNoRoute), model.ReasonNoRoute)
	case catalog.Undecided:
		return n.logUnrouted(q, view.Epoch(), n.refuse(q, model.ReasonRouteUnreadable), model.ReasonRouteUnreadable)
	}
	f := &forwarding{
		node: n, request: q, view: view, route: route, service: n.pickService(route), deadline: q.received.Add(timeoutOf(q, route) - responseMargin),
		results: make(chan attemptResult, maxDials+1), active: map[uint64]activeAttempt{},
		credentials: workspace.ParseCredentials(q.header[authorizationHeader]),
	}
	resp := f.refuseUnauthorized(ctx)
	if resp == nil {
		resp = f.admitQuota(ctx)
	}
	if resp == nil {
		resp = f.run(ctx)
		f.releaseQuota()
	}
	n.recordRequest(f, view, resp)
	return resp
}

// awaitView returns the view in force. Shortly after the start it waits for the
// first view that is complete, at most until initialViewTimeout.
func (n *Node) awaitView(ctx context.Context) *catalog.View {
	select {
	case <-n.viewComplete:
		return n.view.Load()
	default:
	}
	n.follower.Demand()
	wait, cancel := context.WithDeadline(ctx, n.started.Add(initialViewTimeout))
	defer cancel()
	select {
	case <-n.viewComplete:
	case <-wait.Done():
	}
	return n.view.Load()
}

// pickService returns the service for the next request of a route. All attempts of
// the request go to it: a request that its part of a split cannot serve is refused
// rather than moved to another part.
func (n *Node) pickService(route *catalog.Route) model.ServiceName {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	weights := make([]float64, len(route.Services))
	for i, s := range route.Services {
		weights[i] = s.Weight
	}
	return route.Services[n.splits.For(route.Name).Next(weights)].Service
}

// run makes attempts until there is a response.
func (f *forwarding) run(ctx context.Context) *response {
	defer f.cancelAll()
	defer f.removeHeld()
	if time.Until(f.deadline) <= 0 {
		// It waited behind other requests of its connection, and has not run.
		f.reason = model.ReasonTimeout
		return f.failureResponse()
	}
	if f.node.exitsBefore(f.deadline) {
		f.reason = model.ReasonStopping
		return f.failureResponse()
	}
	if !f.sendNext(ctx) {
		return f.failureResponse()
	}
	deadline := time.NewTimer(time.Until(f.deadline))
	defer deadline.Stop()
	hedgeTimer := time.NewTimer(f.hedgeDelay())
	defer hedgeTimer.Stop()
	for {
		select {
		case r := <-f.results:
			if resp, done := f.handleResult(ctx, r); done {
				return resp
			}
		case r := <-f.hold.released:
			if resp, done := f.handleRelease(ctx, r); done {
				return resp
			}
		case <-hedgeTimer.C:
			hedgeTimer.Reset(f.hedge(ctx))
		case <-deadline.C:
			f.reason = model.ReasonTimeout
			return f.failureResponse()
		case <-ctx.Done():
			f.reason = model.ReasonCancelled
			return f.failureResponse()
		}
	}
}

func (f *forwarding) hedgeDelay() time.Duration {
	return max(hedgeMin, time.Duration(hedgeFactor*float64(f.node.serverState.expectedServiceTime(f.costRequest()))))
}

// hedge sends the request to a second server if the only attempt has received
// nothing for hedgeDelay. It returns the time until the next check.
func (f *forwarding) hedge(ctx context.Context) time.Duration {
	if len(f.active) != 1 {
		return hedgeRecheck
	}
	for _, a := range f.active {
		if early := time.Until(a.lastProgress().Add(f.hedgeDelay())); early > 0 {
			return early
		}
	}
	if f.route.Idempotent && f.attemptsLeft() && f.node.serverState.allowHedge(f.service) {
		q := f.query()
		q.Hedge, q.CanRetry = true, false
		f.send(ctx, q)
	}
	return hedgeRecheck
}

// attemptsLeft reports whether the limits of attempts and time allow another
// attempt.
func (f *forwarding) attemptsLeft() bool {
	return f.countedAttempts < f.route.MaxAttempts && f.dials < maxDials && time.Until(f.deadline) > minAttemptTime
}

// sendNext starts an attempt at a server that was not tried yet. It returns false
// if no server is available.
func (f *forwarding) sendNext(ctx context.Context) bool {
	return f.send(ctx, f.query())
}

func (f *forwarding) query() balance.Query {
	return balance.Query{
		Service: f.service, Idempotent: f.route.Idempotent, Request: f.costRequest(),
		CanRetry:      f.route.Idempotent && f.countedAttempts+1 < f.route.MaxAttempts,
		TargetLatency: f.route.TargetLatency, ExpectedBytes: f.node.sizeEstimator.estimate(f.route.Name, len(f.request.body)),
		LatencyLimit: f.latencyLimit(),
		Excluded:     f.excluded, Warm: f.node.exchanger.conns.warm(f.connReuse()), TieBreak: rand.Uint64(),
	}
}

// retryRefused sends the request again to one of the servers that refused it. It
// is used when no further server may be tried. This is safe because a server that
// refuses a request does not run it.
func (f *forwarding) retryRefused(ctx context.Context, lastRefused balance.ServerKey) bool {
	if f.mayHaveRun || len(f.active) > 0 || f.dials >= maxDials || time.Until(f.deadline) < minAttemptTime+refusedRetryDelay ||
		!f.allowRetry() {
		return false
	}
	select {
	case <-time.After(refusedRetryDelay):
	case <-ctx.Done():
		return false
	}
	return f.sendRefused(ctx, lastRefused)
}

// sendRefused sends the request again to one of the servers that refused it, another
// than lastRefused if there are several.
func (f *forwarding) sendRefused(ctx context.Context, lastRefused balance.ServerKey) bool {
	q := f.query()
	q.Allowed, q.Excluded, q.CanRetry = f.refusedBy, nil, false
	if len(f.refusedBy) > 1 {
		q.Excluded = []balance.ServerKey{lastRefused}
	}
	if !f.send(ctx, q) {
		return false
	}
	// The server is counted already.
	f.countedAttempts--
	return true
}

// send starts an attempt at the server chosen for q. It returns false and sets
// f.reason if no server is available.
func (f *forwarding) send(ctx context.Context, q balance.Query) bool {
	choice, number, reason := f.chooseServer(ctx, q, f.reachedServer || len(f.active) > 0)
	var outgoing *request
	if reason == model.ReasonNone {
		if outgoing, reason = f.authorize(ctx); reason != model.ReasonNone {
			f.node.serverState.finishAttempt(attemptResult{number: number, choice: choice, verdict: Cancelled})
		}
	}
	if reason != model.ReasonNone {
		f.reason, f.wait = reason, choice.PermitWait
		if reason == model.ReasonShed {
			f.wait = choice.PauseWait
		}
		if reason == model.ReasonQueueFull {
			f.countRoom(false)
			f.recordQueueFull(choice, q.LatencyLimit)
			f.hold.queueWait = choice.ExpectedLatency - q.LatencyLimit
		}
		return false
	}
	if f.dials == 0 {
		f.countRoom(true)
	}
	reuse := f.connReuse()
	f.dials++
	f.excluded = append(f.excluded, choice.Server.Key)
	attemptCtx, cancel := context.WithDeadline(f.attemptContext(ctx), f.deadline)
	remaining := time.Until(f.deadline)
	startedAt := time.Now()
	progressAt := &atomic.Int64{}
	f.active[number] = activeAttempt{choice: choice, startedAt: startedAt, cancel: cancel, progressAt: progressAt}
	f.countedAttempts++
	go func() {
		// Without another result, a server may have run the request.
		result := attemptResult{number: number, choice: choice, verdict: ConnectionLost}
		f.node.contain("attempt", func() {
			crossRegion := choice.Server.Region != f.node.settings.Host.Region
			result.verdict, result.resp, result.err = f.node.exchanger.exchange(attemptCtx, outgoing, choice.Server, crossRegion, reuse, remaining,
				func() { progressAt.Store(int64(time.Since(startedAt))) })
		})
		result.latency = time.Since(startedAt)
		f.results <- result
	}()
	return true
}

// attemptContext returns the context of an attempt. A request that is not
// idempotent is not cancelled when its caller disconnects, since it may have taken
// effect.
func (f *forwarding) attemptContext(ctx context.Context) context.Context {
	if f.route.Idempotent {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// handleResult records the result of an attempt and starts another one if the
// request may be retried. It returns the response to the caller and true when the
// request is finished.
func (f *forwarding) handleResult(ctx context.Context, r attemptResult) (*response, bool) {
	cancel := f.active[r.number].cancel
	delete(f.active, r.number)
	f.node.serverState.finishAttempt(r)
	if r.resp != nil && r.resp.rest != nil {
		f.node.superviseStream(r, cancel)
	} else {
		cancel()
	}
	f.recordAttempt(r)
	// Attempts at a server that cannot be reached, that wants no requests or whose
	// address belongs to another server do not count towards max_attempts.
	if r.verdict.nothingSent() || r.verdict == Misdirected {
		f.countedAttempts--
	}
	f.reachedServer = f.reachedServer || !r.verdict.nothingSent()
	f.mayHaveRun = f.mayHaveRun || r.verdict.mayHaveRun()
	if r.verdict == Usable {
		return r.resp, true
	}
	f.reason = reasonOf(r.verdict)
	switch r.verdict {
	case ServerFailure:
		f.serverFailure = r.resp
	case Refused:
		f.refusedBy = append(f.refusedBy, r.choice.Server.Key)
		if f.holdRejected() {
			return nil, false
		}
	}
	if r.verdict == StaleConnection && f.resend(ctx, r.choice.Server.Key) {
		return nil, false
	}
	if f.mayRetry(r.verdict) && f.sendNext(ctx) {
		return nil, false
	}
	if r.verdict == Refused && f.retryRefused(ctx, r.choice.Server.Key) {
		return nil, false
	}
	if len(f.active) > 0 {
		return nil, false
	}
	return f.failureResponse(), true
}

// mayRetry reports whether the request may be sent to another server after an
// attempt with verdict v. It charges the retry budget, unless nothing was sent.
func (f *forwarding) mayRetry(v Verdict) bool {
	if !f.attemptsLeft() || (!f.route.Idempotent && f.mayHaveRun) {
		return false
	}
	invariant.Check(f.route.Idempotent || !v.mayHaveRun(), invariant.AtMostOnce, "request %s repeated after %s", f.request.id, v)
	return v.nothingSent() || f.allowRetry()
}

// allowRetry reports whether the retry budget allows another attempt, and records
// a refusal for the log.
func (f *forwarding) allowRetry() bool {
	allowed := f.node.serverState.allowRetry(f.service, f.route.Idempotent)
	f.budgetRefused = f.budgetRefused || !allowed
	return allowed
}

// superviseStream lets a streamed response end its attempt, and records it if the
// server does not deliver the rest.
func (n *Node) superviseStream(r attemptResult, cancel context.CancelFunc) {
	r.resp.rest.cancel = cancel
	server := r.choice.Server
	r.resp.rest.failed = func(err error) {
		n.serverState.recordCutStream(server.Key)
		n.log.WithFields(telemetry.Fields{"event": "response_cut", "server": server.ID, "bytes": r.resp.rest.read}).WithError(err).
			Warn("a backend server did not deliver the rest of a response")
	}
}

func reasonOf(v Verdict) model.Reason {
	switch v {
	case Refused, Misdirected, Withheld:
		return model.ReasonShed
	case ConnectFailed:
		return model.ReasonConnect
	case Cancelled, TimedOut:
		return model.ReasonTimeout
	case InvalidResponse, MismatchedResponse, ConnectionLost, StaleConnection:
		return model.ReasonTruncated
	}
	return model.ReasonServerFailed
}

// failureResponse returns the response to a request that did not succeed: the last
// failure returned by a server, if any, otherwise one made by this daemon.
func (f *forwarding) failureResponse() *response {
	switch {
	case f.serverFailure != nil:
		return f.serverFailure
	case !f.mayHaveRun && len(f.active) == 0:
		switch f.reason {
		case model.ReasonUnauthorized, model.ReasonConfigUnconfirmed, model.ReasonWorkspaceUnreadable:
			return f.node.refuseForKey(f.request, f.reason)
		}
		resp := f.node.refuse(f.request, f.reason)
		setRetryAfter(resp, max(f.wait, f.retryAfter()))
		return resp
	case f.reason == model.ReasonTimeout:
		return f.node.localResponse(f.request, http.StatusGatewayTimeout, f.reason)
	}
	return f.node.localResponse(f.request, http.StatusBadGateway, f.reason)
}

// cancelAll cancels the active attempts, except those of a request that is not
// idempotent and whose caller disconnected.
func (f *forwarding) cancelAll() {
	if len(f.active) == 0 {
		return
	}
	// After a timeout, the contexts of the attempts end by themselves. The verdict is
	// then TimedOut, which is evidence about the server.
	if f.reason != model.ReasonTimeout && (f.route.Idempotent || f.reason != model.ReasonCancelled) {
		for _, a := range f.active {
			a.cancel()
		}
	}
	n := len(f.active)
	go f.node.contain("abandoned-attempts", func() { f.collectAbandoned(n) })
}

// collectAbandoned records the results of the n attempts that were active when the
// request was answered.
func (f *forwarding) collectAbandoned(n int) {
	for range n {
		r := <-f.results
		if r.resp != nil {
			r.resp.close()
		}
		f.node.serverState.finishAttempt(r)
		f.active[r.number].cancel()
	}
}
