package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
)

const (
	// TickInterval is the time between calls of Tick.
	TickInterval = 50 * time.Millisecond
	// maxTickGap is the time between two ticks after which the host counts as frozen.
	maxTickGap = 200 * time.Millisecond
	// minDenial and maxDenial bound the time for which an issuer of another data centre
	// is not asked after it had no room. They limit the messages of a workspace that is
	// over its limit, and the effect of a wait that is too long.
	minDenial = 200 * time.Millisecond
	maxDenial = 2 * time.Second
)

// coordinatorKeyPrefix precedes the name of the workspace in the ranking of the data
// centres whose issuer may coordinate it.
const coordinatorKeyPrefix = "quota/"

// Host is one host's part in the limits of all workspaces: voter, issuer and
// coordinator. Create it with NewHost.
type Host struct {
	self model.HostID
	rule Rule
	// dcs are all data centres, near and far the others of this region and those of
	// other regions in the order in which this host asks them.
	dcs, near, far []model.DataCentre
	// denied has until when the issuer of another data centre is not asked again.
	denied    map[deniedAt]time.Time
	startedAt time.Time

	voter        voter
	electorate   electorate
	abstains     bool
	accounts     map[Key]*account
	coordinators map[Key]model.DataCentre
	coordinator  coordinator
	// leases are the last leases of coordinators.
	leases map[model.HostID]heard
	// peers are the coordinators of the data centres that last replied.
	peers      map[model.DataCentre]model.HostID
	reportedAt map[model.DataCentre]time.Time
	tickedAt   time.Time
}

// heard is a stamp and when it was received.
type heard struct {
	stamp Stamp
	at    time.Time
}

// deniedAt is a workspace that a data centre had no room for.
type deniedAt struct {
	workspace Key
	dc        model.DataCentre
}

// NewHost returns the state of a host that has just started. regions has the configured
// data centres, which all hosts must list alike.
func NewHost(now time.Time, self model.HostID, dc model.DataCentre, regions map[model.DataCentre]model.Region, r Rule) *Host {
	h := &Host{
		self: self, rule: r, startedAt: now, voter: newVoter(now, self), denied: map[deniedAt]time.Time{},
		electorate: electorate{expires: map[model.HostID]time.Time{}}, accounts: map[Key]*account{},
		coordinators: map[Key]model.DataCentre{}, coordinator: coordinator{pools: map[Key]*pool{}},
		leases: map[model.HostID]heard{}, peers: map[model.DataCentre]model.HostID{}, reportedAt: map[model.DataCentre]time.Time{},
	}
	var ids []model.HostID
	for other := range regions {
		ids = append(ids, model.HostID(other))
	}
	for _, id := range ranking.Rank(string(self), ids) {
		other := model.DataCentre(id)
		h.dcs = append(h.dcs, other)
		switch {
		case other == dc:
		case regions[other] == regions[dc]:
			h.near = append(h.near, other)
		default:
			h.far = append(h.far, other)
		}
	}
	return h
}

// Others returns the data centres whose issuers may have room for a request of a
// workspace that the host's own issuer has none for, the nearest first.
func (h *Host) Others(now time.Time, k Key) (dcs []model.DataCentre) {
	candidates := h.near
	if a := h.accounts[k]; a != nil && a.limit.PerSecond <= smallLimit {
		candidates = append(slices.Clip(candidates), h.far...)
	}
	for _, dc := range candidates {
		if !now.Before(h.denied[deniedAt{k, dc}]) {
			dcs = append(dcs, dc)
		}
	}
	return dcs
}

// Denied records that the issuer of another data centre has no room before a time, or did
// not reply.
func (h *Host) Denied(now time.Time, k Key, dc model.DataCentre, wait time.Duration) {
	h.denied[deniedAt{k, dc}] = now.Add(min(max(wait, minDenial), maxDenial))
}

// SetLimits sets the limits by the names of the workspaces.
func (h *Host) SetLimits(now time.Time, limits map[string]Limit) {
	present := map[Key]bool{}
	for name, l := range limits {
		k := KeyOf(name)
		present[k] = true
		a := h.accounts[k]
		if a == nil {
			a = &account{}
			h.accounts[k] = a
			h.coordinators[k] = h.coordinatorOf(name)
		}
		a.setLimit(now, l, h.rule.capacity(l))
		a.refresh(now, h.own(now, a))
	}
	maps.DeleteFunc(h.accounts, func(k Key, _ *account) bool { return !present[k] })
	maps.DeleteFunc(h.coordinators, func(k Key, _ model.DataCentre) bool { return !present[k] })
}

func (h *Host) coordinatorOf(workspace string) model.DataCentre {
	ids := make([]model.HostID, len(h.dcs))
	for i, dc := range h.dcs {
		ids[i] = model.HostID(dc)
	}
	return model.DataCentre(ranking.Top(coordinatorKeyPrefix+workspace, ids, 1)[0])
}

