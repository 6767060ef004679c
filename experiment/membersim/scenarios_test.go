package membersim

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/membership"
	"github.com/agateusher/agateusher/core/model"
)

// Guards against a one-way cut that takes a healthy host out of the ranking:
// only the host that cannot reach it notes the broken link.
func TestOneWayCut(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(12, 2, 1)
	s.Run(5 * time.Second)
	from := s.Order[0]
	to := model.HostID("")
	for id, n := range from.Heartbeats {
		if n > from.Heartbeats[to] || n == from.Heartbeats[to] && id < to {
			to = id // a peer in the same data centre
		}
	}
	s.Cut = func(a, b model.HostID) bool { return a == from.Host.ID && b == to }
	s.Run(30 * time.Second)
	g.Expect(s.Verdicts(time.Time{}, membership.Unreachable)).To(BeZero())
	g.Expect(s.Agree(s.Running()...)).To(BeTrue())
	g.Expect(from.Table.View().Hosts[to].LinkDown).To(BeTrue())
	s.Cut = func(_, _ model.HostID) bool { return false }
	s.Run(10 * time.Second)
	g.Expect(from.Table.View().Hosts[to].LinkDown).To(BeFalse())
}

// Guards against a host that hears nothing from a host which is cut off in one
// direction altogether, and against hosts that the fleet keeps out afterwards.
func TestSilentHostComesBack(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(12, 2, 2)
	s.Run(5 * time.Second)
	mute := s.Order[3].Host.ID
	s.Cut = func(a, _ model.HostID) bool { return a == mute }
	_, ok := s.Until(8*time.Second, func() bool {
		return len(s.Order[0].Serves()) == 11
	})
	g.Expect(ok).To(BeTrue(), "a host that nobody hears stays in the ranking")
	s.Cut = func(_, _ model.HostID) bool { return false }
	_, ok = s.Until(10*time.Second, func() bool { return s.Agree(s.Running()...) })
	g.Expect(ok).To(BeTrue(), "the host does not come back")
}

// Guards against a paused host that stays out after it wakes, or that blames
// all others for its own pause.
func TestPausedHostWakes(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(12, 2, 3)
	s.Run(5 * time.Second)
	n := s.Order[4]
	n.Pause()
	_, ok := s.Until(8*time.Second, func() bool { return s.Agree(s.Running(n.Host.ID)...) })
	g.Expect(ok).To(BeTrue(), "a paused host stays in the ranking")
	s.Run(10 * time.Second)
	woke := s.Now
	n.Resume()
	_, ok = s.Until(5*time.Second, func() bool { return s.Agree(s.Running()...) })
	g.Expect(ok).To(BeTrue(), "the host does not refute the suspicion")
	s.Run(20 * time.Second)
	g.Expect(s.Verdicts(woke, membership.Unreachable)).To(BeZero())
}

// Guards against a verdict on waking: a suspect had no chance to refute while
// this process was paused.
func TestNoVerdictAcrossAPause(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(4, 1, 11)
	now, table := s.Now, s.Order[0].Table
	_, d := table.Receive(now, membership.Message{
		From:    membership.Update{Host: "host-001", Incarnation: "host-001a", Version: membership.Version{Start: 9}, State: membership.Alive},
		Updates: []membership.Update{{Host: "host-002", State: membership.Suspect}},
	})
	g.Expect(d).To(ContainElement(membership.StateChanged{Host: "host-002", From: membership.Alive, To: membership.Suspect}))
	table.Tick(now.Add(time.Minute))
	g.Expect(table.View().Hosts["host-002"].State).To(Equal(membership.Suspect))
	for i := range 15 { // longer than hearsay takes
		table.Tick(now.Add(time.Minute + time.Duration(i)*time.Second))
	}
	g.Expect(table.View().Hosts["host-002"].State).To(Equal(membership.Unreachable), "the suspicion must end")
}

// Guards against a lagging host list that keeps dead hosts in the ranking or
// brings them back.
func TestHostListNamesDeadHosts(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(12, 2, 4)
	dead := []model.HostID{"host-002", "host-005"}
	for _, id := range dead {
		s.Nodes[id].Up = false
	}
	_, ok := s.Until(15*time.Second, func() bool { return s.Agree(s.Running()...) })
	g.Expect(ok).To(BeTrue())
	for range 60 {
		s.Run(time.Second)
		g.Expect(s.Agree(s.Running()...)).To(BeTrue())
	}
	s.List = append(append([]membership.ListedHost{}, s.List[:2]...), s.List[6:]...) // without 2 to 5
	s.Run(2 * time.Minute)
	for _, id := range dead {
		state := s.Order[0].Table.View().Hosts[id].State
		g.Expect(state == 0 || state == membership.Gone).To(BeTrue(), "%s is %s", id, state)
	}
	g.Expect(s.Agree(s.Running()...)).To(BeTrue(), "the list removed hosts that are alive")
	for _, n := range s.Order {
		for _, c := range n.Changes {
			g.Expect(c.To > membership.Suspect && s.Nodes[c.Host].Up).To(BeFalse(), "%s saw %s become %s", n.Host.ID, c.Host, c.To)
		}
	}
}

