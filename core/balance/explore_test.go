package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
)

// fleetTrial is a deployment of 112 hosts and 213 servers of 2 slots in 4 data centres, in
// virtual time. Attempts are known in the data centre after 25 ms, and the load and beliefs
// of each data centre in the others after 300 ms.
type fleetTrial struct {
	random  *rand.Rand
	now     time.Time
	events  map[time.Duration][]func()
	hosts   []*warmHost
	servers []*fleetServer
	// failing reports whether a server fails most requests.
	failing func(server int, after time.Duration) bool
	// requests and failures count those that must not repeat.
	requests, failures int
}

type fleetServer struct {
	service  model.ServiceName
	busy     int
	queue    []func()
	requests map[time.Duration]int // by windows of 2 s
}

const (
	fleetHosts, fleetCentres = 112, 4
	fleetDuration            = 24 * time.Second
	fleetServiceTime         = 150 * time.Millisecond
)

// fleetServices has the number of servers, requests a second and the share of idempotent
// requests of each service.
var fleetServices = map[model.ServiceName]struct {
	servers, rate int
	idempotent    float64
}{"mixed": {60, 400, 0.8}, "writes": {119, 344, 0}, "small": {34, 100, 0}}

func (f *fleetTrial) at(after time.Duration, run func()) {
	t := (f.now.Sub(start) + after).Truncate(time.Millisecond) + time.Millisecond
	f.events[t] = append(f.events[t], run)
}

func (f *fleetTrial) tell(host int, observe func(*balance.Table)) {
	observe(f.hosts[host].table)
	f.at(gossipDelay, func() {
		for other := host % fleetCentres; other < len(f.hosts); other += fleetCentres {
			if other != host {
				observe(f.hosts[other].table)
			}
		}
	})
}

func (f *fleetTrial) arrive(name model.ServiceName) {
	service := fleetServices[name]
	f.at(time.Duration(f.random.ExpFloat64()*float64(time.Second)/float64(service.rate)), func() { f.arrive(name) })
	q := balance.Query{Service: name, Idempotent: f.random.Float64() < service.idempotent, TargetLatency: time.Second, TieBreak: f.random.Uint64(), ExpectedBytes: 3000}
	q.CanRetry = q.Idempotent
	f.send(f.random.IntN(fleetHosts), q, false)
}

// send makes an attempt. An idempotent request is repeated once if it fails.
func (f *fleetTrial) send(host int, q balance.Query, retry bool) {
	h := f.hosts[host]
	c, _ := h.table.Choose(f.now, q)
	h.last++
	key, attempt, sent := c.Server.Key, balance.AttemptKey{Host: h.id, Number: h.last}, f.now
	f.tell(host, func(t *balance.Table) { t.AttemptStarted(f.now, key, attempt, retry) })
	s := f.servers[key-1]
	s.requests[f.now.Sub(start)/(2*time.Second)]++
	run := func() {
		result, took := balance.Succeeded, time.Duration((0.5+f.random.Float64())*float64(fleetServiceTime))
		limit := 0.012
		if f.failing(int(key-1), f.now.Sub(start)) {
			limit = 0.75
		}
		if f.random.Float64() < limit {
			result, took = balance.Failed, 5*time.Millisecond
		}
		f.at(took, func() {
			latency := f.now.Sub(sent)
			f.tell(host, func(t *balance.Table) { t.AttemptFinished(f.now, key, attempt, result, latency) })
			if s.busy--; len(s.queue) > 0 {
				next := s.queue[0]
				s.queue, s.busy = s.queue[1:], s.busy+1
				next()
			}
			switch {
			case !q.Idempotent && result == balance.Failed:
				f.failures++
			case result == balance.Failed && !retry:
				q.Excluded, q.CanRetry = []balance.ServerKey{key}, false
				f.send(host, q, true)
			}
		})
	}
	if !q.Idempotent {
		f.requests++
	}
	if s.busy < 2 {
		s.busy++
		run()
		return
	}
	s.queue = append(s.queue, run)
}

func (f *fleetTrial) reportLoads() {
	f.at(300*time.Millisecond, f.reportLoads)
	for from := range fleetCentres {
		loads := map[balance.ServerKey]balance.Load{}
		f.hosts[from].table.Report(f.now, func(k balance.ServerKey, l balance.Load) { loads[k] = l })
		for to, h := range f.hosts {
			if to%fleetCentres != from {
				h.table.ApplyReport(f.now, centreOf(from), loads)
			}
		}
	}
}

