package balance

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Budget bounds the attempts beyond the first of each request (retries and
// hedges) over all daemons.
type Budget struct {
	// Ratio is the number of such attempts allowed per request.
	Ratio float64
	// Slack is the number of such attempts that each service may add per window
	// on top of Ratio, split equally between the data centres.
	Slack float64
	// Window is the sliding window over which requests and attempts are counted.
	Window time.Duration
}

const (
	// usableBudgetShare is the share of the retry budget that may be used. The rest
	// covers attempts of other daemons that have not been reported yet.
	usableBudgetShare = 0.88
	// initialSlackShare is the share of the slack that is available when a daemon
	// starts. It rises to the whole slack within one window.
	initialSlackShare = 0.25
	// idempotentBudgetShare is the share of the usable budget for idempotent
	// requests if the service also has non-idempotent ones. The rest is kept for
	// requests that a server refused and that can be served only by a retry.
	idempotentBudgetShare = 0.5
	// hedgeBudgetShare is the share of the idempotent requests' budget above which
	// unanswered attempts are no longer hedged, to keep the rest for retries of
	// failed ones.
	hedgeBudgetShare = 0.5
	// probeBudgetShare is the share of the usable budget above which no probes are
	// sent to renew evidence, because a failed probe costs a retry.
	probeBudgetShare = 0.3
)

// SetBudget changes the retry budget. If its window changes, the counts are
// reset.
func (t *Table) SetBudget(now time.Time, b Budget) {
	if b.Window != t.opts.Budget.Window {
		t.countingSince = now
		for _, s := range t.services {
			s.arrivals, s.retries = window{span: b.Window}, extendedWindow(b.Window)
		}
	}
	t.opts.Budget = b
}

// BudgetUse is the state of a service's retry budget.
type BudgetUse struct {
	// Requests and Retries (hedges included) within the window, of this daemon
	// and as reported by others.
	Requests, Retries int
	// UsedShare is the share of the usable budget in use once one more retry is
	// added.
	UsedShare float64
}

// BudgetUse returns the state of a service's retry budget.
func (t *Table) BudgetUse(now time.Time, name model.ServiceName) BudgetUse {
	svc := t.service(name)
	return BudgetUse{Requests: svc.arrivals.count(now), Retries: svc.retries.count(now), UsedShare: t.budgetUsed(now, svc)}
}

// AllowRetry reports whether the service's budget allows another attempt of a
// request that is idempotent or not.
func (t *Table) AllowRetry(now time.Time, name model.ServiceName, idempotent bool) bool {
	svc := t.service(name)
	share := 1.0
	if idempotent {
		share = svc.idempotentShare(now)
	}
	return t.budgetUsed(now, svc) < share
}

// AllowHedge reports whether the service's budget allows a second attempt while
// the first is unanswered.
func (t *Table) AllowHedge(now time.Time, name model.ServiceName) bool {
	svc := t.service(name)
	return t.budgetUsed(now, svc) < hedgeBudgetShare*svc.idempotentShare(now)
}

// expectsNonIdempotent reports whether the service had a non-idempotent request
// within nonIdempotentMemory.
func (s *service) expectsNonIdempotent(now time.Time) bool {
	return now.Sub(s.lastNonIdempotent) < nonIdempotentMemory
}

// idempotentShare returns the share of the usable budget that idempotent requests
// may use.
func (s *service) idempotentShare(now time.Time) float64 {
	if s.expectsNonIdempotent(now) {
		return idempotentBudgetShare
	}
	return 1
}

// budgetUsed returns the share of the usable retry budget in use once one more
// retry is added. It returns 1 if the budget is below one retry.
func (t *Table) budgetUsed(now time.Time, svc *service) float64 {
	allowed := t.budgetAllowed(now, svc)
	if allowed < 1 {
		return 1
	}
	return float64(svc.retries.count(now)+1) / allowed
}

// budgetAllowed returns the number of retries within the window that the service may
// use in this data centre.
func (t *Table) budgetAllowed(now time.Time, svc *service) float64 {
	b := t.opts.Budget
	// Retries from before this daemon's start are not known, and those of other
	// daemons are not received until this one has discovered them.
	slackShare := min(1, max(initialSlackShare, now.Sub(t.countingSince).Seconds()/b.Window.Seconds()))
	slack := slackShare * b.Slack / float64(t.dataCentres)
	return usableBudgetShare * (b.Ratio*float64(svc.arrivals.count(now)) + slack)
}
