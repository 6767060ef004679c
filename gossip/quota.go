package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
)

const (
	// quotaResendDelay is how long after a request for admissions it is sent again. A
	// round trip in a data centre takes 0.5 ms, on a busy host a few.
	quotaResendDelay = 20 * time.Millisecond
	// quotaAvoidance is how long a daemon that did not reply to maxQuotaFailures
	// requests in a row is asked for no admissions. It doubles with each further one.
	quotaAvoidance    = 2 * time.Second
	maxQuotaFailures  = 2
	maxQuotaDoublings = 4
	// maxUnansweredReports is the number of reports and solicitations without a reply
	// after which another daemon of the data centre gets them.
	maxUnansweredReports = 5
	// answerLifetime is how long an answer is kept at least, for a request that is
	// received twice.
	answerLifetime = 200 * time.Millisecond
)

// QuotaHandler takes part in the limits of workspaces. Its methods are called from
// several goroutines.
type QuotaHandler interface {
	// QuotaState returns this daemon's state for heartbeats; nil if there are no limits.
	QuotaState() *gen.QuotaState
	// PeerQuotaState is called with that of another daemon of the data centre.
	PeerQuotaState(h model.HostID, s *gen.QuotaState)
	// QuotaIssuer returns the issuer of this daemon. Messages from other data centres are
	// passed on to it.
	QuotaIssuer() model.HostID
	// AnswerQuota returns the answer to another daemon's request.
	AnswerQuota(q *gen.QuotaAsk) *gen.QuotaAnswer
	// QuotaReport returns the reply to the report of an issuer.
	QuotaReport(from model.HostID, dc model.DataCentre, r *gen.QuotaReport) *gen.QuotaLease
	// QuotaLease is called with the reply of a coordinator.
	QuotaLease(from model.HostID, dc model.DataCentre, l *gen.QuotaLease)
	// QuotaSolicited is called with the workspaces that a coordinator wants reports on.
	QuotaSolicited(workspaces []uint64)
}

// quotaExchange is the state of the messages about limits.
type quotaExchange struct {
	handler QuotaHandler
	// recent and older are the answers sent lately, so that a request that is received
	// twice gets the same; guarded by Gossiper.mu.
	recent, older map[quotaRequest]*gen.QuotaAnswer
	rotatedAt     time.Time
	// unanswered has, by data centre, the number of reports and solicitations since
	// the last message that could be a reply; guarded by Gossiper.mu.
	unanswered map[model.DataCentre]int
}

// quotaRequest identifies a request for admissions.
type quotaRequest struct {
	host string
	id   uint64
}

// QuotaError reports that no answer to a request for admissions was received.
type QuotaError struct {
	// Issuer is empty if no daemon is known that could be asked.
	Issuer model.HostID
	Err    error
}

// Error implements error.
func (e *QuotaError) Error() string {
	return fmt.Sprintf("request admissions from %q: %v", e.Issuer, e.Err)
}

// Unwrap returns the cause.
func (e *QuotaError) Unwrap() error { return e.Err }

var (
	errNoIssuer = errors.New("no daemon is known that could issue any")
	errAvoided  = errors.New("it did not reply to the last requests")
)

// EnableQuotas makes the daemon take part in the limits of workspaces.
func (g *Gossiper) EnableQuotas(h QuotaHandler) {
	g.quota.Store(&quotaExchange{handler: h, recent: map[quotaRequest]*gen.QuotaAnswer{}, unanswered: map[model.DataCentre]int{}})
}

func (g *Gossiper) quotaState() *gen.QuotaState {
	if x := g.quota.Load(); x != nil {
		return x.handler.QuotaState()
	}
	return nil
}

func (g *Gossiper) handleQuotaState(h model.HostID, s *gen.QuotaState) {
	if x := g.quota.Load(); x != nil && s != nil {
		x.handler.PeerQuotaState(h, s)
	}
}

