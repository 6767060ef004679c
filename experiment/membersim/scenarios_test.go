package membersim

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/membership"
	"github.com/agateusher/agateusher/core/model"
)

// Guards against a one-way partition that removes a healthy host from the
// ranking. Only the host that cannot reach it marks the link as down.
func TestOneWayCut(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(12, 2, 1)
	s.Run(5 * time.Second)
	from := s.StartOrder[0]
	to := model.HostID("")
	for id, n := range from.Heartbeats {
		if n > from.Heartbeats[to] || n == from.Heartbeats[to] && id < to {
			to = id // a peer in the same data centre
		}
	}
	s.Cut = func(a, b model.HostID) bool { return a == from.Host.ID && b == to }
	s.Run(30 * time.Second)
	g.Expect(s.CountStateChanges(time.Time{}, membership.Unreachable)).To(BeZero())
	g.Expect(s.ViewsAgree(s.RunningHosts()...)).To(BeTrue())
	g.Expect(from.Table.View().Hosts[to].LinkDown).To(BeTrue())
	s.Cut = func(_, _ model.HostID) bool { return false }
	s.Run(10 * time.Second)
	g.Expect(from.Table.View().Hosts[to].LinkDown).To(BeFalse())
}

// Guards against a host that stays in the ranking although none of its messages
// arrive, and against a host that does not rejoin once they arrive again.
func TestMutedHostRejoins(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(12, 2, 2)
	s.Run(5 * time.Second)
	muted := s.StartOrder[3].Host.ID
	s.Cut = func(a, _ model.HostID) bool { return a == muted }
	_, ok := s.RunUntil(8*time.Second, func() bool {
		return len(s.StartOrder[0].ServingHosts()) == 11
	})
	g.Expect(ok).To(BeTrue(), "a host whose messages are all lost stays in the ranking")
	s.Cut = func(_, _ model.HostID) bool { return false }
	_, ok = s.RunUntil(10*time.Second, func() bool { return s.ViewsAgree(s.RunningHosts()...) })
	g.Expect(ok).To(BeTrue(), "the host does not rejoin")
}

// Guards against a paused host that does not rejoin after it resumes, or that
// declares the other hosts unreachable because of its own pause.
func TestPausedHostRejoins(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(12, 2, 3)
	s.Run(5 * time.Second)
	n := s.StartOrder[4]
	n.Pause()
	_, ok := s.RunUntil(8*time.Second, func() bool { return s.ViewsAgree(s.RunningHosts(n.Host.ID)...) })
	g.Expect(ok).To(BeTrue(), "a paused host stays in the ranking")
	s.Run(10 * time.Second)
	woke := s.Now
	n.Resume()
	_, ok = s.RunUntil(5*time.Second, func() bool { return s.ViewsAgree(s.RunningHosts()...) })
	g.Expect(ok).To(BeTrue(), "the host does not refute the suspicion")
	s.Run(20 * time.Second)
	g.Expect(s.CountStateChanges(woke, membership.Unreachable)).To(BeZero())
}

// Guards against a host that declares a suspect unreachable when it resumes from
// a pause: the suspect could not refute the suspicion during the pause.
func TestPauseDoesNotExpireSuspicion(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(4, 1, 11)
	now, table := s.Now, s.StartOrder[0].Table
	_, d := table.Receive(now, membership.Message{
		From:    membership.Update{Host: "host-001", Incarnation: "host-001a", Version: membership.Version{Start: 9}, State: membership.Alive},
		Updates: []membership.Update{{Host: "host-002", State: membership.Suspect}},
	})
	g.Expect(d).To(ContainElement(membership.StateChanged{Host: "host-002", From: membership.Alive, To: membership.Suspect}))
	table.Tick(now.Add(time.Minute))
	g.Expect(table.View().Hosts["host-002"].State).To(Equal(membership.Suspect))
	for i := range 15 { // longer than the timeout of a suspicion learned from a peer
		table.Tick(now.Add(time.Minute + time.Duration(i)*time.Second))
	}
	g.Expect(table.View().Hosts["host-002"].State).To(Equal(membership.Unreachable), "the suspicion does not expire")
}

// Guards against an outdated host list that keeps dead hosts in the ranking or
// adds them again.
func TestHostListNamesDeadHosts(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(12, 2, 4)
	dead := []model.HostID{"host-002", "host-005"}
	for _, id := range dead {
		s.Nodes[id].Up = false
	}
	_, ok := s.RunUntil(15*time.Second, func() bool { return s.ViewsAgree(s.RunningHosts()...) })
	g.Expect(ok).To(BeTrue())
	for range 60 {
		s.Run(time.Second)
		g.Expect(s.ViewsAgree(s.RunningHosts()...)).To(BeTrue())
	}
	s.HostList = append(append([]membership.ListedHost{}, s.HostList[:2]...), s.HostList[6:]...) // removes host-002 to host-005
	s.Run(2 * time.Minute)
	for _, id := range dead {
		state := s.StartOrder[0].Table.View().Hosts[id].State
		g.Expect(state == 0 || state == membership.Gone).To(BeTrue(), "%s is %s", id, state)
	}
	g.Expect(s.ViewsAgree(s.RunningHosts()...)).To(BeTrue(), "the host list removed hosts that are alive")
	for _, n := range s.StartOrder {
		for _, c := range n.Changes {
			g.Expect(c.To > membership.Suspect && s.Nodes[c.Host].Up).To(BeFalse(), "%s saw %s become %s", n.Host.ID, c.Host, c.To)
		}
	}
}