func centreOf(i int) model.DataCentre { return model.DataCentre(fmt.Sprint("d", i%fleetCentres)) }
func regionOf(i int) model.Region     { return model.Region(fmt.Sprint("r", i%fleetCentres/2)) }

func playFleet(failing func(server int, after time.Duration) bool) *fleetTrial {
	f := &fleetTrial{random: rand.New(rand.NewPCG(3, 4)), now: start, events: map[time.Duration][]func(){}, failing: failing}
	var list []balance.Server
	for _, name := range []model.ServiceName{"mixed", "writes", "small"} {
		for range fleetServices[name].servers {
			i := len(list)
			list = append(list, balance.Server{Key: balance.ServerKey(i + 1), ID: model.ServerID(fmt.Sprint("i-", i+1)), Service: name, DataCentre: centreOf(i), Region: regionOf(i), Slots: 2})
			f.servers = append(f.servers, &fleetServer{service: name, requests: map[time.Duration]int{}})
		}
		f.at(0, func() { f.arrive(name) })
	}
	costs := testCosts
	costs.CrossDataCentreByte, costs.CrossRegionByte = 1.3e-5, 1e-4 // as in edge
	for i := range fleetHosts {
		h := &warmHost{id: model.HostID(fmt.Sprint("h", i)), table: balance.NewTable(balance.Options{
			DataCentre: centreOf(i), Region: regionOf(i), Model: testModel, Costs: costs, Budget: balance.Budget{Ratio: 0.2, Slack: 62, Window: 10 * time.Second},
		})}
		h.table.SetServers(start, list, fleetCentres)
		f.hosts = append(f.hosts, h)
	}
	f.at(0, f.reportLoads)
	for t := time.Duration(0); t < fleetDuration; t += time.Millisecond {
		f.now = start.Add(t)
		for _, run := range f.events[t] {
			run()
		}
		delete(f.events, t)
	}
	return f
}

// used returns the least share, over windows of 2 s after the first 4 s, of the servers of
// a service that are healthy in that and the window before and that receive requests.
func (f *fleetTrial) used(name model.ServiceName) float64 {
	least := 1.0
	for window := time.Duration(2); window < fleetDuration/(2*time.Second); window++ {
		healthy, used := 0.0, 0.0
		for i, s := range f.servers {
			if s.service != name || f.failing(i, (window-1)*2*time.Second) || f.failing(i, window*2*time.Second) || f.failing(i, (window+1)*2*time.Second-1) {
				continue
			}
			healthy++
			if s.requests[window] > 0 {
				used++
			}
		}
		least = min(least, used/healthy)
	}
	return least
}

// sentToFailing returns the share of the requests that must not repeat that failing
// servers received after they had been failing for 2 s.
func (f *fleetTrial) sentToFailing() float64 {
	n := 0
	for i, s := range f.servers {
		for window, requests := range s.requests {
			if s.service != "mixed" && window > 0 && f.failing(i, (window-1)*2*time.Second) && f.failing(i, (window+1)*2*time.Second-1) {
				n += requests
			}
		}
	}
	return float64(n) / float64(f.requests)
}

// Guards against healthy servers without requests in services that have no idempotent ones
// to probe with, and against exploration that sends too many requests that must not repeat
// to servers that fail.
func TestServersWithoutEvidenceReceiveRequests(t *testing.T) {
	for name, failing := range map[string]func(int, time.Duration) bool{
		"single failures": func(int, time.Duration) bool { return false },
		"a quarter fails": func(i int, after time.Duration) bool { return i/4%4 == 1 && after >= 8*time.Second },
		"two thirds fail for 6 s": func(i int, after time.Duration) bool {
			return i%3 > 0 && after >= 8*time.Second && after < 14*time.Second
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := playFleet(failing)
			t.Logf("least share of healthy servers used in 2 s: mixed %.2f, writes %.2f, small %.2f; failed %.4f; sent to failing servers %.4f of %d",
				f.used("mixed"), f.used("writes"), f.used("small"), float64(f.failures)/float64(f.requests), f.sentToFailing(), f.requests)
			g.Expect(f.used("writes")).To(BeNumerically(">=", 0.7))
			g.Expect(f.used("small")).To(BeNumerically(">=", 0.7))
			g.Expect(f.sentToFailing()).To(BeNumerically("<", 0.015))
		})
	}
}
