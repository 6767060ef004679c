package quota

import (
	"math"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ratelimit"
)

const (
	// wantTime is how long an issuer reports after its tokens fell below half, and
	// continueTime how long after the coordinator asked it to.
	wantTime     = 3 * time.Second
	continueTime = 1500 * time.Millisecond
	// wantShare times its demand is the rate below which an issuer with few tokens wants
	// more.
	wantShare = 1.1
	// demandPeriod is the period over which demand is averaged, or that of demandEvents
	// at the limit if that is longer: a few requests of a small workspace show no trend.
	demandPeriod = time.Second
	demandEvents = 20
	// maxWait bounds the wait that refused callers are told.
	maxWait = 30 * time.Second
	// startTime is how long an issuer counts as starting after it got its first rate. It
	// lets the requests pass that were held before.
	startTime = 2500 * time.Millisecond
	// noRateWait is the wait that callers are told by an issuer without any rate.
	noRateWait = time.Second
)

// Ask is a request for admissions.
type Ask struct {
	Workspace Key
	// Need is the number of requests that wait, Extra the number of further
	// admissions that are expected to be used before they expire.
	Need, Extra int
}

// Answer is the reply to an Ask.
type Answer struct {
	// Granted is the number of admissions issued.
	Granted int
	// Wait is when there is room for the first request that got no admission, and
	// Spacing the time between it and each further one.
	Wait, Spacing time.Duration
	// Starting is set if the issuer has no rate or has just got some, so that it
	// refuses requests below the limit. They should ask again.
	Starting bool
}

// account is what an issuer knows of one workspace.
type account struct {
	limit    Limit
	capacity float64
	bucket   ratelimit.Bucket
	// part is the part of the limit that the bucket's rate was set from.
	part float64
	// startedAt is when the bucket got its first rate, and startTokens what it may still
	// get of its first token.
	startedAt   time.Time
	startTokens float64
	demand      meter
	// lastSlot is the time that the last refused caller was told.
	lastSlot time.Time
	// gifts are those to coordinator. formerGifts were given to other coordinators.
	coordinator model.HostID
	gifts       transfers
	formerGifts transfer
	grant       transfer
	wish        float64
	// The issuer reports until wantsUntil because it wants more rate, and until
	// reportUntil because another one does. It began to at reportingSince.
	wantsUntil, reportUntil, reportingSince time.Time
}

// reporting reports whether the issuer reports to the coordinator. It goes on as long as
// it needs what it was granted.
func (a *account) reporting(now time.Time, own float64) bool {
	if a.granted(now) > 0 && wantShare*a.demand.value(now) > own*a.limit.PerSecond {
		a.wantsUntil = now.Add(wantTime)
	}
	if !now.Before(a.wantsUntil) && !now.Before(a.reportUntil) {
		a.reportingSince, a.grant = time.Time{}, transfer{}
		return false
	}
	if a.reportingSince.IsZero() {
		a.reportingSince = now
	}
	return true
}

// given returns the part that coordinators may hold.
func (a *account) given(now time.Time) float64 {
	part := a.gifts.most(now)
	if now.Before(a.formerGifts.until) {
		part += a.formerGifts.part
	}
	return part
}

// granted returns the part that the coordinator has granted.
func (a *account) granted(now time.Time) float64 {
	if !now.Before(a.grant.until) {
		return 0
	}
	return a.grant.part
}

// changeCoordinator keeps the gifts to the coordinator before apart, because another one
// does not know about them.
func (a *account) changeCoordinator(now time.Time, to model.HostID) {
	if a.coordinator == to {
		return
	}
	a.formerGifts.part = a.given(now)
	if last := a.gifts.last(); last.After(a.formerGifts.until) {
		a.formerGifts.until = last
	}
	a.coordinator, a.gifts, a.grant, a.wish = to, nil, transfer{}, 0
}

// usable returns the part of the limit that this host may issue. own is what voters pass
// to it.
func (a *account) usable(now time.Time, own float64) float64 {
	return max(0, own-a.given(now)) + a.granted(now)
}

// refresh sets the rate of the bucket.
func (a *account) refresh(now time.Time, own float64) {
	part := a.usable(now, own)
	if part == a.part {
		return
	}
	capacity := part * a.capacity
	room := capacity - a.part*a.capacity
	a.part = part
	a.bucket.SetRate(now, part*a.limit.PerSecond, capacity)
	if a.startedAt.IsZero() {
		// A new issuer has one token, because that of a small limit may be replaced
		// before it has earned one. Its capacity grows while votes arrive.
		a.startedAt, a.startTokens = now, 1
		a.bucket = ratelimit.NewBucket(now, part*a.limit.PerSecond, capacity, 0)
	}
	if now.Sub(a.startedAt) >= startTime {
		a.startTokens = 0
	}
	if tokens := min(a.startTokens, room); tokens > 0 {
		a.startTokens -= tokens
		a.bucket.Add(now, tokens)
	}
}

// setLimit changes the limit.
func (a *account) setLimit(now time.Time, l Limit, capacity float64) {
	if a.limit == l && a.capacity == capacity {
		return
	}
	a.limit, a.capacity = l, capacity
	a.demand.period = max(demandPeriod.Seconds(), demandEvents/max(l.PerSecond, 1e-3))
	a.bucket.SetRate(now, a.part*l.PerSecond, a.part*capacity)
}

// issue takes the admissions for an ask from the bucket.
func (a *account) issue(now time.Time, q Ask) (r Answer) {
	tokens := a.bucket.Tokens(now)
	r.Granted = min(q.Need, tokens)
	if r.Granted == q.Need {
		// Admissions in advance come from the upper half only: they may expire unused.
		half := int(a.part * a.capacity / 2)
		r.Granted += max(0, min(q.Extra, tokens-q.Need-half))
	}
	for range r.Granted {
		a.bucket.Take(now)
	}
	a.demand.add(now, float64(max(q.Need, r.Granted)))
	if a.limit.PerSecond > smallLimit && float64(tokens-r.Granted) < a.part*a.capacity/2 &&
		wantShare*a.demand.value(now) > a.part*a.limit.PerSecond {
		a.wantsUntil = now.Add(wantTime)
	}
	if refused := q.Need - r.Granted; refused > 0 {
		r.Wait, r.Spacing = a.assignSlots(now, refused)
		r.Starting = a.part == 0 || now.Sub(a.startedAt) < startTime
	}
	return r
}

// assignSlots returns when there is room for the first of refused requests, and the time
// between them. Callers that were refused earlier were told earlier times.
func (a *account) assignSlots(now time.Time, refused int) (wait, spacing time.Duration) {
	rate := a.part * a.limit.PerSecond
	if rate <= 0 {
		return noRateWait, 0
	}
	spacing = time.Duration(float64(time.Second) / rate)
	slot := now.Add(a.bucket.Wait(now))
	if next := a.lastSlot.Add(spacing); next.After(slot) {
		slot = next
	}
	slot = earlier(slot, now.Add(maxWait))
	a.lastSlot = earlier(slot.Add(time.Duration(refused-1)*spacing), now.Add(maxWait))
	return slot.Sub(now), spacing
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// meter estimates a rate, in events per second.
type meter struct {
	// period is the number of seconds over which events are averaged.
	period float64
	rate   float64
	at     time.Time
}

func (m *meter) value(now time.Time) float64 {
	return m.rate * math.Exp(-max(0, now.Sub(m.at)).Seconds()/m.period)
}

func (m *meter) add(now time.Time, events float64) {
	m.rate, m.at = m.value(now)+events/m.period, now
}
