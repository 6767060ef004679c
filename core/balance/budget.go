package balance

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Budget bounds arrivals beyond the first of each request, over all daemons.
type Budget struct {
	// Ratio is the share of the requests that may be repeated.
	Ratio float64
	// Slack is added to that for each service, in requests per window. Each
	// data centre spends its equal part.
	Slack float64
	// Window is the span that both are counted over.
	Window time.Duration
}

const (
	// budgetMargin is the part of the retry budget that is spent; the rest
	// covers attempts of other daemons that have not been heard of yet.
	budgetMargin = 0.88
	// startShare is the part of the slack that a daemon spends at its start; the
	// rest follows over one window.
	startShare = 0.25
	// guardedShare is the part of that which idempotent requests may use in a
	// service that has others too, so that some is left for requests that a
	// server refused and that have no other way to be served.
	guardedShare = 0.5
	// hedgeShare is the part of what idempotent requests may use up to which
	// unanswered ones are hedged: those that failed need it more.
	hedgeShare = 0.5
	// probeShare is the part up to which failures of probes are risked.
	probeShare = 0.3
)

// SetBudget changes the retry budget. The counts start anew if its window
// changes.
func (t *Table) SetBudget(now time.Time, b Budget) {
	if b.Window != t.opts.Budget.Window {
		t.began = now
		for _, s := range t.services {
			s.arrivals, s.repeats = window{span: b.Window}, longWindow(b.Window)
		}
	}
	t.opts.Budget = b
}

// BudgetUse is the state of a service's retry budget.
type BudgetUse struct {
	// Requests and Retries of the last window, as far as they are known.
	Requests, Retries int
	// UsedShare is the part of the budget that is used, one more repeat included.
	UsedShare float64
}

// BudgetUse returns the state of a service's retry budget.
func (t *Table) BudgetUse(now time.Time, name model.ServiceName) BudgetUse {
	group := t.service(name)
	return BudgetUse{Requests: group.arrivals.count(now), Retries: group.repeats.count(now), UsedShare: t.budgetUsed(now, group)}
}

// AllowRetry reports whether the service's budget has room for another arrival
// of an idempotent request, or of another one.
func (t *Table) AllowRetry(now time.Time, name model.ServiceName, repeatable bool) bool {
	group := t.service(name)
	share := 1.0
	if repeatable {
		share = group.repeatableShare(now)
	}
	return t.budgetUsed(now, group) < share
}

// AllowHedge reports whether the budget has room for a second attempt beside one
// that is unanswered.
func (t *Table) AllowHedge(now time.Time, name model.ServiceName) bool {
	group := t.service(name)
	return t.budgetUsed(now, group) < hedgeShare*group.repeatableShare(now)
}

// isGuarded reports whether the service has requests that must not repeat.
func (s *service) isGuarded(now time.Time) bool { return now.Sub(s.guarded) < guardedFor }

// repeatableShare returns the part of the budget for idempotent requests.
func (s *service) repeatableShare(now time.Time) float64 {
	if s.isGuarded(now) {
		return guardedShare
	}
	return 1
}

// budgetUsed returns the used part of the retry budget that may be spent.
func (t *Table) budgetUsed(now time.Time, group *service) float64 {
	b := t.opts.Budget
	// Repeats from before this daemon's start are not known, and those of others
	// are not heard until it has found them.
	known := min(1, max(startShare, now.Sub(t.began).Seconds()/b.Window.Seconds()))
	slack := known * b.Slack / float64(t.dataCentres)
	allowed := budgetMargin * (b.Ratio*float64(group.arrivals.count(now)) + slack)
	if allowed < 1 {
		return 1
	}
	return float64(group.repeats.count(now)+1) / allowed
}
