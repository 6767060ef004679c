package quota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func limit(perSecond float64) Limit { return Limit{PerSecond: perSecond, Burst: perSecond} }

const usual = 1 / 1.6

// Guards against requests below the limit that are refused, and against more than the rule
// allows, for any number of hosts and any spread of the demand.
func TestLimitWithoutFailures(t *testing.T) {
	for _, hosts := range []int{20, 131, 218, 442} {
		for _, rate := range []float64{1, 5, 300} {
			for _, spread := range []string{"even", "one host"} {
				t.Run(fmt.Sprint(hosts, "/", rate, "/", spread), func(t *testing.T) {
					g := NewWithT(t)
					f := newFleet(hosts, limit(rate), 1)
					f.loss = 0.025
					pick := f.anyHost
					if spread == "one host" {
						pick = func() *node { return f.nodes[len(f.nodes)-1] }
					}
					f.run(15 * time.Second)
					f.load(usual*rate, 30*time.Second, pick)
					t.Logf("usual: asked %d, refused %d, asks %d (remote %d), messages/s between data centres %.1f, regions %.1f",
						f.asked, f.refused, f.asks, f.remoteAsks, float64(f.reports)/30, float64(f.crossing)/30)
					g.Expect(float64(f.refused)).To(BeNumerically("<=", 0.02*float64(f.asked)+1))
					f.reset()
					f.load(8*usual*rate, 15*time.Second, pick)
					t.Logf("eightfold: asked %d, admitted %.2f of the limit, most in a window %d of %.0f, asks %d (remote %d)",
						f.asked, float64(len(f.ran))/(15*rate), f.most(began), rule.Bound(limit(rate)), f.asks, f.remoteAsks)
					g.Expect(float64(f.most(began))).To(BeNumerically("<=", rule.Bound(limit(rate))))
					g.Expect(float64(len(f.ran))).To(BeNumerically(">=", 0.9*15*rate))
				})
			}
		}
	}
}

// Guards against more than the rule allows while hosts are cut off, frozen and restarted
// in any combination, each of them asked for far more than the limit.
func TestLimitHoldsInEveryCombination(t *testing.T) {
	for seed := range uint64(8) {
		for _, rate := range []float64{1, 5, 100} {
			g := NewWithT(t)
			f := newFleet(36, limit(rate), seed)
			f.loss = 0.025
			hot := 0 // The data centre that has most of the demand.
			var disturb func()
			disturb = func() {
				hot = f.random.IntN(len(dcs))
				groups := []int{1, 1, 1, 2, 4, len(f.nodes)}[f.random.IntN(6)]
				byDC := f.random.IntN(2) == 0
				for i, n := range f.nodes {
					n.group = f.random.IntN(groups)
					if byDC && groups <= 4 {
						n.group = i % len(dcs) % groups
					}
					switch f.random.IntN(20) {
					case 0:
						n.frozen = !n.frozen
					case 1:
						n.down = true
						f.after(time.Duration(f.random.Int64N(int64(3*time.Second))), func() { f.start(n) })
					}
				}
				f.after(time.Duration(f.random.Int64N(int64(5*time.Second))), disturb)
			}
			f.after(8*time.Second, disturb)
			f.every(50*time.Millisecond, func() { g.Expect(f.parts()).To(BeNumerically("<=", 1.000001), "seed %d", seed) })
			f.load(8*rate, 60*time.Second, func() *node {
				if f.random.IntN(40) == 0 {
					return f.anyHost()
				}
				return f.byDC[dcs[hot]][f.random.IntN(9)]
			})
			g.Expect(float64(f.most(began))).To(BeNumerically("<=", rule.Bound(limit(rate))), "seed %d, %v/s", seed, rate)
			if seed < 3 {
				t.Logf("seed %d, %v/s: admitted %.2f of the limit, most %d of %.0f", seed, rate, float64(len(f.ran))/(60*rate), f.most(began), rule.Bound(limit(rate)))
			}
		}
	}
}

