package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
)

// Guards against a one-way cut that takes a healthy host out of the ranking:
// only the host that cannot reach it notes the broken link.
func TestOneWayCut(t *testing.T) {
	g := NewWithT(t)
	s := newSim(12, 2, 1)
	s.run(5 * time.Second)
	from := s.order[0]
	to := from.table.currentPeers()[0].ID
	s.cut = func(a, b model.HostID) bool { return a == from.host.ID && b == to }
	s.run(30 * time.Second)
	g.Expect(s.verdicts(time.Time{}, Unreachable)).To(BeZero())
	g.Expect(s.agree(s.running()...)).To(BeTrue())
	g.Expect(from.table.View().Hosts[to].LinkDown).To(BeTrue())
	s.cut = func(_, _ model.HostID) bool { return false }
	s.run(10 * time.Second)
	g.Expect(from.table.View().Hosts[to].LinkDown).To(BeFalse())
}

// Guards against a host that hears nothing from a host which is cut off in one
// direction altogether, and against hosts that the fleet keeps out afterwards.
func TestSilentHostComesBack(t *testing.T) {
	g := NewWithT(t)
	s := newSim(12, 2, 2)
	s.run(5 * time.Second)
	mute := s.order[3].host.ID
	s.cut = func(a, _ model.HostID) bool { return a == mute }
	_, ok := s.until(8*time.Second, func() bool {
		return len(serves(s.order[0])) == 11
	})
	g.Expect(ok).To(BeTrue(), "a host that nobody hears stays in the ranking")
	s.cut = func(_, _ model.HostID) bool { return false }
	_, ok = s.until(10*time.Second, func() bool { return s.agree(s.running()...) })
	g.Expect(ok).To(BeTrue(), "the host does not come back")
}

// Guards against a paused host that stays out after it wakes, or that blames
// all others for its own pause.
func TestPausedHostWakes(t *testing.T) {
	g := NewWithT(t)
	s := newSim(12, 2, 3)
	s.run(5 * time.Second)
	n := s.order[4]
	n.pause()
	_, ok := s.until(8*time.Second, func() bool { return s.agree(s.running(n.host.ID)...) })
	g.Expect(ok).To(BeTrue(), "a paused host stays in the ranking")
	s.run(10 * time.Second)
	woke := s.now
	n.resume()
	_, ok = s.until(5*time.Second, func() bool { return s.agree(s.running()...) })
	g.Expect(ok).To(BeTrue(), "the host does not refute the suspicion")
	s.run(20 * time.Second)
	g.Expect(s.verdicts(woke, Unreachable)).To(BeZero())
}

// Guards against a verdict on waking: a suspect had no chance to refute while
// this process was paused.
func TestNoVerdictAcrossAPause(t *testing.T) {
	g := NewWithT(t)
	s := newSim(4, 1, 11)
	now, table := s.now, s.order[0].table
	_, d := table.Receive(now, Message{
		From:    Update{Host: "host-001", Incarnation: "host-001a", Version: Version{Start: 9}, State: Alive},
		Updates: []Update{{Host: "host-002", State: Suspect}},
	})
	g.Expect(d).To(ContainElement(StateChanged{Host: "host-002", From: Alive, To: Suspect}))
	table.Tick(now.Add(time.Minute))
	g.Expect(table.View().Hosts["host-002"].State).To(Equal(Suspect))
	for i := range 15 { // longer than hearsay takes
		table.Tick(now.Add(time.Minute + time.Duration(i)*time.Second))
	}
	g.Expect(table.View().Hosts["host-002"].State).To(Equal(Unreachable), "the suspicion must end")
}

// Guards against a lagging host list that keeps dead hosts in the ranking or
// brings them back.
func TestHostListNamesDeadHosts(t *testing.T) {
	g := NewWithT(t)
	s := newSim(12, 2, 4)
	dead := []model.HostID{"host-002", "host-005"}
	for _, id := range dead {
		s.nodes[id].up = false
	}
	_, ok := s.until(15*time.Second, func() bool { return s.agree(s.running()...) })
	g.Expect(ok).To(BeTrue())
	for range 60 {
		s.run(time.Second)
		g.Expect(s.agree(s.running()...)).To(BeTrue())
	}
	s.list = append(append([]Listed{}, s.list[:2]...), s.list[6:]...) // without 2 to 5
	s.run(2 * time.Minute)
	for _, id := range dead {
		state := s.order[0].table.View().Hosts[id].State
		g.Expect(state == 0 || state == Gone).To(BeTrue(), "%s is %s", id, state)
	}
	g.Expect(s.agree(s.running()...)).To(BeTrue(), "the list removed hosts that are alive")
	for _, n := range s.order {
		for _, c := range n.changes {
			g.Expect(c.To > Suspect && s.nodes[c.Host].up).To(BeFalse(), "%s saw %s become %s", n.host.ID, c.Host, c.To)
		}
	}
}

// Guards against lost heartbeats that take healthy hosts out: at 20% loss no
// host may be out of any view for long.
func TestLoss(t *testing.T) {
	g := NewWithT(t)
	s := newSim(24, 4, 5)
	s.run(5 * time.Second)
	s.loss = 0.2
	missing := 0
	const samples = 600
	for range samples {
		s.run(200 * time.Millisecond)
		for _, n := range s.nodes {
			missing += len(s.nodes) - len(serves(n))
		}
	}
	// A host that is missing anywhere costs a request one more hop at most; the
	// target is 99.9% of the views complete.
	g.Expect(missing).To(BeNumerically("<", samples*24*24/1000))
}

