package edge

import (
	"context"
	"hash/crc32"
	"math"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/quota"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/telemetry"
)

// parts is the unit of parts of a limit in messages. Gifts and grants are rounded down,
// and what a coordinator holds is rounded up, so that no part is counted twice.
const parts = 1e6

// fleetPeriod is the shortest time for which the largest number of hosts that other daemons
// have read in the registry is used. A daemon that starts may have read it too early.
const fleetPeriod = 5 * time.Second

// peerFleet is the largest number of hosts that other daemons have said in the current
// period of fleetPeriod, which began at since, and in the one before.
type peerFleet struct {
	current, previous int
	since             time.Time
}

func (p *peerFleet) hear(now time.Time, hosts int) {
	if now.Sub(p.since) >= fleetPeriod {
		p.previous, p.current, p.since = p.current, 0, now
	}
	p.current = max(p.current, hosts)
}

func (p *peerFleet) hosts() int { return max(p.current, p.previous) }

// hostHash identifies a host of a data centre in messages. With equal hashes, a vote
// could count for the wrong host; it would also need the right stamp.
func hostHash(h model.HostID) uint32 {
	return crc32.ChecksumIEEE([]byte(h))
}

// run updates rates and sends reports until ctx is cancelled.
func (q *quotas) run(ctx context.Context) error {
	ticker := time.NewTicker(quota.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if q.limited.Load() != nil {
				q.contain("quota", q.tick)
			}
		}
	}
}

func (q *quotas) tick() {
	now := q.now()
	if now.Sub(q.checked) >= issuerInterval {
		q.checked = now
		q.chooseIssuer()
	}
	q.mu.Lock()
	q.host.Tick(now)
	reports, solicits := q.host.Reports(now), q.host.Solicit(now)
	local := q.host.Issuer(now) == model.HostID(q.self)
	q.mu.Unlock()
	for dc, r := range reports {
		if dc == model.DataCentre(q.dc) && local {
			q.mu.Lock()
			lease := q.host.HandleReport(now, model.HostID(q.self), dc, r)
			q.host.HandleLease(now, model.HostID(q.self), dc, lease)
			q.mu.Unlock()
			continue
		}
		q.gossiper.SendQuotaReport(dc, reportMessage(r))
	}
	for dc, keys := range solicits {
		if dc == model.DataCentre(q.dc) && local {
			q.solicited(now, keys)
			continue
		}
		ids := make([]uint64, len(keys))
		for i, k := range keys {
			ids[i] = uint64(k)
		}
		q.gossiper.SolicitQuotaReports(dc, ids)
	}
}

func (q *quotas) solicited(now time.Time, keys []quota.Key) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, k := range keys {
		q.host.Solicited(now, k)
	}
}

func (q *quotas) chooseIssuer() {
	issuer := q.gossiper.PreferredIssuer()
	q.mu.Lock()
	before := q.host.Preferred()
	q.host.Prefer(issuer)
	q.checkEarlierVote(issuer)
	q.mu.Unlock()
	if before != issuer {
		q.log.WithFields(telemetry.Fields{"event": "quota_issuer", "issuer": issuer, "before": before}).Info("another daemon issues the admissions of limited workspaces for this one")
	}
}

// withoutVotesDelay is the time after the start of this daemon in which heartbeats may have
// been sent before an earlier process of it ended.
const withoutVotesDelay = 200 * time.Millisecond

// checkEarlierVote lets this daemon vote soon after its start, if all other hosts of the
// data centre say that they hold no votes: one of an earlier process can then only be with
// the issuer. q.mu must be held.
func (q *quotas) checkEarlierVote(issuer model.HostID) {
	if q.withoutVotes == nil || q.fleet == 0 {
		return
	}
	for _, h := range q.localHosts {
		if h != issuer && !q.withoutVotes[h] {
			return
		}
	}
	q.host.EarlierVote(issuer)
	q.withoutVotes = nil
}

// QuotaState implements gossip.QuotaHandler.
func (q *quotas) QuotaState() *gen.QuotaState {
	if q.limited.Load() == nil {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	s := &gen.QuotaState{Fleet: uint32(q.registeredHosts(now)), HoldsVotes: q.host.HoldsVotes(now)}
	if v := q.host.Vote(now); v.Issuer != "" {
		s.Issuer, s.Echo = hostHash(v.Issuer), uint64(v.Echo)
	} else if preferred := q.host.Preferred(); preferred != "" {
		// The preferred issuer may not know that it is one, and send no stamps.
		s.Issuer = hostHash(preferred)
	}
	if q.host.Voted() || now.Before(q.stampUntil) {
		s.Stamp = uint64(q.host.Stamp(now))
	}
	return s
}

// stampTime is how long after another host named this one as its issuer the heartbeats
// carry a stamp.
const stampTime = 2 * time.Second

// PeerQuotaState implements gossip.QuotaHandler.
func (q *quotas) PeerQuotaState(h model.HostID, s *gen.QuotaState) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.peerFleet.hear(now, int(s.Fleet))
	if q.withoutVotes != nil && now.Sub(q.started) >= withoutVotesDelay {
		q.withoutVotes[h] = !s.HoldsVotes
	}
	q.host.SetFleet(max(q.registeredHosts(now), q.peerFleet.hosts()))
	if s.Stamp != 0 {
		q.host.HearStamp(now, h, quota.Stamp(s.Stamp))
	}
	if s.Issuer == hostHash(model.HostID(q.self)) {
		q.stampUntil = now.Add(stampTime)
		q.host.HearVote(now, h, quota.Vote{Issuer: model.HostID(q.self), Echo: quota.Stamp(s.Echo)})
	}
}