// Guards against lost heartbeats that take healthy hosts out: at 20% loss no
// host may be out of any view for long.
func TestLoss(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(24, 4, 5)
	s.Run(5 * time.Second)
	s.Loss = 0.2
	missing := 0
	const samples = 600
	for range samples {
		s.Run(200 * time.Millisecond)
		for _, n := range s.Nodes {
			missing += len(s.Nodes) - len(n.Serves())
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
	s := NewFleet(12, 2, 6)
	s.Run(5 * time.Second)
	old := s.Nodes["host-007"]
	old.Up = false
	s.Run(4 * time.Second)
	g.Expect(s.Agree(s.Running()...)).To(BeTrue())
	h := old.Host
	h.FleetAddress = "10.9.9.9:7002"
	s.Start(h, "b")
	_, ok := s.Until(5*time.Second, func() bool { return s.Agree(s.Running()...) })
	g.Expect(ok).To(BeTrue())
	for _, n := range s.Nodes {
		x := n.Table.View().Hosts["host-007"]
		g.Expect(x.Incarnation).To(Equal(model.Incarnation("host-007b")))
		g.Expect(x.FleetAddress).To(Equal(h.FleetAddress))
	}
	old.Up = true // the old process was only paused
	old.Resume()
	s.Run(20 * time.Second)
	g.Expect(old.Superseded).To(Equal(1))
	for _, n := range s.Nodes {
		g.Expect(n.Table.View().Hosts["host-007"].Incarnation).To(Equal(model.Incarnation("host-007b")))
	}
}

// Guards against a replacement whose clock is behind: others would ignore it.
func TestRestartWithTheClockBehind(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(12, 2, 7)
	s.Run(5 * time.Second)
	old := s.Nodes["host-003"]
	old.Up = false
	s.Run(4 * time.Second)
	s.StartAt(old.Host, "b", s.Now.Add(-time.Hour))
	_, ok := s.Until(8*time.Second, func() bool { return s.Agree(s.Running()...) })
	g.Expect(ok).To(BeTrue())
}

// Guards the announcement of a planned stop and the spread of its notes, also
// to a host that joins afterwards.
func TestLeavingAndNotes(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(20, 4, 8)
	s.Run(5 * time.Second)
	n := s.Order[6]
	n.Do(func() []membership.Decision { return n.Table.Leave(s.Now) })
	_, ok := s.Until(3*time.Second, func() bool { return s.Agree(s.Running(n.Host.ID)...) })
	g.Expect(ok).To(BeTrue())
	n.Do(func() []membership.Decision {
		return n.Table.AnnounceSuccessor(s.Now, []model.Incarnation{"x", "y"}, "host-001", 20*time.Second)
	})
	_, ok = s.Until(3*time.Second, func() bool {
		for _, x := range s.Nodes {
			if v := x.Table.View(); v.Successors["x"] != "host-001" || v.Successors["y"] != "host-001" {
				return false
			}
		}
		return true
	})
	g.Expect(ok).To(BeTrue())
	n.Up = false
	s.Run(5 * time.Second)
	g.Expect(s.Order[0].Table.View().Hosts[n.Host.ID].State).To(Equal(membership.Gone))
	joined := s.Start(membership.Host{ID: "host-new", Info: s.Order[0].Host.Info}, "a")
	_, ok = s.Until(8*time.Second, func() bool { return joined.Table.View().Successors["x"] == "host-001" })
	g.Expect(ok).To(BeTrue(), "a new host does not learn the notes")
	s.Run(20 * time.Second)
	g.Expect(joined.Table.View().Successors).To(BeEmpty(), "notes outlive the keys")
}

// Guards the repair of changes that the digests missed: while a host is cut
// off, it sends a note as often as it ever will.
func TestComparisonRepairsMissedChanges(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(12, 2, 9)
	s.Run(5 * time.Second)
	n := s.Order[2]
	s.Cut = func(from, to model.HostID) bool { return from == n.Host.ID || to == n.Host.ID }
	n.Do(func() []membership.Decision {
		return n.Table.AnnounceSuccessor(s.Now, []model.Incarnation{"x"}, "host-001", 5*time.Minute)
	})
	s.Run(30 * time.Second)
	s.Cut = func(_, _ model.HostID) bool { return false }
	_, ok := s.Until(40*time.Second, func() bool {
		for _, x := range s.Nodes {
			if x.Table.View().Successors["x"] != "host-001" {
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
	s := NewFleet(16, 4, 10)
	s.Run(5 * time.Second)
	side := func(id model.HostID) bool { return s.Nodes[id].Host.Region == "region-0" }
	s.Cut = func(a, b model.HostID) bool { return side(a) != side(b) }
	s.Run(time.Minute)
	for _, n := range s.Nodes {
		g.Expect(len(n.Table.View().Serving[n.Host.DataCentre])).To(Equal(4), "a partition between regions took out hosts of the own data centre")
	}
	s.Cut = func(_, _ model.HostID) bool { return false }
	_, ok := s.Until(30*time.Second, func() bool { return s.Agree(s.Running()...) })
	g.Expect(ok).To(BeTrue())
}
