package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/reuse"
)

// warmTrial is a quarter of a deployment of 218 hosts and 264 servers, which is one data
// centre, in virtual time. Each host has its own table and connections and hears of the
// attempts of others after 25 ms, as through the hub.
type warmTrial struct {
	random  *rand.Rand
	now     time.Time
	events  map[time.Duration][]func()
	hosts   []*warmHost
	servers []*warmServer

	requests, idempotent, opened, openedIdempotent int
	waits                                          []time.Duration
}

type warmHost struct {
	id    model.HostID
	table *balance.Table
	pool  *reuse.Pool[balance.ServerKey, int]
	last  uint64
}

type warmServer struct {
	busy  int
	queue []func()
	// requests counts them by windows of 2 s.
	requests map[time.Duration]int
}

const (
	warmHosts, warmServers, warmSlots = 55, 66, 6
	warmDuration                      = 30 * time.Second
	gossipDelay                       = 25 * time.Millisecond
)

// at runs f after a time, in steps of a millisecond.
func (w *warmTrial) at(after time.Duration, f func()) {
	t := max(w.now.Sub(start)+after, 0).Truncate(time.Millisecond) + time.Millisecond
	w.events[t] = append(w.events[t], f)
}

// tell applies an observation to the table of a host, and later to those of the others.
func (w *warmTrial) tell(h *warmHost, observe func(*balance.Table)) {
	observe(h.table)
	w.at(gossipDelay, func() {
		for _, other := range w.hosts {
			if other != h {
				observe(other.table)
			}
		}
	})
}

func (w *warmTrial) arrive(h *warmHost, mean time.Duration) {
	w.at(time.Duration(w.random.ExpFloat64()*float64(time.Second)/5), func() { w.arrive(h, mean) })
	q := nonIdempotentQuery()
	if w.random.Float64() < 0.27 {
		q = idempotentQuery()
		w.idempotent++
	}
	w.requests++
	q.Service, q.TargetLatency, q.TieBreak, q.Warm = registry, 4*mean, w.random.Uint64(), h.pool.Warm(w.now, q.Idempotent)
	c, _ := h.table.Choose(w.now, q)
	key := c.Server.Key
	conn, _, reused, _ := h.pool.Take(w.now, key, q.Idempotent, func(int) bool { return true })
	if !reused {
		w.opened++
		conn = w.opened
		if q.Idempotent {
			w.openedIdempotent++
		}
	}
	h.last++
	attempt := balance.AttemptKey{Host: h.id, Number: h.last}
	w.tell(h, func(t *balance.Table) { t.AttemptStarted(w.now, key, attempt, false) })
	s, sent := w.servers[key-1], w.now
	s.requests[w.now.Sub(start)/(2*time.Second)]++
	run := func() {
		w.waits = append(w.waits, w.now.Sub(sent))
		service := time.Duration((0.5 + w.random.Float64()*0.8) * float64(mean))
		if w.random.Float64() < 0.03 {
			service = time.Duration((1 + 6*w.random.Float64()) * float64(mean))
		}
		w.at(service, func() {
			took := w.now.Sub(sent)
			w.tell(h, func(t *balance.Table) { t.AttemptFinished(w.now, key, attempt, balance.Succeeded, took) })
			h.pool.Put(w.now, key, conn, reuse.KeepAlive(-1))
			s.busy--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				s.busy++
				next()
			}
		})
	}
	if s.busy < warmSlots {
		s.busy++
		run()
		return
	}
	s.queue = append(s.queue, run)
}

// play returns the trial after warmDuration, with servers that work for a mean time and a
// cost of a new connection.
func (w *warmTrial) play(mean time.Duration, newConnection float64) *warmTrial {
	costs := testCosts
	costs.NewConnection = newConnection
	list := local(warmServers)
	for i := range list {
		list[i].Slots = warmSlots
		w.servers = append(w.servers, &warmServer{requests: map[time.Duration]int{}})
	}
	for i := range warmHosts {
		h := &warmHost{id: model.HostID(fmt.Sprint("h", i)), pool: reuse.NewPool[balance.ServerKey, int](68, 2), table: balance.NewTable(balance.Options{
			DataCentre: "a", Region: "r", Model: testModel, Costs: costs, Budget: balance.Budget{Ratio: 0.2, Slack: 62, Window: 10 * time.Second},
		})}
		h.table.SetServers(start, list, 4)
		w.hosts = append(w.hosts, h)
		w.at(time.Duration(w.random.Float64()*float64(time.Second)), func() { w.arrive(h, mean) })
	}
	for t := time.Duration(0); t < warmDuration; t += time.Millisecond {
		w.now = start.Add(t)
		for _, f := range w.events[t] {
			f()
		}
		delete(w.events, t)
	}
	slices.Sort(w.waits)
	return w
}

func (w *warmTrial) wait(share float64) time.Duration {
	return w.waits[int(share*float64(len(w.waits)-1))]
}

// spread returns the least share of servers with a request in a window of 2 s, after the
// first 4 s, and the largest share of all requests of a server.
func (w *warmTrial) spread() (used, largest float64) {
	windows := make([]float64, warmDuration/(2*time.Second))
	for _, s := range w.servers {
		total := 0
		for window, n := range s.requests {
			total += n
			windows[window] += 1.0 / warmServers
		}
		largest = max(largest, float64(total)*warmServers/float64(w.requests))
	}
	return slices.Min(windows[2:]), largest
}

// Guards against hosts that gather at the servers that they have connections to, against
// longer waits for a slot for the sake of connections, and against a preference without
// effect.
func TestWarmConnectionsBreakNearTies(t *testing.T) {
	for name, mean := range map[string]time.Duration{
		"35% load": 480 * time.Millisecond, "70% load": 960 * time.Millisecond, "90% load": 1230 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var wait [2]time.Duration
			var connections, used, largest [2]float64
			for i, cost := range []float64{0, 0.02} { // the second as in edge
				w := (&warmTrial{random: rand.New(rand.NewPCG(1, 2)), events: map[time.Duration][]func(){}}).play(mean, cost)
				wait[i], connections[i] = w.wait(0.99), float64(w.opened)/float64(w.requests)
				used[i], largest[i] = w.spread()
				t.Logf("cost %.3f: connections per request %.3f (idempotent %.3f, other %.3f), wait p99 %v p99.9 %v, servers used in 2 s %.2f, largest share of a server %.2f times the mean",
					cost, connections[i], float64(w.openedIdempotent)/float64(w.idempotent), float64(w.opened-w.openedIdempotent)/float64(w.requests-w.idempotent),
					wait[i], w.wait(0.999), used[i], largest[i])
			}
			g.Expect(used[1]).To(BeNumerically(">=", 0.85))
			g.Expect(largest[1]).To(BeNumerically("<", 1.2*largest[0]))
			g.Expect(wait[1]).To(BeNumerically("<=", wait[0]+mean/10))
			g.Expect(connections[1]).To(BeNumerically("<", 0.97*connections[0]))
		})
	}
}
