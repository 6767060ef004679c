package outage

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against entries that are dropped after a real outage, and against ones that
// are retained by a daemon that only was isolated, suspended or refused.
func TestGraceFollowsOutagesOnly(t *testing.T) {
	const never = time.Hour
	for _, c := range []struct {
		name    string
		peerAge time.Duration // of the heartbeats during the gap; never: no heartbeats
		gap     time.Duration
		single  bool
		grace   bool
	}{
		{"outage", 1500 * time.Millisecond, 5 * time.Second, false, true},
		{"short gap", 1500 * time.Millisecond, 1900 * time.Millisecond, false, false},
		{"refused", 300 * time.Millisecond, 5 * time.Second, false, false},
		{"isolated", never, 4 * time.Second, false, false},
		{"only daemon", never, 4 * time.Second, true, true},
	} {
		g := NewWithT(t)
		var tracker Tracker
		began := time.Unix(1000, 0)
		tracker.Confirmed(began)
		if !c.single {
			tracker.ObservePeer(began, 100*time.Millisecond, time.Second, true)
		}
		if c.peerAge != never {
			tracker.ObservePeer(began.Add(c.gap-100*time.Millisecond), c.peerAge, 0, true)
		}
		end := began.Add(c.gap)
		tracker.Confirmed(end)
		_, grace := tracker.GraceEnd(end)
		g.Expect(grace).To(Equal(c.grace), c.name)
		_, grace = tracker.GraceEnd(end.Add(Grace))
		g.Expect(grace).To(BeFalse(), c.name)
	}
}

// Guards against the knowledge that there was no outage being lost on its way to daemons
// that hear an island's members only: it is passed on by those who have it.
func TestServedIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var relay, other Tracker
	for _, tracker := range []*Tracker{&relay, &other} {
		tracker.Confirmed(now)
		tracker.ObservePeer(now.Add(4*time.Second), 4*time.Second, 0, true)
		tracker.Confirmed(now.Add(5 * time.Second))
	}
	now = now.Add(5 * time.Second)
	g.Expect(relay.Served(now)).To(BeZero())
	relay.ObservePeer(now, 100*time.Millisecond, 30*time.Second, false)
	g.Expect(relay.Served(now)).To(Equal(30 * time.Second))
	other.ObservePeer(now, 0, relay.Served(now), true)
	_, grace := other.GraceEnd(now)
	g.Expect(grace).To(BeFalse())
	g.Expect(other.Served(now.Add(Min))).To(BeZero())
}
