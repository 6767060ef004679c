package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a workspace in messages. It is the hash of its name.
type Key uint64

// KeyOf returns the key of a workspace.
func KeyOf(workspace string) Key { return Key(xxhash.Sum64String(workspace)) }

// Limit is the limit of a workspace over all hosts.
type Limit struct {
	// PerSecond is the sustained rate, in requests per second, and Burst the number of
	// requests that may come at once.
	PerSecond, Burst float64
}

// Rule bounds the requests that run in every window: (limit x Window + burst) x (1 +
// Overage) + Slack.
type Rule struct {
	Window         time.Duration
	Overage, Slack float64
}

const (
	// voteLifetime, giftLifetime and grantLifetime end what a host holds for another.
	// Each exceeds the next, because it must outlast what is passed on of it, by a
	// round trip between regions and the interval between messages.
	voteLifetime  = 2000 * time.Millisecond
	giftLifetime  = 1400 * time.Millisecond
	grantLifetime = 700 * time.Millisecond
	// reportInterval is the time between reports of an issuer to a coordinator. When
	// the demand for a workspace has just grown, for fastReportTime, it is
	// fastReportInterval: the first exchanges settle which issuer has rate to give.
	reportInterval     = 300 * time.Millisecond
	fastReportInterval = 100 * time.Millisecond
	fastReportTime     = 500 * time.Millisecond
	// smallLimit is the rate, in requests per second, up to which issuers exchange no
	// rate: with a few tokens each they would lose more by it than they gain. Hosts ask
	// the issuers of all data centres instead, which is seldom enough.
	smallLimit = 10
	// minAdmissionLifetime and maxAdmissionLifetime bound the lifetime of admissions. It
	// must exceed the time in which an issuer replies.
	minAdmissionLifetime = 100 * time.Millisecond
	maxAdmissionLifetime = 300 * time.Millisecond
	// admissionShare is the part of the overage of a window that is spent on admissions
	// issued before the window and used in it.
	admissionShare = 0.6
	// burstSlackShare is the part of the rule's slack that is added to the burst. The
	// buckets of the data centres cannot lend each other tokens, and those of a small
	// limit would be empty too often. At least startSlackShare of the slack is left for
	// the tokens that new issuers start with.
	burstSlackShare = 0.6
	startSlackShare = 0.2
)

// admissionLifetime returns how long an admission may be used after it was asked for.
// Until then it may be used in a window after the one that it was issued in.
func (r Rule) admissionLifetime() time.Duration {
	lifetime := time.Duration(admissionShare * r.Overage * float64(r.Window))
	return min(max(minAdmissionLifetime, lifetime), maxAdmissionLifetime)
}

// capacity returns the number of tokens that the buckets of a workspace hold together. It
// is lower than the burst if the rule leaves no room for admissions of before the window.
func (r Rule) capacity(l Limit) float64 {
	room := r.Bound(l) - l.PerSecond*(r.Window+r.admissionLifetime()).Seconds() - startSlackShare*r.Slack
	return max(1, min(l.Burst+burstSlackShare*r.Slack, room))
}

// Bound returns the number of requests that the rule allows in a window.
func (r Rule) Bound(l Limit) float64 {
	return (l.PerSecond*r.Window.Seconds()+l.Burst)*(1+r.Overage) + r.Slack
}

// Stamp is a time of the clock of the host that made it, in milliseconds. Zero is none.
type Stamp uint64

func stampOf(now time.Time) Stamp { return Stamp(now.UnixMilli()) }

// expiry returns when something that was received with a returned stamp ends; the zero
// time if this host's clock cannot have made the stamp.
func (s Stamp) expiry(now time.Time, lifetime time.Duration) time.Time {
	made := time.UnixMilli(int64(s))
	if s == 0 || made.After(now) {
		return time.Time{}
	}
	return made.Add(lifetime)
}