// PreferredIssuer returns the daemon of the data centre that is to issue admissions: the
// first one in the order of relays that replies. Larger hosts come first, because the
// issuer handles one datagram for most requests of the data centre.
func (g *Gossiper) PreferredIssuer() model.HostID {
	leaving, now := g.handler.State().Leaving, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var first *member
	for _, m := range g.localMembers() {
		if m.live(now) && !now.Before(m.noQuotaUntil) && (first == nil || m.candidate().precedes(first.candidate())) {
			first = m
		}
	}
	if first == nil || (!leaving && newCandidate(g.self).precedes(first.candidate())) {
		return g.self.ID
	}
	return first.ID
}

// AskIssuer asks a daemon of this data centre for admissions. Errors are *QuotaError.
func (g *Gossiper) AskIssuer(ctx context.Context, issuer model.HostID, q *gen.QuotaAsk) (*gen.QuotaAnswer, error) {
	g.mu.Lock()
	m := g.members.byID[issuer]
	g.mu.Unlock()
	return g.askQuota(ctx, m, q)
}

// AskDataCentre asks the issuer of another data centre for admissions. Errors are
// *QuotaError.
func (g *Gossiper) AskDataCentre(ctx context.Context, dc model.DataCentre, q *gen.QuotaAsk) (*gen.QuotaAnswer, error) {
	return g.askQuota(ctx, g.quotaContact(dc), q)
}

func (g *Gossiper) askQuota(ctx context.Context, to *member, q *gen.QuotaAsk) (*gen.QuotaAnswer, error) {
	if to == nil {
		return nil, &QuotaError{Err: errNoIssuer}
	}
	g.mu.Lock()
	began := time.Now()
	avoided := began.Before(to.noQuotaUntil)
	g.mu.Unlock()
	if avoided {
		return nil, &QuotaError{Issuer: to.ID, Err: errAvoided}
	}
	resendAfter := quotaResendDelay
	if to.Region != g.self.Region {
		resendAfter = otherRegionPermitTimeout / 2
	}
	reply, err := g.exchange(ctx, to, resendAfter, func(id uint64) *gen.Gossip {
		q.Id = id
		return &gen.Gossip{QuotaAsk: q}
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil:
		to.quotaFailures = 0
		return reply.QuotaAnswer, nil
	case errors.Is(err, context.DeadlineExceeded) && !began.Before(to.quotaFailedAt):
		// Requests that waited at the same time failed for the same pause.
		to.quotaFailures, to.quotaFailedAt = to.quotaFailures+1, time.Now()
		to.avoidQuota()
	}
	return nil, &QuotaError{Issuer: to.ID, Err: err}
}

// avoidQuota makes the member avoided if it did not reply too often. Gossiper.mu must be
// held.
func (m *member) avoidQuota() {
	if doublings := m.quotaFailures - maxQuotaFailures; doublings >= 0 {
		m.noQuotaUntil = time.Now().Add(quotaAvoidance << min(doublings, maxQuotaDoublings))
	}
}

// quotaContact returns the daemon of another data centre to which messages about limits
// are sent: most likely its issuer, otherwise one that passes them on. It returns nil if
// none is known.
func (g *Gossiper) quotaContact(dc model.DataCentre) (first *member) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members.byDataCentre[dc] {
		if !m.leaving && !now.Before(m.noQuotaUntil) && (first == nil || m.candidate().precedes(first.candidate())) {
			first = m
		}
	}
	return first
}

// SendQuotaReport sends a report to the coordinator in a data centre.
func (g *Gossiper) SendQuotaReport(dc model.DataCentre, r *gen.QuotaReport) {
	g.sendQuota(dc, &gen.Gossip{QuotaReport: r})
}

// SolicitQuotaReports asks the issuer of a data centre for reports.
func (g *Gossiper) SolicitQuotaReports(dc model.DataCentre, workspaces []uint64) {
	g.sendQuota(dc, &gen.Gossip{QuotaSolicit: workspaces})
}

