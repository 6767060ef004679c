package capacity

import (
	"context"
	"net/http"
	"time"
)

// measureRequests measures the CPU time of requests through real daemons. The
// client and the stand-ins run in the same process; their share cancels out in the
// differences between paths.
func measureRequests() ([]Fit, error) {
	f, err := newLiveFleet()
	defer f.close()
	if err != nil {
		return nil, err
	}
	idle, err := cpuRate(func() error { time.Sleep(2 * time.Second); return nil })
	if err != nil {
		return nil, err
	}
	costs := pathCosts{fleet: f, idle: idle, cpu: map[string][]Point{}}
	for _, n := range []int{1_000, 3_000, 9_000} {
		if err := costs.measure(n); err != nil {
			return nil, err
		}
	}
	const perRequest = "request"
	return []Fit{
		{Name: "request.owner.cpu", Per: perRequest, Unit: "CPU s", Mechanism: "fleet listener, owner.Do, core/pool, exchange with the server: forwarded request minus direct request", Points: costs.difference("forward", "direct")},
		{Name: "request.entry.cpu", Per: perRequest, Unit: "CPU s", Mechanism: "caller listener, entry, fleet client: two hops minus a forwarded request", Points: costs.difference("two-hops", "forward")},
		{Name: "request.both.cpu", Per: perRequest, Unit: "CPU s", Mechanism: "entry and owner in one process: one hop minus direct request", Points: costs.difference("one-hop", "direct")},
		{Name: "key.call.cpu", Per: "issued key", Unit: "CPU s", Mechanism: "owner keybook over the fleet listener, one key a call: key call minus ping", Points: costs.difference("issue", "ping")},
		{Name: "key.payment.cpu", Per: "spent key", Unit: "CPU s", Mechanism: "whole forwarded payment with a key, client and stand-in included", Points: costs.cpu["spend"]},
	}, nil
}

// cpuRate returns the CPU seconds that the process uses per second while do runs.
func cpuRate(do func() error) (float64, error) {
	start := time.Now()
	used, err := cpuOf(do)
	return used.Seconds() / time.Since(start).Seconds(), err
}

// pathCosts holds the CPU time of requests on each path, without the CPU time that
// the daemons use when idle.
type pathCosts struct {
	fleet *liveFleet
	idle  float64
	cpu   map[string][]Point
}

// blockSize is the number of requests on one path before the next path's turn.
// Alternating makes slow changes of the machine's speed affect all paths alike.
const blockSize = 50

// measure adds a point of n requests to each path.
func (c *pathCosts) measure(n int) error {
	f := c.fleet
	keys := make([]string, blockSize)
	paths := []struct {
		name string
		do   func(i int) error
	}{
		{"direct", func(int) error { return f.get(f.backend) }},
		{"forward", func(int) error { return f.forward(http.MethodGet, liveLookupPath, "") }},
		{"one-hop", func(int) error { return f.get(f.owner.Listeners.Caller) }},
		{"two-hops", func(int) error { return f.get(f.entry.Listeners.Caller) }},
		{"ping", func(int) error { return f.client.Ping(context.Background(), f.peer()) }},
		{"issue", func(i int) (err error) { keys[i], err = f.issue(); return err }},
		{"spend", func(i int) error { return f.forward(http.MethodPost, livePaymentsPath, keys[i]) }},
	}
	for _, p := range paths {
		c.cpu[p.name] = append(c.cpu[p.name], Point{X: float64(n)})
	}
	for range n / blockSize {
		for _, p := range paths {
			used, err := c.measureBlock(p.do)
			if err != nil {
				return err
			}
			points := c.cpu[p.name]
			points[len(points)-1].Y += used
		}
	}
	return nil
}

// measureBlock returns the CPU seconds of blockSize requests on one path.
func (c *pathCosts) measureBlock(do func(i int) error) (float64, error) {
	start := time.Now()
	used, err := cpuOf(func() error {
		for i := range blockSize {
			if err := do(i); err != nil {
				return err
			}
		}
		return nil
	})
	return used.Seconds() - c.idle*time.Since(start).Seconds(), err
}

// difference returns the cost of path a minus that of path b at each size.
func (c *pathCosts) difference(a, b string) []Point {
	points := make([]Point, len(c.cpu[a]))
	for i, p := range c.cpu[a] {
		points[i] = Point{p.X, p.Y - c.cpu[b][i].Y}
	}
	return points
}
