// Command costtrial compares ways to choose a server in virtual time, with equal seeds: by
// the number of outstanding requests (as with equal estimates), by their expected work, by
// their expected remainder, the same among a random quarter of the servers, and with servers
// set apart for long requests. It prints the waits for a slot (p50, p99 and p99.9), in mean
// service times.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/cost"
)

const (
	servers, slots = 40, 2
	mean           = 150 * time.Millisecond
	// learning is the share of the requests before the waits are counted.
	learning = 0.3
	// longFactor is the estimate, in means, from which a request counts as long.
	longFactor = 2
)

// attempt is a request at a server.
type attempt struct {
	host               int
	sent, started, end time.Time
	request            cost.Request
	estimate           time.Duration
}

// trial is one run of a variant.
type trial struct {
	variant    string
	random     *rand.Rand
	estimates  *cost.Estimator
	remainders *cost.Remainders
	delay      time.Duration // of observations; negative: cut off
	attempts   [servers][]attempt
	free       [servers][slots]time.Time
	waits      []time.Duration
}

// classMeans has the means of classes of requests, whose mean is 1.
var classMeans = [...]float64{0.25, 0.25, 0.25, 0.25, 0.5, 0.5, 1, 5}

// draw returns a request and its service time.
func draw(costs string, r *rand.Rand) (cost.Request, time.Duration) {
	q, factor := cost.Request{Service: "s", Route: "r"}, 1.0
	switch costs {
	case "exponential":
		factor = r.ExpFloat64()
	case "long-tailed": // three in a hundred take up to seven times the mean
		factor = 0.5 + 0.8*r.Float64()
		if r.Float64() < 0.03 {
			factor = 1 + 6*r.Float64()
		}
		factor /= 0.993
	case "classes":
		class := r.IntN(len(classMeans))
		q.Path, factor = fmt.Sprint(class), classMeans[class]*(0.5+r.Float64())
	case "classes, exponential":
		class := r.IntN(len(classMeans))
		q.Path, factor = fmt.Sprint(class), classMeans[class]*r.ExpFloat64()
	}
	return q, time.Duration(max(factor, 0.001) * float64(mean))
}

// score returns the expected wait at a server with no free slot, or else less than zero by
// the number of free slots.
func (t *trial) score(now time.Time, host, server int) float64 {
	n, work := 0, time.Duration(0)
	for i := range t.attempts[server] {
		a := &t.attempts[server][i]
		delay := t.delay
		if a.host == host {
			delay = 0
		}
		if delay < 0 || now.Before(a.sent.Add(delay)) || !now.Before(a.end.Add(delay)) {
			continue
		}
		n++
		switch {
		case t.variant == "outstanding":
			work += mean
		case t.variant == "work" || n > slots:
			work += a.estimate
		default:
			work += t.remainders.Remaining(a.estimate, now.Sub(a.started))
		}
	}
	if n < slots {
		return float64(n - slots)
	}
	return work.Seconds() * float64(n-slots+1) / float64(n)
}

// reserved is the number of servers for long requests, by the share of the work of
// those in the classes: five eighths.
const reserved = servers * 5 / 8

func (t *trial) choose(now time.Time, host int, estimate time.Duration) int {
	first, last := 0, servers
	if t.variant == "separate" {
		first, last = reserved, servers
		if estimate > longFactor*mean {
			first, last = 0, reserved
		}
	}
	best, least, offset := first, 0.0, t.random.IntN(last-first)
	for i := range last - first {
		if i > 0 && t.variant == "quarter" && t.random.IntN(4) > 0 {
			continue
		}
		server := first + (i+offset)%(last-first)
		if s := t.score(now, host, server); i == 0 || s < least {
			best, least = server, s
		}
	}
	return best
}

func (t *trial) run(costs string, load float64, hosts, requests int) {
	start := time.Unix(0, 0)
	now := start
	var running []attempt // until they are learned from
	arrivals := rand.New(rand.NewPCG(t.random.Uint64(), 1))
	for i := range requests {
		now = now.Add(time.Duration(arrivals.ExpFloat64() * float64(mean) / (load * servers * slots)))
		running = slices.DeleteFunc(running, func(a attempt) bool {
			if now.Before(a.end) {
				return false
			}
			t.estimates.Observe(a.end, a.request, a.end.Sub(a.started))
			t.remainders.Observe(a.estimate, a.end.Sub(a.started))
			return true
		})
		request, took := draw(costs, arrivals)
		host, estimate := arrivals.IntN(hosts), max(t.estimates.Estimate(now, request).Cautious(), mean/100)
		server := t.choose(now, host, estimate)
		slot := 0
		for j, free := range t.free[server] {
			if free.Before(t.free[server][slot]) {
				slot = j
			}
		}
		a := attempt{host: host, sent: now, started: now, request: request, estimate: estimate}
		if t.free[server][slot].After(now) {
			a.started = t.free[server][slot]
		}
		a.end = a.started.Add(took)
		t.free[server][slot] = a.end
		gone := now.Add(-max(t.delay, 0))
		t.attempts[server] = append(slices.DeleteFunc(t.attempts[server], func(x attempt) bool { return x.end.Before(gone) }), a)
		running = append(running, a)
		if float64(i) >= learning*float64(requests) {
			t.waits = append(t.waits, a.started.Sub(now))
		}
	}
	slices.Sort(t.waits)
}

func (t *trial) wait(share float64) float64 {
	return float64(t.waits[int(share*float64(len(t.waits)-1))]) / float64(mean)
}

func main() {
	requests := flag.Int("requests", 10_000, "requests of each run")
	seed := flag.Uint64("seed", 1, "seed of the runs")
	flag.Parse()
	for _, costs := range []string{"equal", "exponential", "long-tailed", "classes", "classes, exponential"} {
		for _, load := range []float64{0.3, 0.7, 0.95} {
			for _, hosts := range []int{1, 20, 218} {
				for _, delay := range []time.Duration{200 * time.Microsecond, time.Millisecond, 30 * time.Millisecond, -1} {
					if hosts == 1 && delay != time.Millisecond {
						continue // a single host hears nothing from others
					}
					gossip := delay.String()
					if delay < 0 {
						gossip = "cut off"
					}
					fmt.Printf("%-20s load %.2f hosts %3d gossip %7s:", costs, load, hosts, gossip)
					for _, variant := range []string{"outstanding", "work", "remainder", "quarter", "separate"} {
						t := &trial{variant: variant, random: rand.New(rand.NewPCG(*seed, 2)), estimates: &cost.Estimator{}, remainders: cost.NewRemainders(), delay: delay}
						t.run(costs, load, hosts, *requests)
						fmt.Printf("  %s %.2f %.2f %.2f", variant, t.wait(0.5), t.wait(0.99), t.wait(0.999))
					}
					fmt.Println()
				}
			}
		}
	}
}