// Guards against a restarted host that is taken for the dead process, and
// against an old process that displaces its replacement.
func TestRestartWithTheSameID(t *testing.T) {
	g := NewWithT(t)
	s := newSim(12, 2, 6)
	s.run(5 * time.Second)
	old := s.nodes["host-007"]
	old.up = false
	s.run(4 * time.Second)
	g.Expect(s.agree(s.running()...)).To(BeTrue())
	h := old.host
	h.FleetAddress = "10.9.9.9:7002"
	s.start(h, "b")
	_, ok := s.until(5*time.Second, func() bool { return s.agree(s.running()...) })
	g.Expect(ok).To(BeTrue())
	for _, n := range s.nodes {
		x := n.table.View().Hosts["host-007"]
		g.Expect(x.Incarnation).To(Equal(model.Incarnation("host-007b")))
		g.Expect(x.FleetAddress).To(Equal(h.FleetAddress))
	}
	old.up = true // the old process was only paused
	old.resume()
	s.run(20 * time.Second)
	g.Expect(old.super).To(Equal(1))
	for _, n := range s.nodes {
		g.Expect(n.table.View().Hosts["host-007"].Incarnation).To(Equal(model.Incarnation("host-007b")))
	}
}

// Guards against a replacement whose clock is behind: others would ignore it.
func TestRestartWithTheClockBehind(t *testing.T) {
	g := NewWithT(t)
	s := newSim(12, 2, 7)
	s.run(5 * time.Second)
	old := s.nodes["host-003"]
	old.up = false
	s.run(4 * time.Second)
	n := s.start(old.host, "b")
	n.table.self.Start -= uint64(time.Hour.Milliseconds())
	_, ok := s.until(8*time.Second, func() bool { return s.agree(s.running()...) })
	g.Expect(ok).To(BeTrue())
}

// Guards the announcement of a planned stop and the spread of its notes, also
// to a host that joins afterwards.
func TestLeavingAndNotes(t *testing.T) {
	g := NewWithT(t)
	s := newSim(20, 4, 8)
	s.run(5 * time.Second)
	n := s.order[6]
	n.do(func() []Decision { return n.table.Leave(s.now) })
	_, ok := s.until(3*time.Second, func() bool { return s.agree(s.running(n.host.ID)...) })
	g.Expect(ok).To(BeTrue())
	n.do(func() []Decision {
		return n.table.Forward(s.now, []model.Incarnation{"x", "y"}, "host-001", 20*time.Second)
	})
	_, ok = s.until(3*time.Second, func() bool {
		for _, x := range s.nodes {
			if v := x.table.View(); v.Successors["x"] != "host-001" || v.Successors["y"] != "host-001" {
				return false
			}
		}
		return true
	})
	g.Expect(ok).To(BeTrue())
	n.up = false
	s.run(5 * time.Second)
	g.Expect(s.order[0].table.View().Hosts[n.host.ID].State).To(Equal(Gone))
	joined := s.start(Host{ID: "host-new", Info: s.order[0].host.Info}, "a")
	_, ok = s.until(8*time.Second, func() bool { return joined.table.View().Successors["x"] == "host-001" })
	g.Expect(ok).To(BeTrue(), "a new host does not learn the notes")
	s.run(20 * time.Second)
	g.Expect(joined.table.View().Successors).To(BeEmpty(), "notes outlive the keys")
}

// Guards the repair of changes that the digests missed: one host's queue is
// emptied before it has told anybody.
func TestComparisonRepairsMissedChanges(t *testing.T) {
	g := NewWithT(t)
	s := newSim(12, 2, 9)
	s.run(5 * time.Second)
	n := s.order[2]
	n.do(func() []Decision {
		// The decisions are dropped, as if their messages were lost.
		n.table.Forward(s.now, []model.Incarnation{"x"}, "host-001", time.Minute)
		clear(n.table.noteq)
		return nil
	})
	_, ok := s.until(40*time.Second, func() bool {
		for _, x := range s.nodes {
			if x.table.View().Successors["x"] != "host-001" {
				return false
			}
		}
		return true
	})
	g.Expect(ok).To(BeTrue())
}

// Guards against verdicts by a host that is cut off itself, and against sides
// of a healed partition that never find each other again.
func TestPartitionHeals(t *testing.T) {
	g := NewWithT(t)
	s := newSim(16, 4, 10)
	s.run(5 * time.Second)
	side := func(id model.HostID) bool { return s.nodes[id].host.Region == "region-0" }
	s.cut = func(a, b model.HostID) bool { return side(a) != side(b) }
	s.run(time.Minute)
	for _, n := range s.nodes {
		g.Expect(len(n.table.View().Serving[n.host.DataCentre])).To(Equal(4), "a partition between regions took out hosts of the own data centre")
	}
	s.cut = func(_, _ model.HostID) bool { return false }
	_, ok := s.until(30*time.Second, func() bool { return s.agree(s.running()...) })
	g.Expect(ok).To(BeTrue())
}
