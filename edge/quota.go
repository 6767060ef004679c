package edge

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/quota"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/gossip"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// maxQuotaHold is how long a request is held while no issuer can answer: after the
	// start of this host, or after its issuer was lost. Votes end within that time.
	maxQuotaHold = 2500 * time.Millisecond
	// quotaRetryDelay is the time between the first two asks for held requests. It doubles
	// up to maxQuotaRetryDelay: after a restart of all hosts the issuers get such asks for
	// many workspaces from each host.
	quotaRetryDelay    = 50 * time.Millisecond
	maxQuotaRetryDelay = 200 * time.Millisecond
	// maxQuotaWaiting bounds the requests that wait for admission. Further ones are
	// refused.
	maxQuotaWaiting = 512
	// issuerInterval is the interval between choices of the issuer.
	issuerInterval = 200 * time.Millisecond
)

// Results of the decisions about requests of limited workspaces, as counted in metrics
// and shown in the log.
const (
	quotaStored      = "stored"      // an admission in the store was used
	quotaIssued      = "issued"      // this host's issuer issued one
	quotaElsewhere   = "elsewhere"   // the issuer of another data centre issued one
	quotaOver        = "over"        // the workspace is over its limit
	quotaUnavailable = "unavailable" // no issuer could answer
	quotaCancelled   = "cancelled"   // the caller disconnected
)

// quotas decides whether requests of workspaces with a limit are admitted. It is safe for
// concurrent use.
type quotas struct {
	self, dc  string
	log       telemetry.Logger
	contain   func(unit string, f func()) bool
	gossiper  *gossip.Gossiper
	now       func() time.Time
	decisions *telemetry.CounterVec
	asked     *telemetry.CounterVec
	issued    *telemetry.CounterVec
	// limited has the workspaces with a limit; nil: there are none.
	limited atomic.Pointer[map[model.WorkspaceID]quota.Key]

	mu      sync.Mutex
	config  *catalog.Config
	host    *quota.Host
	store   *quota.Store
	askers  map[quota.Key]*asker
	waiting int
	// localHosts are the other registered hosts of the data centre. withoutVotes has, for
	// those that were heard, whether they last said that they hold no votes; nil once this
	// host has voted.
	localHosts   []model.HostID
	withoutVotes map[model.HostID]bool
	started      time.Time
	// fleet is the number of hosts in the registry as this daemon last read it in fleetEra.
	// keptFleet is the number in an earlier era, which is used until keptUntil.
	fleet     int
	fleetEra  catalog.Era
	keptFleet int
	keptUntil time.Time
	peerFleet peerFleet
	// stampUntil is until when heartbeats carry a stamp, because another host named this
	// one as its issuer.
	stampUntil time.Time
	// checked is when the issuer was last chosen. Only run uses it.
	checked time.Time
}

// asker asks for admissions of one workspace, one message at a time.
type asker struct{ waiting []*quotaWaiter }

// quotaWaiter is a request that waits for admission.
type quotaWaiter struct {
	result    chan quotaDecision
	holdUntil time.Time
	gone      bool
}

// quotaDecision is the decision about one request.
type quotaDecision struct {
	result  string
	key     quota.Key
	expires time.Time
	// wait is when there is room for a request that is over the limit.
	wait time.Duration
}

func (d quotaDecision) admitted() bool { return !d.expires.IsZero() }

func newQuotas(s Settings, scope telemetry.Scope, log telemetry.Logger, contain func(string, func()) bool) *quotas {
	now := newBootClock()
	r := s.Workspaces.Quota
	return &quotas{
		self: string(s.Host.ID), dc: string(s.Host.DataCentre), log: log, contain: contain, now: now, askers: map[quota.Key]*asker{}, withoutVotes: map[model.HostID]bool{}, started: now(),
		decisions: telemetry.NewCounterVec(scope, "quota_requests", "result", ""),
		asked:     telemetry.NewCounterVec(scope, "quota_asks", "result", ""),
		issued:    telemetry.NewCounterVec(scope, "quota_issued", "result", ""),
		host: quota.NewHost(now(), s.Host.ID, s.Host.DataCentre, s.Regions,
			quota.Rule{Window: r.Window.Std(), Overage: r.Overage, Slack: r.Slack}),
		store: quota.NewStore(),
	}
}