// SetFleet sets the number of hosts of the fleet, which have equal shares.
func (h *Host) SetFleet(hosts int) { h.electorate.fleet = hosts }

// Prefer sets the issuer that this host votes for, once its last vote has ended.
func (h *Host) Prefer(issuer model.HostID) { h.voter.prefer(issuer) }

// EarlierVote records that an issuer is the only one that can hold a vote of an earlier
// process of this host, so that this process may vote for it at once.
func (h *Host) EarlierVote(issuer model.HostID) { h.voter.earlierVote(issuer) }

// HoldsVotes reports whether votes of other hosts are with this one.
func (h *Host) HoldsVotes(now time.Time) bool {
	for from, expiry := range h.electorate.expires {
		if from != h.self && now.Before(expiry) {
			return true
		}
	}
	return false
}

// Preferred returns the issuer that this host prefers.
func (h *Host) Preferred() model.HostID { return h.voter.preferred }

// Issuer returns the issuer of this host's data centre to ask for admissions.
func (h *Host) Issuer(now time.Time) model.HostID { return h.voter.issuer(now) }

// Stamp returns the stamp for this host's heartbeats.
func (h *Host) Stamp(now time.Time) Stamp { return stampOf(now) }

// HearStamp records the stamp in the heartbeat of another host.
func (h *Host) HearStamp(now time.Time, from model.HostID, s Stamp) { h.voter.hearStamp(now, from, s) }

// SetVoting sets whether this host votes. One that is not counted in the fleet must not, or
// the shares add up to more than the limit.
func (h *Host) SetVoting(voting bool) { h.abstains = !voting }

// Vote returns the vote for this host's heartbeats. A vote for itself is counted.
func (h *Host) Vote(now time.Time) Vote {
	if h.abstains {
		return Vote{}
	}
	v := h.voter.vote(now)
	if v.Issuer == h.self {
		h.electorate.hear(now, h.self, h.self, v)
	}
	return v
}

// HearVote records the vote in the heartbeat of another host.
func (h *Host) HearVote(now time.Time, from model.HostID, v Vote) {
	h.catchUp(now)
	h.electorate.hear(now, h.self, from, v)
}

// own returns the part of a limit that voters pass to this host. After the start of the
// process that part may have been given away by an earlier one, for as long as a gift
// lasts.
func (h *Host) own(now time.Time, a *account) float64 {
	if a.limit.PerSecond > smallLimit && now.Sub(h.startedAt) < giftLifetime {
		return 0
	}
	return h.electorate.share(now)
}

// AdmissionLifetime returns how long an admission may be used after it was asked for.
func (h *Host) AdmissionLifetime() time.Duration { return h.rule.admissionLifetime() }

// Share returns the part of all limits that voters pass to this host.
func (h *Host) Share(now time.Time) float64 { return h.electorate.share(now) }

// catchUp updates the rates before anything else if the host was frozen: the tokens of that
// time were not this host's.
func (h *Host) catchUp(now time.Time) {
	if now.Sub(h.tickedAt) > maxTickGap {
		h.Tick(now)
	}
}

// Voted reports whether other hosts vote for this one, or this one does.
func (h *Host) Voted() bool { return len(h.electorate.expires) > 0 || h.voter.preferred == h.self }

// Status describes this host's part in the limits.
type Status struct {
	// Share is the part of all limits that voters pass to this host.
	Share float64
	// Granted is the number of workspaces of which a coordinator has granted this host
	// more, Given the number of those of which it has given some away.
	Granted, Given int
	// LeaseAge is the time since the last lease of the coordinator that was silent for
	// longest, of those that this host reports to.
	LeaseAge time.Duration
}

// Status returns this host's part in the limits.
func (h *Host) Status(now time.Time) Status {
	s := Status{Share: h.Share(now)}
	for k, a := range h.accounts {
		if a.granted(now) > 0 {
			s.Granted++
		}
		if a.given(now) > 0 {
			s.Given++
		}
		if now.Before(a.wantsUntil) || now.Before(a.reportUntil) {
			if last, ok := h.leases[h.peers[h.coordinators[k]]]; ok {
				s.LeaseAge = max(s.LeaseAge, now.Sub(last.at))
			}
		}
	}
	return s
}

// Tick updates the rates of all workspaces. It is to be called every TickInterval.
func (h *Host) Tick(now time.Time) {
	h.tickedAt = now
	h.Vote(now)
	h.electorate.removeExpired(now)
	for _, a := range h.accounts {
		a.refresh(now, h.own(now, a))
	}
	maps.DeleteFunc(h.denied, func(_ deniedAt, until time.Time) bool { return !now.Before(until) })
}