func (g *Gossiper) sendQuota(dc model.DataCentre, m *gen.Gossip) {
	var to *member
	if dc == g.self.DataCentre {
		issuer := g.quota.Load().handler.QuotaIssuer()
		g.mu.Lock()
		to = g.members.byID[issuer]
		g.mu.Unlock()
	} else {
		to = g.quotaContact(dc)
	}
	if to == nil {
		return
	}
	g.mu.Lock()
	unanswered := g.quota.Load().unanswered
	if unanswered[dc]++; unanswered[dc] > maxUnansweredReports {
		unanswered[dc] = 0
		to.quotaFailures = max(to.quotaFailures+1, maxQuotaFailures)
		to.avoidQuota()
	}
	g.mu.Unlock()
	m.Host, m.DataCentre = string(g.self.ID), string(g.self.DataCentre)
	g.write(m, []*net.UDPAddr{to.udpAddress})
}

// handleQuota handles a message about limits of workspaces. It returns false for other
// messages.
func (g *Gossiper) handleQuota(m *gen.Gossip, from *net.UDPAddr) bool {
	asked := m.QuotaAsk != nil || m.QuotaReport != nil || len(m.QuotaSolicit) > 0
	if !asked && m.QuotaAnswer == nil && m.QuotaLease == nil {
		return false
	}
	x := g.quota.Load()
	if x == nil {
		return true
	}
	if asked {
		if m.Address != "" {
			sender, err := net.ResolveUDPAddr("udp4", m.Address)
			if err != nil {
				return true
			}
			from = sender
		} else if g.forwardQuota(m, from) {
			return true
		}
	}
	g.mu.Lock()
	x.unanswered[model.DataCentre(m.DataCentre)] = 0
	g.mu.Unlock()
	host, dc, reply := model.HostID(m.Host), model.DataCentre(m.DataCentre), &gen.Gossip{Host: string(g.self.ID), DataCentre: string(g.self.DataCentre)}
	switch {
	case m.QuotaAnswer != nil:
		g.deliver(m.QuotaAnswer.Id, m)
		return true
	case m.QuotaLease != nil:
		x.handler.QuotaLease(host, dc, m.QuotaLease)
		return true
	case m.QuotaAsk != nil:
		reply.QuotaAnswer = g.answerQuota(x, m.Host, m.QuotaAsk)
	case m.QuotaReport != nil:
		reply.QuotaLease = x.handler.QuotaReport(host, dc, m.QuotaReport)
	default:
		x.handler.QuotaSolicited(m.QuotaSolicit)
		return true
	}
	g.write(reply, []*net.UDPAddr{from})
	return true
}

// forwardQuota passes a message from another data centre on to the issuer of this one. It
// returns false if that is this daemon.
func (g *Gossiper) forwardQuota(m *gen.Gossip, from *net.UDPAddr) bool {
	if model.DataCentre(m.DataCentre) == g.self.DataCentre {
		return false
	}
	issuer := g.quota.Load().handler.QuotaIssuer()
	g.mu.Lock()
	to := g.members.byID[issuer]
	g.mu.Unlock()
	if to == nil {
		return false
	}
	m.Address = from.String()
	g.write(m, []*net.UDPAddr{to.udpAddress})
	return true
}

// answerQuota answers a request for admissions. One that is received twice gets the first
// answer again.
func (g *Gossiper) answerQuota(x *quotaExchange, host string, q *gen.QuotaAsk) *gen.QuotaAnswer {
	key, now := quotaRequest{host, q.Id}, time.Now()
	g.mu.Lock()
	if now.Sub(x.rotatedAt) >= answerLifetime {
		x.older, x.recent, x.rotatedAt = x.recent, map[quotaRequest]*gen.QuotaAnswer{}, now
	}
	answer := x.recent[key]
	if answer == nil {
		answer = x.older[key]
	}
	g.mu.Unlock()
	if answer != nil {
		return answer
	}
	answer = x.handler.AnswerQuota(q)
	answer.Id = q.Id
	g.mu.Lock()
	defer g.mu.Unlock()
	x.recent[key] = answer
	return answer
}
