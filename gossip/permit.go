package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
)

const (
	// sameRegionPermitTimeout and otherRegionPermitTimeout bound the wait for a reply to
	// a request for a permit, where a round trip takes about 2 ms and 60 ms.
	sameRegionPermitTimeout  = 50 * time.Millisecond
	otherRegionPermitTimeout = 150 * time.Millisecond
	// permitAvoidance is how long a daemon that did not reply is asked for no permits.
	// It doubles with each further request without a reply, up to maxPermitDoublings
	// times.
	permitAvoidance    = 2 * time.Second
	maxPermitDoublings = 4
	// permitKeyPrefix precedes the server's key in the ranking of the daemons that may
	// issue its permits.
	permitKeyPrefix = "permit/"
)

// PermitError reports that no reply to a request for a permit was received in time.
type PermitError struct {
	Issuer model.HostID
	Err    error
}

// Error implements error.
func (e *PermitError) Error() string {
	return fmt.Sprintf("request a permit from %s: %v", e.Issuer, e.Err)
}

// Unwrap returns the cause.
func (e *PermitError) Unwrap() error { return e.Err }

// RequestPermit asks for a permit to send one attempt to a backend server of a data
// centre. It sets q.Id. The permits of a server are issued by the daemon that is ranked
// first for it among those of the server's data centre that are live or, seen from
// another data centre, that have replied; without any, among all others. While daemons
// disagree, each issuer keeps to the server's limit by itself. Errors are *PermitError.
func (g *Gossiper) RequestPermit(ctx context.Context, dc model.DataCentre, q *gen.PermitRequest) (*gen.PermitReply, error) {
	issuer := g.permitIssuer(dc, q.Server, time.Now())
	if issuer == nil {
		return g.handler.IssuePermit(q), nil
	}
	reply := make(chan *gen.PermitReply, 1)
	g.mu.Lock()
	g.lastPermitRequest++
	q.Id = g.lastPermitRequest
	g.permitRequests[q.Id] = reply
	address := issuer.udpAddress
	g.mu.Unlock()
	timeout := sameRegionPermitTimeout
	if issuer.Region != g.self.Region {
		timeout = otherRegionPermitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g.write(&gen.Gossip{Host: string(g.self.ID), DataCentre: string(g.self.DataCentre), PermitRequest: q}, []*net.UDPAddr{address})
	var received *gen.PermitReply
	select {
	case received = <-reply:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.permitRequests, q.Id)
	switch {
	case ctx.Err() == nil:
		issuer.permitFailures = 0
		return received, nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		issuer.noPermitsUntil = time.Now().Add(permitAvoidance << min(issuer.permitFailures, maxPermitDoublings))
		issuer.permitFailures++
	}
	// A reply that was received too late is not used: this daemon may have been paused
	// since.
	return nil, &PermitError{Issuer: issuer.ID, Err: ctx.Err()}
}

// permitIssuer returns the daemon that issues the permits of a server; nil if it is this
// one.
func (g *Gossiper) permitIssuer(dc model.DataCentre, server uint64, now time.Time) *member {
	leaving := g.handler.State().Leaving
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := g.permitCandidates(g.members.byDataCentre[dc], now)
	if !leaving && dc == g.self.DataCentre {
		candidates = append(candidates, g.self.ID)
	}
	if len(candidates) == 0 {
		for _, members := range g.members.byDataCentre {
			candidates = append(candidates, g.permitCandidates(members, now)...)
		}
		if !leaving {
			candidates = append(candidates, g.self.ID)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	// This daemon is not a member.
	return g.members.byID[ranking.Top(permitKeyPrefix+strconv.FormatUint(server, 16), candidates, 1)[0]]
}

// permitCandidates returns those of the members that may issue permits. g.mu must be
// held.
func (g *Gossiper) permitCandidates(members []*member, now time.Time) (ids []model.HostID) {
	for _, m := range members {
		if !m.leaving && !now.Before(m.noPermitsUntil) && (m.DataCentre != g.self.DataCentre || m.live(now)) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// handlePermit handles a request for a permit, or a reply to one. It returns false for
// other messages.
func (g *Gossiper) handlePermit(m *gen.Gossip, from *net.UDPAddr) bool {
	switch {
	case m.PermitRequest != nil:
		reply := g.handler.IssuePermit(m.PermitRequest)
		reply.Id = m.PermitRequest.Id
		g.write(&gen.Gossip{Host: string(g.self.ID), DataCentre: string(g.self.DataCentre), PermitReply: reply}, []*net.UDPAddr{from})
	case m.PermitReply != nil:
		g.mu.Lock()
		waiting := g.permitRequests[m.PermitReply.Id]
		delete(g.permitRequests, m.PermitReply.Id)
		g.mu.Unlock()
		if waiting != nil {
			waiting <- m.PermitReply
		}
	default:
		return false
	}
	return true
}