// QuotaIssuer implements gossip.QuotaHandler.
func (q *quotas) QuotaIssuer() model.HostID {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.host.Issuer(q.now())
}

// AnswerQuota implements gossip.QuotaHandler.
func (q *quotas) AnswerQuota(m *gen.QuotaAsk) *gen.QuotaAnswer {
	a := q.issue(quota.Ask{Workspace: quota.Key(m.Workspace), Need: int(m.Need), Extra: int(m.Extra)})
	return &gen.QuotaAnswer{Granted: uint32(a.Granted), WaitMs: ceilMilliseconds(a.Wait), SpacingMs: ceilMilliseconds(a.Spacing), Starting: a.Starting}
}

// QuotaReport implements gossip.QuotaHandler.
func (q *quotas) QuotaReport(from model.HostID, dc model.DataCentre, m *gen.QuotaReport) *gen.QuotaLease {
	r := quota.Report{Stamp: quota.Stamp(m.Stamp), Echo: quota.Stamp(m.Echo)}
	if m.Coordinator == hostHash(model.HostID(q.self)) {
		r.Coordinator = model.HostID(q.self)
	}
	for _, e := range m.Entries {
		r.Entries = append(r.Entries, quota.ReportEntry{
			Workspace: quota.Key(e.Workspace), Own: float64(e.Own) / parts, Demand: float64(e.Demand) / parts,
			Gift: float64(e.Gift) / parts, Seen: quota.Stamp(e.Seen), Wants: e.Wants,
		})
	}
	q.mu.Lock()
	lease := q.host.HandleReport(q.now(), from, dc, r)
	q.mu.Unlock()
	reply := &gen.QuotaLease{Stamp: uint64(lease.Stamp), Echo: uint64(lease.Echo)}
	for _, e := range lease.Entries {
		reply.Entries = append(reply.Entries, &gen.QuotaLease_Entry{
			Workspace: uint64(e.Workspace), Held: uint32(math.Ceil(e.Held * parts)), Wish: uint32(e.Wish * parts),
			Grant: uint32(e.Grant * parts), Continue: e.Continue,
		})
	}
	return reply
}

func reportMessage(r quota.Report) *gen.QuotaReport {
	m := &gen.QuotaReport{Stamp: uint64(r.Stamp), Echo: uint64(r.Echo)}
	if r.Coordinator != "" {
		m.Coordinator = hostHash(r.Coordinator)
	}
	for _, e := range r.Entries {
		m.Entries = append(m.Entries, &gen.QuotaReport_Entry{
			Workspace: uint64(e.Workspace), Own: uint32(e.Own * parts), Demand: uint32(min(e.Demand, maxDemand) * parts),
			Gift: uint32(e.Gift * parts), Seen: uint64(e.Seen), Wants: e.Wants,
		})
	}
	return m
}

// maxDemand bounds the demand in a report, as a multiple of the limit.
const maxDemand = 1000

// QuotaLease implements gossip.QuotaHandler.
func (q *quotas) QuotaLease(from model.HostID, dc model.DataCentre, m *gen.QuotaLease) {
	l := quota.Lease{Stamp: quota.Stamp(m.Stamp), Echo: quota.Stamp(m.Echo)}
	for _, e := range m.Entries {
		l.Entries = append(l.Entries, quota.LeaseEntry{
			Workspace: quota.Key(e.Workspace), Held: float64(e.Held) / parts, Wish: float64(e.Wish) / parts,
			Grant: float64(e.Grant) / parts, Continue: e.Continue,
		})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.host.HandleLease(q.now(), from, dc, l)
}

// QuotaSolicited implements gossip.QuotaHandler.
func (q *quotas) QuotaSolicited(workspaces []uint64) {
	keys := make([]quota.Key, len(workspaces))
	for i, w := range workspaces {
		keys[i] = quota.Key(w)
	}
	q.solicited(q.now(), keys)
}

// gauges returns the gauges about limits of workspaces.
func (q *quotas) gauges() map[string]float64 {
	if q.limited.Load() == nil {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.host.Status(q.now())
	return map[string]float64{
		"quota_issuer_share": s.Share, "quota_fleet_hosts": float64(max(q.registeredHosts(q.now()), q.peerFleet.hosts())), "quota_granted_workspaces": float64(s.Granted),
		"quota_given_workspaces": float64(s.Given), "quota_lease_age_seconds": s.LeaseAge.Seconds(), "quota_waiting": float64(q.waiting),
	}
}