// Issue replies to an ask, of this host or another one. Without a limit in this host's
// configuration everything is admitted: the configuration that is in force at the host
// that asks is newer or older.
func (h *Host) Issue(now time.Time, q Ask) Answer {
	a := h.accounts[q.Workspace]
	if a == nil {
		return Answer{Granted: q.Need}
	}
	h.catchUp(now)
	a.refresh(now, h.own(now, a))
	return a.issue(now, q)
}

// Solicited records that a coordinator asked for reports.
func (h *Host) Solicited(now time.Time, k Key) {
	if a := h.accounts[k]; a != nil {
		a.reportUntil = now.Add(continueTime)
	}
}

// Reports returns the reports that are due, by the data centre of the coordinator. An
// issuer without voters has nothing to report.
func (h *Host) Reports(now time.Time) map[model.DataCentre]Report {
	if h.electorate.share(now) == 0 {
		return nil
	}
	due := map[model.DataCentre][]Key{}
	fast := map[model.DataCentre]bool{}
	for k, a := range h.accounts {
		if a.reporting(now, h.own(now, a)) {
			dc := h.coordinators[k]
			due[dc] = append(due[dc], k)
			fast[dc] = fast[dc] || now.Sub(a.reportingSince) < fastReportTime
		}
	}
	reports := map[model.DataCentre]Report{}
	for dc, keys := range due {
		age := now.Sub(h.reportedAt[dc])
		if age < fastReportInterval || (age < reportInterval && !fast[dc]) {
			continue
		}
		h.reportedAt[dc] = now
		to := h.peers[dc]
		r := Report{Stamp: stampOf(now), Coordinator: to, Echo: h.leases[to].stamp}
		for _, k := range keys {
			r.Entries = append(r.Entries, h.report(now, k))
		}
		reports[dc] = r
	}
	return reports
}

// report returns the entry of one workspace and records its gift.
func (h *Host) report(now time.Time, k Key) ReportEntry {
	a := h.accounts[k]
	own := h.own(now, a)
	// Only votes that outlast a gift can back it.
	lasting := min(own, h.electorate.share(now.Add(giftLifetime)))
	to := h.peers[h.coordinators[k]]
	a.changeCoordinator(now, to)
	a.gifts.prune(now, 0)
	e := ReportEntry{Workspace: k, Own: own, Wants: now.Before(a.wantsUntil), Seen: a.grant.stamp}
	if a.limit.PerSecond > 0 {
		e.Demand = a.demand.value(now) / a.limit.PerSecond
	}
	until := h.leases[to].at.Add(giftLifetime)
	if !now.Before(until) {
		return e
	}
	former := 0.0
	if now.Before(a.formerGifts.until) {
		former = a.formerGifts.part
	}
	if e.Gift = min(a.wish, lasting-former); e.Gift <= 0 {
		e.Gift = 0
		return e
	}
	a.gifts = append(a.gifts, transfer{part: e.Gift, stamp: stampOf(now), until: until})
	a.refresh(now, own)
	return e
}

// HandleReport replies to the report of an issuer. After the start of the process, grants
// of an earlier one may be in use: until they have ended, no gift is counted or confirmed.
func (h *Host) HandleReport(now time.Time, from model.HostID, dc model.DataCentre, r Report) Lease {
	if now.Sub(h.startedAt) < grantLifetime {
		return Lease{Stamp: stampOf(now), Echo: r.Stamp}
	}
	return h.coordinator.handle(now, h.self, from, dc, r, func(k Key) float64 {
		if a := h.accounts[k]; a != nil {
			return minTokens / a.capacity
		}
		return 0
	})
}

// minTokens is the least capacity of the bucket of an issuer that passes rate on.
const minTokens = 1.2

// Solicit returns the workspaces for which each data centre's issuer is to be asked for
// reports.
func (h *Host) Solicit(now time.Time) map[model.DataCentre][]Key {
	return h.coordinator.solicit(now, h.dcs)
}

// HandleLease applies the lease of a coordinator in a data centre.
func (h *Host) HandleLease(now time.Time, from model.HostID, dc model.DataCentre, l Lease) {
	last := h.leases[from]
	if l.Stamp < last.stamp && now.Sub(last.at) < clientLifetime {
		return // A late lease.
	}
	h.leases[from] = heard{l.Stamp, now}
	h.peers[dc] = from
	for _, e := range l.Entries {
		a := h.accounts[e.Workspace]
		if a == nil || h.coordinators[e.Workspace] != dc {
			continue
		}
		a.changeCoordinator(now, from)
		for i := range a.gifts {
			if a.gifts[i].stamp <= l.Echo {
				a.gifts[i].part = min(a.gifts[i].part, e.Held)
			}
		}
		a.wish = e.Wish
		a.grant = transfer{part: e.Grant, stamp: l.Stamp, until: l.Echo.expiry(now, grantLifetime)}
		if e.Continue {
			a.reportUntil = now.Add(continueTime)
		}
		a.refresh(now, h.own(now, a))
	}
}
