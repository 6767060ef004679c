package edge_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/standin/consortium"
)

const (
	// limitGrace is how long after a limit was first named it must be kept.
	limitGrace = 4 * time.Second
	// limitSpan is the sliding span over which requests are counted against a limit.
	limitSpan = 4 * time.Second
)

// allowedWithin returns how many requests a server with the limit, in requests per
// second, may get within limitSpan from all hosts together.
func allowedWithin(perSecond float64) int { return int(1.5*perSecond*limitSpan.Seconds()) + 5 }

// mostWithin returns the largest number of requests that a server got within limitSpan,
// between two times.
func mostWithin(s *consortium.Server, from, to time.Time) int {
	most := 0
	var window []time.Time
	for _, r := range s.Requests() {
		if r.At.Before(from) || r.At.After(to) {
			continue
		}
		window = append(window, r.At)
		for r.At.Sub(window[0]) >= limitSpan {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

// callAll sends requests to the daemons in turn, one each interval, until a time, and
// returns how many were answered 200.
func (s *site) callAll(daemons []*daemon, interval time.Duration, until time.Time) (sent, served int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i := 0; time.Now().Before(until); i++ {
		wait.Go(func() {
			c := s.dial(daemons[i%len(daemons)])
			defer func() { _ = c.Close() }()
			path, method := "/read/x", "GET"
			if i%3 == 0 {
				path, method = "/write/x", "POST"
			}
			c.send(request(method, path, fmt.Sprintf("q-%d-%d", until.UnixNano(), i), "", ""))
			status := c.receive().status
			mu.Lock()
			defer mu.Unlock()
			sent++
			if status == 200 {
				served++
			}
		})
		time.Sleep(interval)
	}
	wait.Wait()
	return sent, served
}

// Guards against hosts that each know of a server's rate limit and together exceed it,
// against a limited server that gets no requests, and against one that gets no more than
// before once it names no limit.
func TestServerLimitHoldsForAllHosts(t *testing.T) {
	const perSecond = 2
	s := newSite(t)
	s.configure(4*time.Second, "")
	limited, others := s.server("i-limited", service), []*consortium.Server{s.server("i-b", service), s.server("i-c", service)}
	for _, server := range append(others, limited) {
		server.SetServiceTime(60 * time.Millisecond) // the other servers have 4 slots for 5 requests at a time
	}
	var daemons []*daemon
	for i := range 6 {
		daemons = append(daemons, s.daemon(s.settings(fmt.Sprint("host-", i))))
	}
	for _, d := range daemons {
		s.ready(d)
	}
	limited.SetLimit(fmt.Sprint(perSecond))
	started := time.Now()
	const limitTime = 11 * time.Second
	sent, served := s.callAll(daemons, 12*time.Millisecond, started.Add(limitTime))
	from := started.Add(limitGrace)
	s.g.Expect(mostWithin(limited, from, time.Now())).To(BeNumerically("<=", allowedWithin(perSecond)))
	got := 0
	for _, r := range limited.Requests() {
		if r.At.After(from) {
			got++
		}
	}
	s.g.Expect(got).To(BeNumerically(">=", int(0.75*perSecond*(limitTime-limitGrace).Seconds())), "requests at the limited server")
	s.g.Expect(served).To(BeNumerically(">=", sent*95/100), "served of %d", sent)

	limited.SetLimit("")
	before := len(limited.Requests())
	s.callAll(daemons, 12*time.Millisecond, time.Now().Add(4*time.Second))
	s.g.Expect(len(limited.Requests())-before).To(BeNumerically(">=", 4*4*perSecond), "requests after the limit ended")
}
