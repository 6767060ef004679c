package quota

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Vote passes a host's share of all limits to an issuer. The zero value is no vote.
type Vote struct {
	Issuer model.HostID
	// Echo is the last stamp that the host received from the issuer.
	Echo Stamp
}

// voter decides which issuer a host votes for.
type voter struct {
	self model.HostID
	// preferred is the issuer that the host votes for, once it may.
	preferred model.HostID
	// bound is the issuer that holds the host's last vote, at the latest until
	// boundUntil.
	bound      model.HostID
	boundUntil time.Time
	// stamp was received from the preferred issuer at stampAt.
	stamp   Stamp
	stampAt time.Time
}

// newVoter returns the voter of a host that has just started. Whoever had its vote before
// may hold it for voteLifetime.
func newVoter(now time.Time, self model.HostID) voter {
	return voter{self: self, boundUntil: now.Add(voteLifetime)}
}

// earlierVote records that a vote of an earlier process of the host can only be with an
// issuer. It has no effect once this process has voted.
func (v *voter) earlierVote(issuer model.HostID) {
	if v.bound == "" {
		v.bound = issuer
	}
}

func (v *voter) prefer(issuer model.HostID) {
	if issuer != v.preferred {
		v.preferred, v.stamp = issuer, 0
	}
}

func (v *voter) hearStamp(now time.Time, from model.HostID, s Stamp) {
	if from == v.preferred {
		v.stamp, v.stampAt = s, now
	}
}

// vote returns the vote to send. There is none while another issuer may hold the last.
func (v *voter) vote(now time.Time) Vote {
	if v.preferred == "" || (v.bound != v.preferred && now.Before(v.boundUntil)) {
		return Vote{}
	}
	if v.preferred == v.self {
		v.stamp, v.stampAt = stampOf(now), now
	}
	until := v.stampAt.Add(voteLifetime)
	if v.stamp == 0 || !now.Before(until) {
		return Vote{}
	}
	v.bound = v.preferred
	if until.After(v.boundUntil) {
		v.boundUntil = until
	}
	return Vote{Issuer: v.preferred, Echo: v.stamp}
}

// issuer returns the issuer to ask for admissions: the one that holds the host's vote, or
// is to get it next.
func (v *voter) issuer(now time.Time) model.HostID {
	if v.bound != "" && now.Before(v.boundUntil) {
		return v.bound
	}
	return v.preferred
}

// electorate holds the votes for an issuer.
type electorate struct {
	expires map[model.HostID]time.Time
	// fleet is the number of hosts of the fleet; zero: not known.
	fleet int
}

// hear records a vote if it is for this host.
func (e *electorate) hear(now time.Time, self, from model.HostID, v Vote) {
	until := v.Echo.expiry(now, voteLifetime)
	if v.Issuer == self && now.Before(until) && until.After(e.expires[from]) {
		e.expires[from] = until
	}
}

// share returns the part of each limit that voters pass to this host until a time.
func (e *electorate) share(until time.Time) float64 {
	if e.fleet == 0 {
		return 0
	}
	voters := 0
	for _, expiry := range e.expires {
		if until.Before(expiry) {
			voters++
		}
	}
	return min(1, float64(voters)/float64(e.fleet))
}

func (e *electorate) removeExpired(now time.Time) {
	for host, expiry := range e.expires {
		if !now.Before(expiry) {
			delete(e.expires, host)
		}
	}
}
