package daemon

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/membership"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/owner"
	"github.com/agateusher/agateusher/peerrpc"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// sealPollInterval is the time between checks for requests with a key that are
	// still in progress. It is short because other requests wait meanwhile.
	sealPollInterval = 2 * time.Millisecond
	// handoverRetryInterval is the delay between attempts to transfer the ledgers
	// to one host.
	handoverRetryInterval = 50 * time.Millisecond
	// maxUncommittedAttempts is the number of attempts after which another
	// successor is tried, if the host certainly hasn't taken over the ledgers.
	maxUncommittedAttempts = 3
	// forwardQuietPeriod is the time without a forwarded request after which the
	// fleet listener closes. The announcement of the successor reaches all hosts
	// in less time.
	forwardQuietPeriod = time.Second
	// forwardWaitLimit bounds the wait for a forwardQuietPeriod.
	forwardWaitLimit = 5 * time.Second
	// forwardMargin is subtracted from the time budget of a forwarded request.
	forwardMargin = 20 * time.Millisecond
)

// handover moves the key ledgers of a stopping daemon to one successor, and
// takes over those of other daemons. It wraps the owner to forward requests that
// arrive between the sealing of the ledgers and the exit.
type handover struct {
	*owner.Owner
	self        model.HostID
	incarnation model.Incarnation
	members     *members
	client      *fleet.Client
	log         telemetry.Logger
	receiver    *peerrpc.HandoverReceiver

	mu      sync.Mutex
	leaving bool

	hasKeys         atomic.Bool  // this daemon issued or took over keys
	sealed          atomic.Bool  // set by run before it seals the ledgers
	lastForwardedAt atomic.Int64 // Unix nanoseconds of the last forwarded request
	// done is closed when result is final.
	done   chan struct{}
	result handoverResult
}

// handoverResult is the result of an attempt to move the ledgers.
type handoverResult struct {
	successor fleet.Peer // Host is empty if no host confirmed the takeover
	// uncertain means that a host may have taken over the ledgers, but its answer
	// was lost.
	uncertain bool
}

func newHandover(o *owner.Owner, self model.HostID, incarnation model.Incarnation, m *members, c *fleet.Client, log telemetry.Logger) *handover {
	h := &handover{Owner: o, self: self, incarnation: incarnation, members: m, client: c, log: log, done: make(chan struct{})}
	h.receiver = peerrpc.NewHandoverReceiver(incarnation, func(all []idempotency.ExportedLedger) error {
		if err := o.AdoptKeys(all); err != nil {
			return err
		}
		h.hasKeys.Store(true)
		log.WithFields(telemetry.Fields{"event": "keys_taken_over", "ledgers": len(all)}).Info("took over the key ledgers of a stopping daemon")
		return nil
	})
	return h
}

// receivePart handles a part of another daemon's ledgers and reports whether all
// parts have arrived. A stopping daemon returns peerrpc.ErrRefused, since it could
// not hand the ledgers over in turn.
func (h *handover) receivePart(p peerrpc.HandoverPart) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving {
		return false, peerrpc.ErrRefused
	}
	return h.receiver.ReceivePart(p)
}

// refuseLedgers makes receivePart refuse ledgers from now on.
func (h *handover) refuseLedgers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// IssueKeys issues keys and records that there are keys to hand over.
func (h *handover) IssueKeys(q fleet.KeysRequest) fleet.KeysResponse {
	h.hasKeys.Store(true)
	return h.Owner.IssueKeys(q)
}

// Do runs a request. A request with a key that the sealed ledger has not seen is
// forwarded to the successor.
func (h *handover) Do(ctx context.Context, q *fleet.Request) fleet.Response {
	started := time.Now()
	r := h.Owner.Do(ctx, q)
	if q.Repeatable || !h.sealed.Load() || r.Outcome != model.Unknown || r.Reason != model.ReasonIssuerGone {
		return r
	}
	key, err := idempotency.Decode(q.Key)
	if err != nil || !slices.Contains(h.KeyIssuers(), key.Issuer) {
		return r
	}
	return h.forward(ctx, q, started.Add(q.Budget-forwardMargin))
}

// forward waits for the handover and forwards the request. Until it is sent, the
// request has certainly not been executed, since the ledger did not accept its key.
func (h *handover) forward(ctx context.Context, q *fleet.Request, deadline time.Time) fleet.Response {
	h.lastForwardedAt.Store(time.Now().UnixNano())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case <-h.done:
	case <-ctx.Done():
		return fleet.NotRun(model.ReasonStopping, time.Second)
	}
	if h.result.successor.Host == "" {
		if h.result.uncertain {
			return fleet.Unknown(model.ReasonIssuerGone)
		}
		return fleet.NotRun(model.ReasonStopping, time.Second)
	}
	next := *q
	next.Budget = time.Until(deadline)
	r, err := h.client.Forward(ctx, h.result.successor, &next)
	switch {
	case err == nil:
		return r
	case !fleet.IsSent(err):
		return fleet.Unknown(model.ReasonIssuerGone)
	case ctx.Err() != nil:
		return fleet.Unknown(model.ReasonTimeout)
	}
	return fleet.Unknown(model.ReasonOwnerFailed)
}