// Guards against requests below the limit that are refused during and after a failure, and
// against more than the rule allows then.
func TestFailures(t *testing.T) {
	cut := func(group func(i int) int) func(*fleet) {
		return func(f *fleet) {
			for i, n := range f.nodes {
				n.group = group(i)
			}
			f.after(12*time.Second, func() {
				for _, n := range f.nodes {
					n.group = 0
				}
			})
		}
	}
	restart := func(f *fleet, n *node, down time.Duration) {
		n.down = true
		f.after(down, func() { f.start(n) })
	}
	for _, c := range []struct {
		name string
		fail func(*fleet)
		// refused is the largest part of the usual demand of a limit of 5/s and of 300/s
		// that may be refused. That of 5/s also counts for 1/s.
		small, large float64
		// factor is the factor by which the limit is changed, if it is.
		factor float64
	}{
		{"third cut off together", cut(func(i int) int { return max(0, i/4%3-1) }), 0.1, 0.05, 1},
		{"third cut off one by one", cut(func(i int) int { return i * max(0, i/4%3-1) }), 0.25, 0.1, 1},
		{"regions cut off", cut(func(i int) int { return i % 4 / 2 }), 0.05, 0.02, 1},
		{"one issuer killed", func(f *fleet) { restart(f, f.byDC[dcs[0]][0], 5*time.Second) }, 0.05, 0.02, 1},
		{"issuers killed", func(f *fleet) {
			for _, dc := range dcs {
				restart(f, f.byDC[dc][0], 5*time.Second)
			}
		}, 0.2, 0.15, 1},
		{"one issuer frozen", func(f *fleet) {
			n := f.byDC[dcs[0]][0]
			n.frozen = true
			f.after(3*time.Second, func() { n.frozen = false })
		}, 0.05, 0.05, 1},
		{"55% restarted", func(f *fleet) {
			for i, n := range f.nodes {
				if i%100 < 55 {
					restart(f, n, time.Second)
				}
			}
		}, 0.15, 0.15, 1},
		{"all restarted", func(f *fleet) {
			for _, n := range f.nodes {
				restart(f, n, time.Second)
			}
		}, 0.15, 0.15, 1},
		{"limit lowered", func(f *fleet) { f.scaleLimit(0.8) }, 0.05, 0.02, 0.8},
		{"limit raised", func(f *fleet) { f.scaleLimit(2) }, 0.05, 0.02, 2},
	} {
		for _, rate := range []float64{1, 5, 300} {
			t.Run(fmt.Sprint(c.name, "/", rate), func(t *testing.T) {
				g := NewWithT(t)
				bound := rule.Bound(limit(rate * max(1, c.factor)))
				allowed := c.large
				if rate < 300 {
					allowed = c.small
				}
				for _, demand := range []float64{usual, 8 * usual} {
					f := newFleet(131, limit(rate), 1)
					f.loss = 0.025
					f.run(15 * time.Second)
					f.after(5*time.Second, func() { c.fail(f) })
					f.load(demand*rate, 25*time.Second, f.anyHost)
					t.Logf("demand %.3f: asked %d, refused %.3f, admitted %.2f of the limit, most in a window %d of %.0f",
						demand, f.asked, float64(f.refused)/float64(f.asked), float64(len(f.ran))/(25*rate), f.most(began), bound)
					if demand == usual {
						g.Expect(float64(f.refused)).To(BeNumerically("<=", allowed*float64(f.asked)))
					}
					g.Expect(float64(f.most(began))).To(BeNumerically("<=", bound))
					changed := began.Add(15*time.Second + 5*time.Second + time.Second)
					g.Expect(float64(f.most(changed))).To(BeNumerically("<=", rule.Bound(limit(rate*c.factor))))
				}
			})
		}
	}
}

// issuerOf returns a host that issues the whole limit of a workspace alone.
func issuerOf(l Limit) *Host {
	h := NewHost(began, "h", "a1", regions, rule)
	h.SetFleet(1)
	h.Prefer("h")
	h.SetLimits(began, map[string]Limit{"w": l})
	return h
}

