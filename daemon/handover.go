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
	// sealPoll is how often the stop looks whether the last request with a key
	// has ended. Others wait meanwhile, so it is short.
	sealPoll = 2 * time.Millisecond
	// handoverRetry is the time between attempts of a transfer.
	handoverRetry = 50 * time.Millisecond
	// uncommittedTries is how often a transfer that cannot have been taken is
	// repeated before another successor is chosen.
	uncommittedTries = 3
	// lingerQuiet is how long no request may have needed to be passed on before
	// the fleet listener closes: the forwarding notes reach all hosts in less.
	// lingerLimit bounds the wait.
	lingerQuiet = time.Second
	lingerLimit = 5 * time.Second
	// passOnMargin is kept back from a passed-on request's budget.
	passOnMargin = 20 * time.Millisecond
)

// handover moves the key ledgers of a stopping daemon to one successor, and
// takes over those of others. It wraps the owner, so that a request that
// arrives between the seal and the exit is passed on.
type handover struct {
	*owner.Owner
	self        model.HostID
	incarnation model.Incarnation
	members     *members
	fleet       *fleet.Client
	log         telemetry.Logger
	inbox       *peerrpc.HandoverReceiver

	mu      sync.Mutex
	leaving bool

	used     atomic.Bool  // keys were issued or taken over
	sealed   atomic.Bool  // the ledgers are closed
	passedAt atomic.Int64 // Unix nanoseconds of the last request passed on
	// done is closed when result is final.
	done   chan struct{}
	result handoverResult
}

// handoverResult says where the ledgers are after the attempt to move them.
type handoverResult struct {
	successor fleet.Peer // empty Host: none
	// uncertain means that a host may have taken them without an answer.
	uncertain bool
}

func newHandover(o *owner.Owner, self model.HostID, incarnation model.Incarnation, m *members, c *fleet.Client, log telemetry.Logger) *handover {
	h := &handover{Owner: o, self: self, incarnation: incarnation, members: m, fleet: c, log: log, done: make(chan struct{})}
	h.inbox = peerrpc.NewHandoverReceiver(incarnation, func(all []idempotency.ExportedLedger) error {
		if err := o.AdoptKeys(all); err != nil {
			return err
		}
		h.used.Store(true)
		log.WithFields(telemetry.Fields{"event": "keys_taken_over", "ledgers": len(all)}).Info("took over the key ledgers of a stopping daemon")
		return nil
	})
	return h
}

// take handles a part of another daemon's ledgers. A stopping daemon refuses:
// it could not hand them on.
func (h *handover) take(p peerrpc.HandoverPart) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving {
		return false, peerrpc.ErrRefused
	}
	return h.inbox.ReceivePart(p)
}

// leave refuses ledgers from now on.
func (h *handover) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// IssueKeys issues keys.
func (h *handover) IssueKeys(q fleet.KeysRequest) fleet.KeysResponse {
	h.used.Store(true)
	return h.Owner.IssueKeys(q)
}

// Do runs a request. A request whose key the sealed ledger has not seen is
// passed on to the successor.
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
	return h.passOn(ctx, q, started.Add(q.Budget-passOnMargin))
}