// run seals the ledgers, moves them and announces the successor. It returns when
// the announcement has reached the fleet or ctx ends.
func (h *handover) run(ctx context.Context) {
	started := time.Now()
	h.sealed.Store(true)
	h.SealKeys() // first, so that no key is issued after hasKeys is read
	if !h.hasKeys.Load() {
		close(h.done)
		return
	}
	all, err := h.export(ctx)
	if err == nil {
		h.result = h.transfer(ctx, all)
	}
	if to := h.result.successor.Host; to != "" {
		h.members.announceSuccessor(h.KeyIssuers(), to, h.KeyLifetime())
	}
	close(h.done)
	fields := telemetry.Fields{"event": "keys_handed_over", "successor": h.result.successor.Host, "uncertain": h.result.uncertain, "took_ms": time.Since(started).Milliseconds()}
	if h.result.successor.Host == "" {
		h.log.WithFields(fields).WithError(err).Error("no host confirmed the takeover of the key ledgers; their keys can no longer be used")
		return
	}
	h.log.WithFields(fields).Info("handed over the key ledgers")
	h.waitForForwards(ctx)
}

// export returns the ledgers once no request with a key is in progress.
func (h *handover) export(ctx context.Context) ([]idempotency.ExportedLedger, error) {
	for {
		all, err := h.ExportKeys()
		if !errors.Is(err, idempotency.ErrBusy) || ctx.Err() != nil {
			return all, err
		}
		time.Sleep(sealPollInterval)
	}
}

// waitForForwards waits until no request has been forwarded for
// forwardQuietPeriod, at most for forwardWaitLimit.
func (h *handover) waitForForwards(ctx context.Context) {
	finished := time.Now()
	for ctx.Err() == nil && time.Since(finished) < forwardWaitLimit {
		quiet := time.Since(time.Unix(0, max(h.lastForwardedAt.Load(), finished.UnixNano())))
		if quiet >= forwardQuietPeriod {
			return
		}
		time.Sleep(forwardQuietPeriod - quiet)
	}
}

// transfer hands the ledgers to the first candidate that takes them over. After a
// candidate that may have taken them over, no other is tried.
func (h *handover) transfer(ctx context.Context, all []idempotency.ExportedLedger) handoverResult {
	for _, to := range h.candidates(ctx) {
		switch h.transferTo(ctx, to, peerrpc.SplitLedgers(h.incarnation, to.Incarnation, all)) {
		case transferTaken:
			return handoverResult{successor: fleet.Peer{Host: to.ID, Address: to.FleetAddress}}
		case transferUncertain:
			return handoverResult{uncertain: true}
		}
	}
	return handoverResult{}
}

type transferOutcome uint8

const (
	transferNotTaken transferOutcome = iota
	transferTaken
	transferUncertain
)

// transferTo sends all parts, with retries, until the host confirms that it holds
// the ledgers. The host takes them over with the last part, so the result is
// uncertain only if the answer to that part is lost. The transfer is then retried
// with this host only.
func (h *handover) transferTo(ctx context.Context, to membership.HostView, parts []peerrpc.HandoverPart) transferOutcome {
	maybeCommitted := false
	for attempt := 1; ctx.Err() == nil; attempt++ {
		taken, lastSent, err := h.sendParts(ctx, to, parts)
		switch {
		case taken:
			return transferTaken
		case maybeCommitted && (errors.Is(err, peerrpc.ErrRefused) || h.isGone(to)):
			return transferUncertain
		case lastSent && err != nil && !peerrpc.CertainlyNotExecuted(err):
			maybeCommitted = true
		case !maybeCommitted && (peerrpc.CertainlyNotExecuted(err) || attempt == maxUncommittedAttempts):
			return transferNotTaken
		}
		time.Sleep(handoverRetryInterval)
	}
	if maybeCommitted {
		return transferUncertain
	}
	return transferNotTaken
}

// sendParts sends all parts but the last concurrently, since most of the time is
// spent on encoding them, and then the last, with which the host takes over the
// ledgers. lastSent reports whether sending the last part was attempted.
func (h *handover) sendParts(ctx context.Context, to membership.HostView, parts []peerrpc.HandoverPart) (taken, lastSent bool, err error) {
	g, groupCtx := errgroup.WithContext(ctx)
	g.SetLimit(peerrpc.HandoverConnections)
	end := len(parts) - 1
	for _, p := range parts[:end] {
		g.Go(func() error {
			_, err := h.members.client.Handover(groupCtx, peerOf(to.Host), p)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return false, false, err
	}
	taken, err = h.members.client.Handover(ctx, peerOf(to.Host), parts[end])
	return taken, true, err
}

// isGone reports whether the host is unreachable, gone or restarted since to was
// read from the membership view.
func (h *handover) isGone(to membership.HostView) bool {
	now, ok := h.members.view.Load().Hosts[to.ID]
	return !ok || now.State == membership.Unreachable || now.State == membership.Gone || now.Incarnation != to.Incarnation
}

// candidates returns the possible successors. The next owner of most of this
// host's pools comes first, so that requests with keys still go to the owner of
// their pool.
func (h *handover) candidates(ctx context.Context) []membership.HostView {
	v := h.members.view.Load()
	dc := h.members.self.DataCentre
	poolCounts := map[model.HostID]int{}
	for _, p := range h.Views(ctx) {
		for _, next := range h.members.Owners(p.Pool, 1) {
			poolCounts[next.Host]++
		}
	}
	ranked := ranking.Rank("key-successor/"+string(h.incarnation), v.Serving[dc])
	slices.SortStableFunc(ranked, func(a, b model.HostID) int { return cmp.Compare(poolCounts[b], poolCounts[a]) })
	var list []membership.HostView
	for _, id := range ranked {
		if x := v.Hosts[id]; id != h.self && x.State == membership.Alive && x.Incarnation != "" && !x.LinkDown {
			list = append(list, x)
		}
	}
	return list
}
