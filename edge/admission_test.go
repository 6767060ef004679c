package edge_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/standin/consortium"
)

// shedUntil makes all servers reject every attempt until end.
func shedUntil(end time.Time, servers []*consortium.Server) {
	for _, server := range servers {
		server.SetBehaviour(func(*consortium.ReceivedRequest) consortium.Behaviour {
			if time.Now().Before(end) {
				return consortium.Shed
			}
			return consortium.Answer
		})
	}
}

func (s *site) servers(n int) (list []*consortium.Server) {
	for i := range n {
		list = append(list, s.server(fmt.Sprint("i-", i), service))
	}
	return list
}

// Guards against requests that are refused after a few attempts within 0.15 s although
// the whole service accepts again long before their deadline, and against repeats
// beyond the budget.
func TestRequestsAreHeldWhileServiceSheds(t *testing.T) {
	s := newSite(t)
	s.configure(4*time.Second, "")
	servers := s.servers(6)
	set := s.settings("h1")
	set.Retries.Slack = 300 // the budget covers one repeat of each rejected request
	d := s.ready(s.daemon(set))
	s.callAll([]*daemon{d}, 12*time.Millisecond, time.Now().Add(1500*time.Millisecond))
	before := 0
	for _, server := range servers {
		before += len(server.Requests())
	}
	began := time.Now()
	shedUntil(began.Add(700*time.Millisecond), servers)
	sent, served := s.callAll([]*daemon{d}, 12*time.Millisecond, began.Add(1500*time.Millisecond))
	s.g.Expect(served).To(BeNumerically(">=", sent*85/100), "served of %d", sent)
	arrivals := -before
	for _, server := range servers {
		arrivals += len(server.Requests())
	}
	s.g.Expect(arrivals-sent).To(BeNumerically("<=", int(0.2*float64(sent))+300), "arrivals beyond the first of %d requests", sent)
	s.g.Expect(d.log.String()).To(ContainSubstring(`held="held released`))
}

// startHolding sends requests until the daemon holds them, and returns a caller with a
// held request.
func (s *site) startHolding(d *daemon, id string) *caller {
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Go(func() {
			c := s.dial(d)
			c.send(request("GET", "/read/x", fmt.Sprint("fill-", i), "", ""))
		})
	}
	wait.Wait()
	time.Sleep(300 * time.Millisecond)
	c := s.dial(d)
	c.send(request("POST", "/write/x", id, "payload", ""))
	time.Sleep(300 * time.Millisecond)
	return c
}

// Guards against a held request that is sent although its caller has left, and against
// a planned shutdown that leaves held requests without a response.
func TestHeldRequestsEndWithCallerAndDaemon(t *testing.T) {
	s := newSite(t)
	s.configure(6*time.Second, "")
	servers := s.servers(3)
	set := s.settings("h1")
	set.Retries.Slack = 300 // the budget covers the held requests
	d := s.ready(s.daemon(set))
	shedUntil(time.Now().Add(3*time.Second), servers)
	stays, left := s.startHolding(d, "stays"), s.startHolding(d, "left")
	_ = left.Close()
	time.Sleep(100 * time.Millisecond)
	d.stop()
	s.g.Expect(stays.receive().status).To(Equal(503))
	s.g.Expect(runCount("left", servers...)).To(BeZero())
	s.g.Eventually(d.log.String).WithTimeout(3 * time.Second).Should(MatchRegexp(`held="[^"]*abandoned[^"]*"[^\n]* id=left`))
	s.g.Eventually(d.log.String).WithTimeout(3 * time.Second).Should(MatchRegexp(`held="[^"]*released[^"]*"[^\n]* id=stays`))
}