// passOn waits for the handover and forwards the request. Until it is sent,
// the request has certainly not run, since the ledger did not accept its key.
func (h *handover) passOn(ctx context.Context, q *fleet.Request, deadline time.Time) fleet.Response {
	h.passedAt.Store(time.Now().UnixNano())
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
	r, err := h.fleet.Forward(ctx, h.result.successor, &next)
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

// run seals the ledgers and moves them. It returns when the notes have spread
// or ctx ends.
func (h *handover) run(ctx context.Context) {
	started := time.Now()
	h.sealed.Store(true)
	h.SealKeys() // first, so that no key is issued after the look at used
	if !h.used.Load() {
		close(h.done)
		return
	}
	all, err := h.export(ctx)
	if err == nil {
		h.result = h.transfer(ctx, all)
	}
	if to := h.result.successor.Host; to != "" {
		h.members.forward(h.KeyIssuers(), to, h.KeyLifetime())
	}
	close(h.done)
	fields := telemetry.Fields{"event": "keys_handed_over", "successor": h.result.successor.Host, "uncertain": h.result.uncertain, "took_ms": time.Since(started).Milliseconds()}
	if h.result.successor.Host == "" {
		h.log.WithFields(fields).WithError(err).Error("no host took over the key ledgers; their keys can no longer be used")
		return
	}
	h.log.WithFields(fields).Info("handed over the key ledgers")
	h.linger(ctx)
}

// export waits for the last request with a key.
func (h *handover) export(ctx context.Context) ([]idempotency.ExportedLedger, error) {
	for {
		all, err := h.ExportKeys()
		if !errors.Is(err, idempotency.ErrBusy) || ctx.Err() != nil {
			return all, err
		}
		time.Sleep(sealPoll)
	}
}

// linger waits until no request has needed to be passed on for a while.
func (h *handover) linger(ctx context.Context) {
	finished := time.Now()
	for ctx.Err() == nil && time.Since(finished) < lingerLimit {
		quiet := time.Since(time.Unix(0, max(h.passedAt.Load(), finished.UnixNano())))
		if quiet >= lingerQuiet {
			return
		}
		time.Sleep(lingerQuiet - quiet)
	}
}

// transfer hands the ledgers to the first candidate that takes them. A
// candidate that may have taken them without an answer is the last one asked.
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

// transferTo sends all parts until the host answers that it holds the ledgers.
// They are taken over with the last part, so only a lost answer to that one
// leaves a doubt; it is then repeated to this host alone.
func (h *handover) transferTo(ctx context.Context, to membership.HostView, parts []peerrpc.HandoverPart) transferOutcome {
	committed := false
	for tries := 1; ctx.Err() == nil; tries++ {
		taken, last, err := h.sendParts(ctx, to, parts)
		switch {
		case taken:
			return transferTaken
		case committed && (errors.Is(err, peerrpc.ErrRefused) || h.isGone(to)):
			return transferUncertain
		case last && err != nil && !peerrpc.CertainlyNotExecuted(err):
			committed = true
		case !committed && (peerrpc.CertainlyNotExecuted(err) || tries == uncommittedTries):
			return transferNotTaken
		}
		time.Sleep(handoverRetry)
	}
	if committed {
		return transferUncertain
	}
	return transferNotTaken
}

// sendParts sends all parts but the last, some at once since most of the time
// goes into their encoding, and then the last, which makes the host take over.
// Last says whether that one was tried.
func (h *handover) sendParts(ctx context.Context, to membership.HostView, parts []peerrpc.HandoverPart) (taken, last bool, err error) {
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

func (h *handover) isGone(to membership.HostView) bool {
	now, ok := h.members.view.Load().Hosts[to.ID]
	return !ok || now.State == membership.Unreachable || now.State == membership.Gone || now.Incarnation != to.Incarnation
}

// candidates returns the possible successors, the next owner of most of this
// host's pools first, so that requests with the keys stay with their pool.
func (h *handover) candidates(ctx context.Context) []membership.HostView {
	v := h.members.view.Load()
	dc := h.members.self.DataCentre
	votes := map[model.HostID]int{}
	for _, p := range h.Views(ctx) {
		for _, next := range h.members.Owners(p.Pool, 1) {
			votes[next.Host]++
		}
	}
	ranked := ranking.Rank("key-successor/"+string(h.incarnation), v.Serving[dc])
	slices.SortStableFunc(ranked, func(a, b model.HostID) int { return cmp.Compare(votes[b], votes[a]) })
	var list []membership.HostView
	for _, id := range ranked {
		if x := v.Hosts[id]; id != h.self && x.State == membership.Alive && x.Incarnation != "" && !x.LinkDown {
			list = append(list, x)
		}
	}
	return list
}