// Guards against lost heartbeats that remove healthy hosts: at 20% loss no host
// may be missing from any view for long.
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
			missing += len(s.Nodes) - len(n.ServingHosts())
		}
	}
	// A host that is missing from a view costs a request at most one more hop.
	// The target is that 99.9% of the entries are present in the views.
	g.Expect(missing).To(BeNumerically("<", samples*24*24/1000))
}

// Guards against a restarted host that is mistaken for its dead predecessor, and
// against an old process that displaces its replacement when it resumes.
func TestRestartWithTheSameID(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(12, 2, 6)
	s.Run(5 * time.Second)
	old := s.Nodes["host-007"]
	old.Up = false
	s.Run(4 * time.Second)
	g.Expect(s.ViewsAgree(s.RunningHosts()...)).To(BeTrue())
	h := old.Host
	h.FleetAddress = "10.9.9.9:7002"
	s.Start(h, "b")
	_, ok := s.RunUntil(5*time.Second, func() bool { return s.ViewsAgree(s.RunningHosts()...) })
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

// Guards against peers that ignore a restarted host because its clock is behind
// that of its predecessor.
func TestRestartWithTheClockBehind(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(12, 2, 7)
	s.Run(5 * time.Second)
	old := s.Nodes["host-003"]
	old.Up = false
	s.Run(4 * time.Second)
	s.StartAt(old.Host, "b", s.Now.Add(-time.Hour))
	_, ok := s.RunUntil(8*time.Second, func() bool { return s.ViewsAgree(s.RunningHosts()...) })
	g.Expect(ok).To(BeTrue())
}

// Guards against a planned stop that does not reach all hosts, and against key
// successors that are not announced to all hosts, also to a host that joins
// afterwards, or that are kept for longer than announced.
func TestLeavingAndSuccessors(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(20, 4, 8)
	s.Run(5 * time.Second)
	n := s.StartOrder[6]
	n.Do(func() []membership.Decision { return n.Table.Leave(s.Now) })
	_, ok := s.RunUntil(3*time.Second, func() bool { return s.ViewsAgree(s.RunningHosts(n.Host.ID)...) })
	g.Expect(ok).To(BeTrue())
	n.Do(func() []membership.Decision {
		return n.Table.AnnounceSuccessor(s.Now, []model.Incarnation{"x", "y"}, "host-001", 20*time.Second)
	})
	_, ok = s.RunUntil(3*time.Second, func() bool {
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
	g.Expect(s.StartOrder[0].Table.View().Hosts[n.Host.ID].State).To(Equal(membership.Gone))
	joined := s.Start(membership.Host{ID: "host-new", Info: s.StartOrder[0].Host.Info}, "a")
	_, ok = s.RunUntil(8*time.Second, func() bool { return joined.Table.View().Successors["x"] == "host-001" })
	g.Expect(ok).To(BeTrue(), "a new host does not learn the successors")
	s.Run(20 * time.Second)
	g.Expect(joined.Table.View().Successors).To(BeEmpty(), "successors are kept after the keys expire")
}

// Guards against changes that gossip missed and synchronization does not repair:
// a partitioned host uses up all transmissions of an announcement during the
// partition.
func TestSyncRepairsMissedChanges(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(12, 2, 9)
	s.Run(5 * time.Second)
	n := s.StartOrder[2]
	s.Cut = func(from, to model.HostID) bool { return from == n.Host.ID || to == n.Host.ID }
	n.Do(func() []membership.Decision {
		return n.Table.AnnounceSuccessor(s.Now, []model.Incarnation{"x"}, "host-001", 5*time.Minute)
	})
	s.Run(30 * time.Second)
	s.Cut = func(_, _ model.HostID) bool { return false }
	_, ok := s.RunUntil(40*time.Second, func() bool {
		for _, x := range s.Nodes {
			if x.Table.View().Successors["x"] != "host-001" {
				return false
			}
		}
		return true
	})
	g.Expect(ok).To(BeTrue())
}

// Guards against a partitioned region that declares hosts of its own data centres
// unreachable, and against the sides of a healed partition that do not rejoin.
func TestPartitionHeals(t *testing.T) {
	g := NewWithT(t)
	s := NewFleet(16, 4, 10)
	s.Run(5 * time.Second)
	side := func(id model.HostID) bool { return s.Nodes[id].Host.Region == "region-0" }
	s.Cut = func(a, b model.HostID) bool { return side(a) != side(b) }
	s.Run(time.Minute)
	for _, n := range s.Nodes {
		g.Expect(len(n.Table.View().Serving[n.Host.DataCentre])).To(Equal(4), "a partition between regions removed hosts of the same data centre")
	}
	s.Cut = func(_, _ model.HostID) bool { return false }
	_, ok := s.RunUntil(30*time.Second, func() bool { return s.ViewsAgree(s.RunningHosts()...) })
	g.Expect(ok).To(BeTrue())
}
