package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
)

// Guards against an issuer that restarts at once and uses rate that its earlier process
// gave away, and against a coordinator that grants again what its earlier process granted.
func TestRestartedHostDoesNotUseWhatItPassedOn(t *testing.T) {
	for hot, busy := range dcs {
		for restarted := range dcs {
			g := NewWithT(t)
			f := newFleet(20, limit(100), 1)
			f.after(20*time.Second, func() {
				n := f.byDC[dcs[restarted]][0]
				n.down = true
				f.after(100*time.Millisecond, func() { f.start(n) })
				f.every(TickInterval, func() {
					g.Expect(f.parts()).To(BeNumerically("<=", 1.000001), "hot %d, restarted %d, %v later", hot, restarted, f.now.Sub(began))
				})
			})
			f.load(300, 24*time.Second, func() *node { return f.byDC[busy][f.random.IntN(5)] })
		}
	}
}

// Guards against a coordinator that restarts at once and grants a gift to one issuer that
// its earlier process granted to another.
func TestRestartedCoordinatorGrantsNothingAtOnce(t *testing.T) {
	g := NewWithT(t)
	k := KeyOf("w")
	report := func(h *Host, now time.Time, from model.HostID, echo Stamp, e ReportEntry) float64 {
		e.Workspace, e.Own = k, 0.25
		l := h.HandleReport(now, from, model.DataCentre(from), Report{Stamp: stampOf(now), Coordinator: "h", Echo: echo, Entries: []ReportEntry{e}})
		if len(l.Entries) == 0 {
			return 0 // no reply
		}
		return l.Entries[0].Grant
	}
	now := began.Add(time.Minute)
	h, gift := issuerOf(limit(100)), ReportEntry{Gift: 0.2}
	report(h, now, "b1", stampOf(now), gift)
	g.Expect(report(h, now, "a2", 0, ReportEntry{Demand: 1, Wants: true})).To(BeNumerically("~", 0.2))
	now = now.Add(100 * time.Millisecond)
	restarted := NewHost(now, "h", "a1", regions, rule)
	restarted.SetLimits(now, map[string]Limit{"w": limit(100)})
	for range 8 {
		report(restarted, now, "b1", stampOf(now), gift)
		granted := report(restarted, now, "b2", 0, ReportEntry{Demand: 1, Wants: true})
		g.Expect(granted > 0).To(Equal(now.Sub(began) >= time.Minute+100*time.Millisecond+grantLifetime))
		now = now.Add(100 * time.Millisecond)
	}
}

// Guards against a new issuer that refuses the first request of a small workspace for
// seconds, because its first votes arrive one by one, and against one that starts with more
// than one token.
func TestNewIssuerHasOneToken(t *testing.T) {
	g := NewWithT(t)
	h, now := issuerOf(limit(1)), began.Add(voteLifetime)
	h.SetFleet(40)
	for _, voter := range []model.HostID{"h", "v1", "v2", "v3", "v4", "v5", "v6", "v7"} {
		h.HearVote(now, voter, Vote{Issuer: "h", Echo: h.Stamp(now)})
		h.Tick(now)
	}
	g.Expect(h.Issue(now, Ask{Workspace: KeyOf("w"), Need: 2}).Granted).To(Equal(1))
	g.Expect(h.Issue(now.Add(time.Second), Ask{Workspace: KeyOf("w"), Need: 1}).Granted).To(BeZero())
}