// newBootClock returns a clock that runs while the host is suspended.
func newBootClock() func() time.Time {
	boot, started := readClock(unix.CLOCK_BOOTTIME), time.Now()
	return func() time.Time {
		if d := boot(); d > 0 {
			return time.Unix(0, int64(d))
		}
		return time.Unix(0, 0).Add(time.Since(started))
	}
}

// apply sets the limits of a configuration.
func (q *quotas) apply(c *catalog.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c == nil || c == q.config {
		return
	}
	q.config = c
	limits, keys := map[string]quota.Limit{}, map[model.WorkspaceID]quota.Key{}
	for _, w := range c.Workspaces {
		if w.RatePerSecond > 0 {
			limits[string(w.Name)] = quota.Limit{PerSecond: w.RatePerSecond, Burst: max(0, w.Burst)}
			keys[w.Name] = quota.KeyOf(string(w.Name))
		}
	}
	q.host.SetLimits(q.now(), limits)
	if len(keys) == 0 {
		q.limited.Store(nil)
		return
	}
	q.limited.Store(&keys)
}

// keptFleetTime is how long the number of registered hosts does not fall after the store came
// back from an older copy: hosts that have lost their entries go on, and register again
// within that time.
const keptFleetTime = 30 * time.Second

// setRegistered records whether this daemon is in the registry, as far as it knows.
func (q *quotas) setRegistered(registered bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.host.SetVoting(registered)
}

// registeredHosts returns the number of hosts in the registry. q.mu must be held.
func (q *quotas) registeredHosts(now time.Time) int {
	if now.Before(q.keptUntil) {
		return max(q.fleet, q.keptFleet)
	}
	return q.fleet
}

// setFleet records the hosts in the registry, as read by this daemon in an era of the store.
func (q *quotas) setFleet(hosts []gossip.Host, era catalog.Era) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if era < q.fleetEra {
		return
	}
	if era > q.fleetEra && q.fleet > 0 {
		q.keptFleet, q.keptUntil = q.registeredHosts(now), now.Add(keptFleetTime)
	}
	q.fleetEra = era
	first, listed := q.fleet == 0, false
	q.fleet, q.localHosts = len(hosts), nil
	for _, h := range hosts {
		switch {
		case string(h.ID) == q.self:
			listed = true
		case string(h.DataCentre) == q.dc:
			q.localHosts = append(q.localHosts, h.ID)
		}
	}
	if first && !listed {
		// The fleet is new, and the registry may not have all hosts yet.
		q.withoutVotes = nil
	}
	q.host.SetFleet(max(q.registeredHosts(now), q.peerFleet.hosts()))
}

// admit decides about a request of a workspace. It returns as soon as an issuer has
// replied; while none can, at the deadline or after maxQuotaHold. Requests of a workspace
// without a limit have the zero decision.
func (q *quotas) admit(ctx context.Context, w model.WorkspaceID, deadline time.Time) (d quotaDecision) {
	limited := q.limited.Load()
	if limited == nil {
		return quotaDecision{}
	}
	k, ok := (*limited)[w]
	if !ok {
		return quotaDecision{}
	}
	defer func() { q.decisions.Inc(d.result, "") }()
	q.mu.Lock()
	now := q.now()
	q.store.Arrive(now, k)
	a := q.askers[k]
	if a == nil || len(a.waiting) == 0 {
		if expires, ok := q.store.Take(now, k); ok {
			q.mu.Unlock()
			return quotaDecision{result: quotaStored, key: k, expires: expires}
		}
	}
	if q.waiting >= maxQuotaWaiting {
		q.mu.Unlock()
		return quotaDecision{result: quotaUnavailable, key: k, wait: retryAfterDelay}
	}
	waiter := &quotaWaiter{result: make(chan quotaDecision, 1), holdUntil: now.Add(min(maxQuotaHold, time.Until(deadline)-minAttemptTime))}
	q.waiting++
	if a == nil {
		a = &asker{}
		q.askers[k] = a
		go q.contain("quota", func() { q.ask(k, a) })
	}
	a.waiting = append(a.waiting, waiter)
	q.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case d = <-waiter.result:
		return d
	case <-timer.C:
		d = quotaDecision{result: quotaUnavailable, key: k, wait: retryAfterDelay}
	case <-ctx.Done():
		d = quotaDecision{result: quotaCancelled, key: k, wait: retryAfterDelay}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	waiter.gone = true
	select {
	case late := <-waiter.result:
		q.giveBack(late)
	default:
		q.waiting--
	}
	return d
}

