package membersim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/membership"
)

var measureFlag = flag.Bool("measure", false, "print the table of docs/measurements/membership.txt")

// figures are the results for one fleet size.
type figures struct {
	hosts                         int
	start                         float64 // highest bytes/s of any host while all start at once
	bytes, peak, messages         float64 // mean and highest bytes/s and mean messages/s of a host, sent and received
	processKill, powerLoss, leave time.Duration
	falseUnreachable              int
	hostHours                     float64
}

// budget is the limit of control traffic per host in bytes/s, from the design
// page.
const budget = 16 << 10

func measure(t *testing.T, hosts int) figures {
	g := NewWithT(t)
	f := figures{hosts: hosts}
	s := NewFleet(hosts, 4, uint64(hosts))
	const (
		steady = 30 * time.Second
		settle = 90 * time.Second // until updates about the common start are no longer sent
	)
	s.Encode = true
	s.Run(steady)
	for _, n := range s.StartOrder {
		f.start = max(f.start, float64(n.Bytes)/steady.Seconds())
	}
	s.Encode = false
	s.Run(settle)
	for _, n := range s.StartOrder {
		n.Bytes, n.Messages = 0, 0
	}
	s.Encode = true
	s.Run(steady)
	for _, n := range s.StartOrder {
		f.bytes += float64(n.Bytes) / steady.Seconds() / float64(hosts)
		f.messages += float64(n.Messages) / steady.Seconds() / float64(hosts)
		f.peak = max(f.peak, float64(n.Bytes)/steady.Seconds())
	}
	s.Encode = false
	victim := s.StartOrder[1]
	victim.Up = false
	f.processKill = s.timeToAgree(g)
	victim = s.StartOrder[2]
	victim.Up, victim.PoweredOff = false, true
	f.powerLoss = s.timeToAgree(g)
	leaving := s.StartOrder[3]
	leaving.Do(func() []membership.Decision { return leaving.Table.Leave(s.Now) })
	took, ok := s.RunUntil(20*time.Second, func() bool { return s.ViewsAgree(s.RunningHosts(leaving.Host.ID)...) })
	g.Expect(ok).To(BeTrue())
	f.leave = took
	f.falseUnreachable, f.hostHours = countFalseUnreachable(hosts)
	return f
}

func (s *Fleet) timeToAgree(g *WithT) time.Duration {
	took, ok := s.RunUntil(20*time.Second, func() bool { return s.ViewsAgree(s.RunningHosts()...) })
	g.Expect(ok).To(BeTrue())
	return took
}

// countFalseUnreachable counts running hosts that were declared unreachable at 5%
// loss, and returns the simulated host-hours. Declarations of one host by several
// others within the same 10 s count once.
func countFalseUnreachable(hosts int) (int, float64) {
	s := NewFleet(hosts, 4, uint64(1000+hosts))
	s.Run(10 * time.Second)
	s.Loss = 0.05
	period := 20 * time.Second
	if *measureFlag {
		period = 2 * time.Minute
	}
	started := s.Now
	s.Run(period)
	seen := map[membership.Update]bool{}
	for _, n := range s.StartOrder {
		for _, c := range n.Changes {
			if c.To == membership.Unreachable && c.At.After(started) {
				seen[membership.Update{Host: c.Host, Version: membership.Version{Counter: uint64(c.At.Sub(started) / (10 * time.Second))}}] = true
			}
		}
	}
	return len(seen), float64(hosts) * period.Hours()
}

// Guards against control traffic over the budget, also while all hosts start at
// once, and against running hosts that are declared unreachable at 5% loss. With
// -measure it also runs 200 hosts.
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
			fmt.Printf("%5d  %8.0f  %11.0f  %12.0f  %10.1f  %13s  %12s  %7s  %d/%.1f\n", f.hosts, f.bytes, f.peak, f.start, f.messages, f.processKill, f.powerLoss, f.leave, f.falseUnreachable, f.hostHours)
		}
	}
	for _, f := range all {
		g.Expect(max(f.peak, f.start)).To(BeNumerically("<", budget), "%d hosts", f.hosts)
		g.Expect(f.falseUnreachable).To(BeZero(), "%d hosts", f.hosts)
	}
}