// Guards against a host that wakes and uses the tokens of the time in which it was
// frozen, although its share was another's, and against a restarted host with a full burst.
func TestNobodyStartsWithABurst(t *testing.T) {
	g := NewWithT(t)
	h, now := issuerOf(limit(100)), began.Add(voteLifetime)
	h.Tick(now)
	g.Expect(h.Issue(now, Ask{Workspace: KeyOf("w"), Need: 50}).Granted).To(Equal(1))
	h.SetFleet(2)
	for range 100 {
		now = now.Add(TickInterval)
		h.HearVote(now, "other", Vote{Issuer: "h", Echo: h.Stamp(now)})
		h.Tick(now)
	}
	now = now.Add(10 * time.Second)
	h.HearVote(now, "other", Vote{Issuer: "h", Echo: h.Stamp(now)})
	h.Tick(now)
	most := 0.5 * (100 + burstSlackShare*rule.Slack)
	g.Expect(float64(h.Issue(now, Ask{Workspace: KeyOf("w"), Need: 500}).Granted)).To(BeNumerically("<=", most))
}

// Guards against a restarted issuer that uses what its earlier process gave away, and against
// a restarted coordinator that grants a gift which its earlier process granted to another.
func TestRestartedHostWaitsForEarlierTransfers(t *testing.T) {
	g := NewWithT(t)
	h, now, k := issuerOf(limit(100)), began.Add(TickInterval), KeyOf("w")
	h.EarlierVote("h")
	h.Tick(now)
	g.Expect(h.Issue(now, Ask{Workspace: k, Need: 1})).To(And(HaveField("Granted", 0), HaveField("Starting", true)))
	report := Report{Stamp: h.Stamp(now), Coordinator: "h", Echo: h.Stamp(now), Entries: []ReportEntry{{Workspace: k, Gift: 0.5}}}
	g.Expect(h.HandleReport(now, "other", "a2", report).Entries).To(BeEmpty())
	now = began.Add(giftLifetime)
	h.Tick(now)
	g.Expect(h.Issue(now, Ask{Workspace: k, Need: 1}).Granted).To(Equal(1))
	report.Stamp, report.Echo = h.Stamp(now), h.Stamp(now)
	g.Expect(h.HandleReport(now, "other", "a2", report).Entries).To(HaveLen(1))
}

// Guards against refused callers that are told the same time, or an earlier one than
// those refused before them, and against a wait without end.
func TestWaitsFollowTheOrderOfRefusals(t *testing.T) {
	g := NewWithT(t)
	h, now := issuerOf(limit(10)), began.Add(voteLifetime)
	h.Tick(now)
	last := time.Duration(0)
	for range 500 {
		r := h.Issue(now, Ask{Workspace: KeyOf("w"), Need: 2})
		if r.Granted > 0 {
			continue
		}
		g.Expect(r.Wait).To(Or(BeNumerically(">=", last), Equal(maxWait)))
		g.Expect(r.Spacing).To(Equal(100 * time.Millisecond))
		last = min(r.Wait+2*r.Spacing, maxWait)
	}
	g.Expect(last).To(Equal(maxWait))
}

// Guards against an admission that is used after it expired, and against one that is given
// back and lost.
func TestAdmissionsExpire(t *testing.T) {
	g := NewWithT(t)
	s, k := NewStore(), KeyOf("w")
	s.Arrive(began, k)
	s.Add(began, k, 2, began.Add(time.Second))
	expires, ok := s.Take(began, k)
	g.Expect(ok).To(BeTrue())
	s.Add(began, k, 1, expires)
	for range 2 {
		_, ok = s.Take(began.Add(999*time.Millisecond), k)
		g.Expect(ok).To(BeTrue())
	}
	s.Add(began, k, 1, expires)
	_, ok = s.Take(expires, k)
	g.Expect(ok).To(BeFalse())
	s.Arrive(began.Add(idleStore), KeyOf("other"))
	s.Arrive(began.Add(2*idleStore), KeyOf("other"))
	g.Expect(s.Len()).To(Equal(1))
}