// release gives an admission back that was not used.
func (q *quotas) release(d quotaDecision) {
	if d.admitted() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.giveBack(d)
	}
}

// giveBack is release with q.mu held.
func (q *quotas) giveBack(d quotaDecision) {
	if d.admitted() {
		q.store.Add(q.now(), d.key, 1, d.expires)
	}
}

// ask asks for admissions until no request of the workspace waits.
func (q *quotas) ask(k quota.Key, a *asker) {
	defer func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.askers[k] == a {
			delete(q.askers, k)
		}
	}()
	var held []*quotaWaiter
	delay := quotaRetryDelay
	for {
		q.mu.Lock()
		batch := slices.DeleteFunc(append(held, a.waiting...), func(w *quotaWaiter) bool { return w.gone })
		a.waiting = nil
		if len(batch) == 0 {
			delete(q.askers, k)
			q.mu.Unlock()
			return
		}
		now := q.now()
		question := q.store.Ask(now, k, len(batch), q.host.AdmissionLifetime())
		issuer, expires := q.host.Issuer(now), now.Add(q.host.AdmissionLifetime())
		others := q.host.Others(now, k)
		q.mu.Unlock()

		answer, answered := q.askIssuer(issuer, question)
		batch = q.admitWaiting(k, batch, answer.Granted, expires, quotaIssued)
		for _, dc := range others {
			if len(batch) == 0 {
				break
			}
			batch = q.askElsewhere(k, dc, batch)
		}
		// An answer that was handled too late does not say whether there is room.
		if answered && !answer.Starting && q.now().Before(expires) {
			q.refuseWaiting(k, batch, answer)
			held, delay = nil, quotaRetryDelay
			continue
		}
		if held = q.hold(k, batch, delay); len(held) > 0 {
			time.Sleep(delay)
			delay = min(2*delay, maxQuotaRetryDelay)
		}
	}
}

// askIssuer asks this host's issuer. It returns false without an answer.
func (q *quotas) askIssuer(issuer model.HostID, question quota.Ask) (quota.Answer, bool) {
	if string(issuer) == q.self {
		return q.issue(question), true
	}
	reply, err := q.gossiper.AskIssuer(context.Background(), issuer, quotaAsk(question))
	return q.answer(reply, err)
}

// askElsewhere asks the issuer of another data centre for the admission of waiting
// requests. It returns those that were not admitted.
func (q *quotas) askElsewhere(k quota.Key, dc model.DataCentre, batch []*quotaWaiter) []*quotaWaiter {
	expires := q.now().Add(q.host.AdmissionLifetime())
	reply, err := q.gossiper.AskDataCentre(context.Background(), dc, quotaAsk(quota.Ask{Workspace: k, Need: len(batch)}))
	answer, _ := q.answer(reply, err)
	if batch = q.admitWaiting(k, batch, answer.Granted, expires, quotaElsewhere); len(batch) > 0 {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.host.Denied(q.now(), k, dc, answer.Wait)
	}
	return batch
}

func (q *quotas) answer(reply *gen.QuotaAnswer, err error) (quota.Answer, bool) {
	switch {
	case err != nil:
		q.asked.Inc("no-reply", "")
		return quota.Answer{}, false
	case reply.GetGranted() > 0:
		q.asked.Inc("granted", "")
	default:
		q.asked.Inc("denied", "")
	}
	return quota.Answer{
		Granted: int(reply.GetGranted()), Starting: reply.GetStarting(),
		Wait: time.Duration(reply.GetWaitMs()) * time.Millisecond, Spacing: time.Duration(reply.GetSpacingMs()) * time.Millisecond,
	}, true
}

