package edge

import (
	"context"
	"errors"
	"time"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// maxPermitRequests is the number of permits that are requested for one attempt
	// before only servers without a rate limit are considered.
	maxPermitRequests = 3
	// permitErrorWait is how long no permit of a server is requested after a request
	// without a reply.
	permitErrorWait = 100 * time.Millisecond
	// maxPermitWait bounds the wait that a daemon accepts from an issuer.
	maxPermitWait = 5 * time.Second
)

// Results of requests for permits, as counted in metrics.
const (
	permitGranted   = "granted"
	permitDenied    = "denied"
	permitUnlimited = "unlimited"
	permitNoReply   = "no-reply"
	permitCancelled = "cancelled"
)

// chooseServer chooses a server for q and records the attempt. For a server that limits
// its rate, it first gets a permit; if none is available, it chooses another server.
func (f *forwarding) chooseServer(ctx context.Context, q balance.Query, retry bool) (balance.Choice, uint64, model.Reason) {
	for requested := 0; ; requested++ {
		q.NoPermit = requested == maxPermitRequests
		choice, number, reason := f.node.serverState.startAttempt(q, retry)
		if reason != model.ReasonNone || number != 0 {
			return choice, number, reason
		}
		if f.node.getPermit(ctx, choice) {
			if number = f.node.serverState.startPermitted(choice, retry); number != 0 {
				return choice, number, model.ReasonNone
			}
		}
		if ctx.Err() != nil {
			return choice, 0, model.ReasonCancelled
		}
	}
}

// getPermit requests a permit for an attempt at a server that limits its rate.
func (n *Node) getPermit(ctx context.Context, c balance.Choice) bool {
	reply, err := n.gossiper.RequestPermit(ctx, c.Server.DataCentre, n.serverState.permitRequest(c.Server.Key))
	result, wait := permitResult(reply, err)
	n.permitRequests.Inc(result, "")
	switch result {
	case permitGranted:
		return true
	case permitUnlimited:
		n.serverState.endLimit(c.Server.Key, n.settings.Host.ID)
		return true
	case permitNoReply:
		n.log.WithFields(telemetry.Fields{"event": "permit_unanswered", "server": c.Server.ID}).WithError(err).Debug("no reply to a request for a permit")
	}
	if wait > 0 {
		n.serverState.denyPermits(c.Server.Key, wait)
	}
	return false
}

// permitResult returns the result of a request for a permit, and how long none is
// requested again. After a denial that is never zero, whatever the reply says.
func permitResult(reply *gen.PermitReply, err error) (result string, wait time.Duration) {
	switch {
	case errors.Is(err, context.Canceled):
		// The caller has left, which says nothing about the issuer.
		return permitCancelled, 0
	case err != nil:
		return permitNoReply, permitErrorWait
	case reply.Unlimited:
		return permitUnlimited, 0
	case reply.Granted:
		return permitGranted, 0
	}
	return permitDenied, min(time.Duration(max(1, reply.WaitMs))*time.Millisecond, maxPermitWait)
}

// IssuePermit implements gossip.Handler.
func (p gossipHandler) IssuePermit(q *gen.PermitRequest) *gen.PermitReply {
	reply := p.serverState.issuePermit(q)
	result := permitDenied
	switch {
	case reply.Unlimited:
		result = permitUnlimited
	case reply.Granted:
		result = permitGranted
	}
	p.permitsIssued.Inc(result, "")
	return reply
}

// permitRequest returns a request for a permit, with what is known of the limit.
func (s *serverState) permitRequest(key balance.ServerKey) *gen.PermitRequest {
	q := &gen.PermitRequest{Server: uint64(key)}
	s.update(func(now time.Time) {
		l, age := s.table.Limit(now, key)
		q.Limit, q.LimitAgeMs = l.PerSecond, uint32(max(0, age).Milliseconds())
	})
	return q
}

// issuePermit replies to a request for a permit. The newer of the limits that the sender
// and this daemon know counts.
func (s *serverState) issuePermit(q *gen.PermitRequest) *gen.PermitReply {
	reply := &gen.PermitReply{}
	key := balance.ServerKey(q.Server)
	s.update(func(now time.Time) {
		rate := q.Limit
		l, age := s.table.Limit(now, key)
		if age >= 0 && age <= time.Duration(q.LimitAgeMs)*time.Millisecond {
			if !l.InForce {
				reply.Unlimited = true
				return
			}
			rate = l.PerSecond
		}
		wait, granted := s.permits.Request(now, key, rate)
		reply.Granted = granted
		reply.WaitMs = uint32((wait + time.Millisecond - 1).Milliseconds())
	})
	return reply
}

// denyPermits records that no permit of a server is available for the time wait.
func (s *serverState) denyPermits(key balance.ServerKey, wait time.Duration) {
	s.update(func(now time.Time) { s.table.DenyPermits(now, key, wait) })
}

// endLimit records that the issuer of a server's permits knows of no limit any more.
func (s *serverState) endLimit(key balance.ServerKey, from model.HostID) {
	var change balance.LimitChange
	s.update(func(now time.Time) { change = s.table.ObserveLimit(now, key, now, model.RateLimit{}) })
	s.logLimitChange(change, from)
}
