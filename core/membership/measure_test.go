package membership

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var measureFlag = flag.Bool("measure", false, "print the table of docs/measurements/membership.txt")

// figures are the results at one size of the fleet.
type figures struct {
	hosts                 int
	start                 float64 // highest bytes/s of a host while all start at once
	bytes, peak, messages float64 // per host and second, sent and received
	kill, silent, leave   time.Duration
	falseVerdicts         int
	hostHours             float64
}

// budget of control traffic per host in bytes a second, from the design page.
const budget = 16 << 10

func measure(t *testing.T, hosts int) figures {
	g := NewWithT(t)
	f := figures{hosts: hosts}
	s := newSim(hosts, 4, uint64(hosts))
	const (
		steady = 30 * time.Second
		settle = 90 * time.Second // until the news of the common start is old
	)
	s.encode = true
	s.run(steady)
	for _, n := range s.order {
		f.start = max(f.start, float64(n.bytes)/steady.Seconds())
	}
	s.encode = false
	s.run(settle)
	for _, n := range s.order {
		n.bytes, n.msgs = 0, 0
	}
	s.encode = true
	s.run(steady)
	for _, n := range s.order {
		f.bytes += float64(n.bytes) / steady.Seconds() / float64(hosts)
		f.messages += float64(n.msgs) / steady.Seconds() / float64(hosts)
		f.peak = max(f.peak, float64(n.bytes)/steady.Seconds())
	}
	s.encode = false
	victim := s.order[1]
	victim.up = false
	f.kill = s.mustAgree(g)
	victim = s.order[2]
	victim.up, victim.silent = false, true
	f.silent = s.mustAgree(g)
	leaving := s.order[3]
	leaving.do(func() []Decision { return leaving.table.Leave(s.now) })
	took, ok := s.until(20*time.Second, func() bool { return s.agree(s.running(leaving.host.ID)...) })
	g.Expect(ok).To(BeTrue())
	f.leave = took
	f.falseVerdicts, f.hostHours = falseVerdicts(hosts)
	return f
}

func (s *sim) mustAgree(g *WithT) time.Duration {
	took, ok := s.until(20*time.Second, func() bool { return s.agree(s.running()...) })
	g.Expect(ok).To(BeTrue())
	return took
}

// falseVerdicts counts hosts that were declared unreachable at 5% loss although
// they ran; one that several hosts saw counts once.
func falseVerdicts(hosts int) (int, float64) {
	s := newSim(hosts, 4, uint64(1000+hosts))
	s.run(10 * time.Second)
	s.loss = 0.05
	period := 20 * time.Second
	if *measureFlag {
		period = 2 * time.Minute
	}
	started := s.now
	s.run(period)
	seen := map[Update]bool{}
	for _, n := range s.order {
		for _, c := range n.changes {
			if c.To == Unreachable && c.at.After(started) {
				seen[Update{Host: c.Host, Version: Version{Counter: uint64(c.at.Sub(started) / (10 * time.Second))}}] = true
			}
		}
	}
	return len(seen), float64(hosts) * period.Hours()
}

// Guards the cost and the accuracy of membership: control traffic stays within
// the budget, also while all hosts start at once, and no running host is
// declared unreachable at 5% loss. With -measure it also runs 200 hosts.
func TestMeasure(t *testing.T) {
	g := NewWithT(t)
	var all []figures
	sizes := []int{10, 50}
	if *measureFlag {
		sizes = append(sizes, 200)
	}
	for _, hosts := range sizes {
		all = append(all, measure(t, hosts))
	}
	if *measureFlag {
		fmt.Println("hosts  B/s/host  highest B/s  B/s at start  msg/s/host  kill(refused)  kill(silent)  leaving  false verdicts/host-hours at 5% loss")
		for _, f := range all {
			fmt.Printf("%5d  %8.0f  %11.0f  %12.0f  %10.1f  %13s  %12s  %7s  %d/%.1f\n", f.hosts, f.bytes, f.peak, f.start, f.messages, f.kill, f.silent, f.leave, f.falseVerdicts, f.hostHours)
		}
	}
	for _, f := range all {
		g.Expect(max(f.peak, f.start)).To(BeNumerically("<", budget), "%d hosts", f.hosts)
		g.Expect(f.falseVerdicts).To(BeZero(), "%d hosts", f.hosts)
	}
}