// admitWaiting admits the first of the waiting requests and returns the rest. Admissions
// beyond them go to the store.
func (q *quotas) admitWaiting(k quota.Key, batch []*quotaWaiter, granted int, expires time.Time, result string) []*quotaWaiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.now().Before(expires) {
		return batch // This host was paused since it asked.
	}
	for ; granted > 0 && len(batch) > 0; batch = batch[1:] {
		if q.finish(batch[0], quotaDecision{result: result, key: k, expires: expires}) {
			granted--
		}
	}
	q.store.Add(q.now(), k, granted, expires)
	return batch
}

// finish passes a decision to a waiting request, unless it has gone. q.mu must be held.
func (q *quotas) finish(w *quotaWaiter, d quotaDecision) bool {
	if w.gone {
		return false
	}
	w.result <- d
	q.waiting--
	return true
}

// refuseWaiting refuses requests that are over the limit, in the order of their arrival.
func (q *quotas) refuseWaiting(k quota.Key, batch []*quotaWaiter, a quota.Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, w := range batch {
		q.finish(w, quotaDecision{result: quotaOver, key: k, wait: a.Wait + time.Duration(i)*a.Spacing})
	}
}

// hold returns the requests that can wait for another delay until an issuer answers, and
// refuses the others.
func (q *quotas) hold(k quota.Key, batch []*quotaWaiter, delay time.Duration) (held []*quotaWaiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for _, w := range batch {
		if now.Add(delay).Before(w.holdUntil) {
			held = append(held, w)
		} else {
			q.finish(w, quotaDecision{result: quotaUnavailable, key: k, wait: retryAfterDelay})
		}
	}
	return held
}

// issue issues admissions, if this host is an issuer.
func (q *quotas) issue(question quota.Ask) quota.Answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.host.Issue(q.now(), question)
	result := "granted"
	if a.Granted == 0 {
		result = "denied"
	}
	q.issued.Inc(result, "")
	return a
}

// admitQuota decides whether the request is within the limit of its workspace. It returns
// the response if it is not. It is called before the first attempt; after a long wait it
// is to be called again, because an admission that has expired would let the request run
// in a later window.
func (f *forwarding) admitQuota(ctx context.Context) *response {
	n := f.node
	if f.workspace == nil || (f.quota.admitted() && n.quotas.now().Before(f.quota.expires)) {
		return nil
	}
	f.quota = n.quotas.admit(ctx, f.workspace.Name, f.deadline)
	var resp *response
	switch {
	case f.quota.result == "" || f.quota.admitted():
		return nil
	case f.quota.result == quotaCancelled:
		f.reason = model.ReasonCancelled
		return f.failureResponse()
	case f.quota.result == quotaOver:
		f.reason = model.ReasonRateLimited
		resp = n.localResponse(f.request, http.StatusTooManyRequests, f.reason)
	default:
		f.reason = model.ReasonQuotaUnavailable
		resp = n.refuse(f.request, f.reason)
	}
	setRetryAfter(resp, max(f.quota.wait, time.Millisecond))
	return resp
}

// releaseQuota gives the admission back if no server got the request.
func (f *forwarding) releaseQuota() {
	if !f.reachedServer && !f.mayHaveRun && len(f.active) == 0 {
		f.node.quotas.release(f.quota)
	}
}

// quotaAsk returns the message for an ask.
func quotaAsk(a quota.Ask) *gen.QuotaAsk {
	return &gen.QuotaAsk{Workspace: uint64(a.Workspace), Need: uint32(a.Need), Extra: uint32(a.Extra)}
}

// ceilMilliseconds rounds up, so that nobody is told to come back too early.
func ceilMilliseconds(d time.Duration) uint32 {
	return uint32(math.Ceil(float64(max(0, d)) / float64(time.Millisecond)))
}
