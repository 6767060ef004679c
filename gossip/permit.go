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
	// maxContactFailures is the number of requests without a reply after which a daemon
	// counts as gone, so that other data centres issue the permits when all of a data
	// centre do.
	maxContactFailures = 2
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
// first for it among the live ones of the server's data centre; a daemon that is asked
// although it is not the issuer passes the request on. While the daemons of a data centre
// disagree about who is live, each issuer keeps to the server's limit by itself. Errors
// are *PermitError.
func (g *Gossiper) RequestPermit(ctx context.Context, dc model.DataCentre, q *gen.PermitRequest) (*gen.PermitReply, error) {
	issuer := g.permitIssuer(dc, q.Server, time.Now())
	if issuer == nil {
		return g.handler.IssuePermit(q), nil
	}
	reply, err := g.exchange(ctx, issuer, 0, func(id uint64) *gen.Gossip {
		q.Id = id
		return &gen.Gossip{PermitRequest: q}
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil:
		issuer.permitFailures = 0
		return reply.PermitReply, nil
	case errors.Is(err, context.DeadlineExceeded):
		issuer.noPermitsUntil = time.Now().Add(permitAvoidance << min(issuer.permitFailures, maxPermitDoublings))
		issuer.permitFailures++
	}
	return nil, &PermitError{Issuer: issuer.ID, Err: err}
}

// exchange sends the message that makeMessage returns for a new identifier to a daemon,
// and returns the reply with this identifier. It sends the message a second time after
// resendAfter, if that is not zero. The error is that of a context.
func (g *Gossiper) exchange(ctx context.Context, to *member, resendAfter time.Duration, makeMessage func(id uint64) *gen.Gossip) (*gen.Gossip, error) {
	reply := make(chan *gen.Gossip, 1)
	g.mu.Lock()
	g.lastPermitRequest++
	id := g.lastPermitRequest
	g.permitRequests[id] = reply
	address := to.udpAddress
	g.mu.Unlock()
	timeout := sameRegionPermitTimeout
	if to.Region != g.self.Region {
		timeout = otherRegionPermitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.permitRequests, id)
	}()
	m := makeMessage(id)
	m.Host, m.DataCentre = string(g.self.ID), string(g.self.DataCentre)
	g.write(m, []*net.UDPAddr{address})
	var resend <-chan time.Time
	if resendAfter > 0 {
		resend = time.After(resendAfter)
	}
	for {
		select {
		case received := <-reply:
			// A reply that was received too late is not used: this daemon may have
			// been paused since.
			return received, ctx.Err()
		case <-resend:
			g.write(m, []*net.UDPAddr{address})
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// deliver passes a reply to the exchange that waits for it, if any.
func (g *Gossiper) deliver(id uint64, m *gen.Gossip) {
	g.mu.Lock()
	waiting := g.permitRequests[id]
	delete(g.permitRequests, id)
	g.mu.Unlock()
	if waiting != nil {
		waiting <- m
	}
}

// permitIssuer returns the daemon to ask for a permit of a server; nil if it is this one.
// For a server of another data centre any daemon there will do, because it passes the
// request on to the issuer.
func (g *Gossiper) permitIssuer(dc model.DataCentre, server uint64, now time.Time) *member {
	leaving := g.handler.State().Leaving
	g.mu.Lock()
	defer g.mu.Unlock()
	if dc == g.self.DataCentre {
		return g.localIssuer(server, leaving, now)
	}
	for failures := range maxContactFailures {
		candidates := g.permitContacts(dc, failures, now)
		if len(candidates) > 0 {
			return g.firstFor(server, candidates)
		}
	}
	// No daemon of the server's data centre replies.
	candidates := []model.HostID{}
	for other := range g.members.byDataCentre {
		if other != g.self.DataCentre {
			candidates = append(candidates, g.permitContacts(other, 0, now)...)
		}
	}
	for _, m := range g.localMembers() {
		if m.live(now) {
			candidates = append(candidates, m.ID)
		}
	}
	return g.firstFor(server, append(candidates, g.self.ID))
}

// localIssuer returns the daemon that issues the permits of a server of this data centre;
// nil if it is this one. Daemons of a data centre agree on it as soon as they agree on who
// is live. g.mu must be held.
func (g *Gossiper) localIssuer(server uint64, leaving bool, now time.Time) *member {
	var candidates []model.HostID
	for _, m := range g.localMembers() {
		if m.live(now) {
			candidates = append(candidates, m.ID)
		}
	}
	if !leaving || len(candidates) == 0 {
		candidates = append(candidates, g.self.ID)
	}
	return g.firstFor(server, candidates)
}

// permitContacts returns the members of another data centre that may be asked for permits:
// without failures those that are not avoided, otherwise those whose last requests without
// a reply are at most as many. g.mu must be held.
func (g *Gossiper) permitContacts(dc model.DataCentre, failures int, now time.Time) (ids []model.HostID) {
	for _, m := range g.members.byDataCentre[dc] {
		if !m.leaving && (!now.Before(m.noPermitsUntil) || (failures > 0 && m.permitFailures <= failures)) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// firstFor returns the host that is ranked first for the permits of a server; nil if it is
// this one, which is not a member. g.mu must be held.
func (g *Gossiper) firstFor(server uint64, hosts []model.HostID) *member {
	return g.members.byID[ranking.Top(permitKeyPrefix+strconv.FormatUint(server, 16), hosts, 1)[0]]
}

// forwardPermitRequest passes a request on to the issuer, which replies to its sender. It
// returns false if this daemon is the issuer.
func (g *Gossiper) forwardPermitRequest(m *gen.Gossip, from *net.UDPAddr) bool {
	leaving := g.handler.State().Leaving
	g.mu.Lock()
	issuer := g.localIssuer(m.PermitRequest.Server, leaving, time.Now())
	g.mu.Unlock()
	if issuer == nil {
		return false
	}
	m.Address = from.String()
	g.write(m, []*net.UDPAddr{issuer.udpAddress})
	return true
}

// handlePermit handles a request for a permit, or a reply to one. It returns false for
// other messages.
func (g *Gossiper) handlePermit(m *gen.Gossip, from *net.UDPAddr) bool {
	switch {
	case m.PermitRequest != nil:
		if m.Address != "" {
			asker, err := net.ResolveUDPAddr("udp4", m.Address)
			if err != nil {
				return true
			}
			from = asker
		} else if g.forwardPermitRequest(m, from) {
			return true
		}
		reply := g.handler.IssuePermit(m.PermitRequest)
		reply.Id = m.PermitRequest.Id
		g.write(&gen.Gossip{Host: string(g.self.ID), DataCentre: string(g.self.DataCentre), PermitReply: reply}, []*net.UDPAddr{from})
	case m.PermitReply != nil:
		g.deliver(m.PermitReply.Id, m)
	default:
		return false
	}
	return true
}
