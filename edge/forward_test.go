package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/edge"
	"github.com/agateusher/agateusher/settings"
	"github.com/agateusher/agateusher/standin/consortium"
)

func always(b consortium.Behaviour) func(*consortium.ReceivedRequest) consortium.Behaviour {
	return func(*consortium.ReceivedRequest) consortium.Behaviour { return b }
}

// firstThen returns behaviour a for the first request and b for later ones.
func firstThen(a, b consortium.Behaviour) func(*consortium.ReceivedRequest) consortium.Behaviour {
	n := 0
	return func(*consortium.ReceivedRequest) consortium.Behaviour {
		if n++; n == 1 {
			return a
		}
		return b
	}
}

// Guards against changes of a request on its way to the server, or of a response on
// its way to the caller.
func TestForwardsUnchanged(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	server := s.server("i-1", service)
	d := s.ready(s.daemon(s.settings("h1")))

	a := s.do(d, request("POST", "/write/a%2Fb//c?q=1&q=%20", "id-1", "payload", "X-Other: yes\r\nConnection: X-Hop\r\nX-Hop: no\r\nAgateusher-Deadline-Ms: 1500\r\n"))
	s.g.Expect(a.status).To(Equal(http.StatusOK))
	s.g.Expect(a.body).To(Equal(consortium.Body("id-1")))
	s.g.Expect(a.header.Get("Agateusher-Response-Signature")).To(Equal("i-1.id-1"))
	s.g.Expect(a.header.Get("Agateusher-Request-Id")).To(Equal("id-1"))
	x := server.Requests()[0]
	s.g.Expect(x.Method + " " + x.Target + " " + x.Host).To(Equal("POST /write/a%2Fb//c?q=1&q=%20 api.example"))
	s.g.Expect(string(x.Body)).To(Equal("payload"))
	s.g.Expect(x.Header.Get("X-Other")).To(Equal("yes"))
	s.g.Expect(x.Header).NotTo(HaveKey("X-Hop"))
	s.g.Expect(x.Header.Get("Agateusher-Target-Instance")).To(Equal("i-1"))
	var left int
	_, err := fmt.Sscan(x.Header.Get("Agateusher-Deadline-Ms"), &left)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(left).To(And(BeNumerically(">", 1000), BeNumerically("<=", 1500)))

	chunked := "POST /write/c HTTP/1.1\r\nHost: api.example\r\nAgateusher-Request-Id: id-2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
	s.g.Expect(s.do(d, chunked).status).To(Equal(http.StatusOK))
	s.g.Expect(string(server.Requests()[1].Body)).To(Equal("abcde"))
}

// Guards against a second run of a non-idempotent request that may have run, and
// against reporting success for an invalid response.
func TestOutcomesOfOneServer(t *testing.T) {
	for _, c := range []struct {
		name      string
		behaviour consortium.Behaviour
		// status is the response to a non-idempotent request if every server behaves
		// like this.
		status int
		// ran is set if the server runs the request.
		ran bool
	}{
		{"good", consortium.Answer, 200, true},
		{"failure", consortium.Fail, 500, true},
		{"shed", consortium.Shed, 503, false},
		{"misdirected", consortium.Misdirect, 503, false},
		{"truncated", consortium.Truncate, 502, true},
		{"reset", consortium.ResetConnection, 502, true},
		{"foreign", consortium.WrongRequestID, 502, true},
		{"unsigned", consortium.Unsigned, 502, true},
		{"encoded", consortium.Encoded, 502, true},
		{"unframed", consortium.Unframed, 200, true},
		{"garbage", consortium.Garbage, 502, true},
		{"extra", consortium.AnswerTwice, 200, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t)
			s.configure(2*time.Second, "")
			one, two := s.server("i-1", service), s.server("i-2", service)
			one.SetBehaviour(always(c.behaviour))
			two.SetBehaviour(always(c.behaviour))
			d := s.ready(s.daemon(s.settings("h1")))
			a := s.write(d, "w")
			s.g.Expect(a.status).To(Equal(c.status))
			want := 0
			if c.ran {
				want = 1
			}
			s.g.Expect(runCount("w", one, two)).To(Equal(want))
			if a.status == http.StatusServiceUnavailable {
				s.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			}
		})
	}
}

// Guards against an idempotent request that fails although another server can
// answer it.
func TestIdempotentRequestsAreRetried(t *testing.T) {
	for _, b := range []consortium.Behaviour{
		consortium.Fail, consortium.Shed, consortium.Misdirect, consortium.Truncate, consortium.ResetConnection,
		consortium.WrongRequestID, consortium.Unsigned, consortium.Encoded, consortium.Garbage, consortium.Hang,
	} {
		t.Run(fmt.Sprint(b), func(t *testing.T) {
			s := newSite(t)
			s.configure(3*time.Second, "")
			s.server("i-1", service).SetBehaviour(always(b))
			s.server("i-2", service)
			d := s.ready(s.daemon(s.settings("h1")))
			for i := range 3 {
				a := s.read(d, fmt.Sprint("r", i))
				s.g.Expect(a.status).To(Equal(http.StatusOK))
				s.g.Expect(a.body).To(Equal(consortium.Body(fmt.Sprint("r", i))))
				s.g.Expect(a.took).To(BeNumerically("<", 1500*time.Millisecond))
			}
		})
	}
}

// Guards against a non-idempotent request that fails because the first server did
// not run it, although it is safe to send it to another.
func TestRequestsThatDidNotRunAreRetried(t *testing.T) {
	for _, b := range []consortium.Behaviour{consortium.Shed, consortium.Misdirect} {
		s := newSite(t)
		s.configure(2*time.Second, "")
		one, two := s.server("i-1", service), s.server("i-2", service)
		// Of all requests, only the first is not run, whichever server receives it.
		once := firstThen(b, consortium.Answer)
		one.SetBehaviour(once)
		two.SetBehaviour(once)
		d := s.ready(s.daemon(s.settings("h1")))
		s.g.Expect(s.write(d, "w").status).To(Equal(http.StatusOK))
		s.g.Expect(one.Requests()).To(HaveLen(1))
		s.g.Expect(two.Requests()).To(HaveLen(1))
		s.g.Expect(runCount("w", one, two)).To(Equal(1))
	}
}

// Guards against trying more servers than max_attempts. After that many refusals, a
// request is only sent again to servers that refused it.
func TestRefusedEverywhere(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	servers := []*consortium.Server{s.server("i-1", service), s.server("i-2", service), s.server("i-3", service)}
	for _, x := range servers {
		x.SetBehaviour(always(consortium.Shed))
	}
	d := s.ready(s.daemon(s.settings("h1")))
	a := s.write(d, "w")
	s.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	tried := 0
	for _, x := range servers {
		if len(x.Requests()) > 0 {
			tried++
		}
	}
	s.g.Expect(tried).To(Equal(2))
}

// Guards against a request that fails because the port of one server is closed.
func TestRefusedConnect(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	closed := s.server("i-1", service)
	closed.Close()
	s.server("i-2", service)
	d := s.ready(s.daemon(s.settings("h1")))
	for i := range 4 {
		s.g.Expect(s.write(d, fmt.Sprint("w", i)).status).To(Equal(http.StatusOK))
	}
}

// Guards against a request that waits longer than the timeout of its route, and
// against reporting a request that hangs at a server as not run.
func TestTimeout(t *testing.T) {
	s := newSite(t)
	s.configure(600*time.Millisecond, "")
	server := s.server("i-1", service)
	server.SetBehaviour(always(consortium.Hang))
	d := s.ready(s.daemon(s.settings("h1")))
	a := s.write(d, "w")
	s.g.Expect(a.status).To(Equal(http.StatusGatewayTimeout))
	s.g.Expect(a.took).To(BeNumerically("~", 600*time.Millisecond, 150*time.Millisecond))
	s.g.Eventually(server.Cancelled).WithTimeout(time.Second).Should(Equal(1))
}

// Guards against work for callers that have disconnected, and against cancelling a
// non-idempotent request that may have taken effect.
func TestCallerDisconnects(t *testing.T) {
	s := newSite(t)
	s.configure(3*time.Second, "")
	server := s.server("i-1", service)
	server.SetServiceTime(800 * time.Millisecond)
	d := s.ready(s.daemon(s.settings("h1")))
	reader, writer := s.dial(d), s.dial(d)
	reader.send(request("GET", "/read/x", "r", "", ""))
	writer.send(request("POST", "/write/x", "w", "payload", ""))
	s.g.Eventually(func() int { return runCount("r", server) + runCount("w", server) }).WithTimeout(time.Second).Should(Equal(2))
	_ = reader.Close()
	_ = writer.Close()
	s.g.Eventually(server.Cancelled).WithTimeout(400 * time.Millisecond).Should(Equal(1))
	s.g.Eventually(func() bool {
		for _, x := range server.Requests() {
			if x.ID == "w" {
				return x.Finished
			}
		}
		return false
	}).WithTimeout(2 * time.Second).Should(BeTrue())
}

// Guards against pipelined requests that run one after the other, and against
// responses out of order.
func TestPipelining(t *testing.T) {
	s := newSite(t)
	s.configure(3*time.Second, "")
	for i := range 3 {
		server := s.server(fmt.Sprint("i-", i), service)
		server.SetServiceTime(250 * time.Millisecond)
	}
	d := s.ready(s.daemon(s.settings("h1")))
	c := s.dial(d)
	var text strings.Builder
	for i := range 5 {
		text.WriteString(request("GET", "/read/x", fmt.Sprint("p", i), "", ""))
	}
	began := time.Now()
	c.send(text.String())
	for i := range 5 {
		s.g.Expect(c.receive().body).To(Equal(consortium.Body(fmt.Sprint("p", i))))
	}
	s.g.Expect(time.Since(began)).To(BeNumerically("<", 4*250*time.Millisecond))
}

// Guards against forwarding requests that exceed the limits, and against request
// smuggling with two Content-Length headers.
func TestLimits(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	server := s.server("i-1", service)
	d := s.ready(s.daemon(s.settings("h1")))
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"header", request("GET", "/read/x", "a", "", "X-Big: "+strings.Repeat("x", 20_000)+"\r\n"), 431},
		{"body", request("POST", "/write/x", "b", strings.Repeat("x", 70_000), ""), 413},
		{"syntax", "GET\r\n\r\n", 400},
		{"two lengths", "POST /write/x HTTP/1.1\r\nHost: api.example\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef", 400},
		{"no route", request("GET", "/nowhere/x", "c", "", ""), 404},
		{"prefix without its slash", request("GET", "/read", "d", "", ""), 404},
	} {
		s.g.Expect(s.do(d, c.text).status).To(Equal(c.status), c.name)
	}
	s.g.Expect(server.Requests()).To(BeEmpty())
}

// Guards against a traffic split that deviates from its weights, and against sending
// requests that one service refused to the other.
func TestSplit(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	one, two := s.server("i-1", service), s.server("i-2", otherService)
	d := s.ready(s.daemon(s.settings("h1")))
	const n = 400
	c := s.dial(d)
	for i := range n {
		c.send(request("GET", "/split/x", fmt.Sprint("s", i), "", ""))
		s.g.Expect(c.receive().status).To(Equal(http.StatusOK))
	}
	s.g.Expect(float64(len(two.Requests())) / n).To(BeNumerically("~", 0.25, 0.1))
	one.SetBehaviour(always(consortium.Shed))
	before := len(two.Requests())
	refused := 0
	for i := range 40 {
		c.send(request("GET", "/split/x", fmt.Sprint("t", i), "", ""))
		if c.receive().status == http.StatusServiceUnavailable {
			refused++
		}
	}
	s.g.Expect(refused + len(two.Requests()) - before).To(Equal(40))
}

// Guards against a surplus second response being returned to the next request.
func TestExtraAnswers(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service).SetBehaviour(firstThen(consortium.AnswerTwice, consortium.Answer))
	d := s.ready(s.daemon(s.settings("h1")))
	c := s.dial(d)
	for i := range 5 {
		id := fmt.Sprint("e", i)
		c.send(request("GET", "/read/x", id, "", ""))
		s.g.Expect(c.receive().body).To(Equal(consortium.Body(id)))
	}
}

// Guards against more retries than the budget that all daemons share.
func TestRetryBudget(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	var servers []*consortium.Server
	for i := range 4 {
		server := s.server(fmt.Sprint("i-", i), service)
		server.SetBehaviour(always(consortium.Fail))
		servers = append(servers, server)
	}
	set1, set2 := s.settings("h1"), s.settings("h2")
	set1.Retries.Slack, set2.Retries.Slack = 10, 10
	d1, d2 := s.ready(s.daemon(set1)), s.ready(s.daemon(set2))
	s.g.Eventually(func() string { return d1.log.String() + d2.log.String() }).WithTimeout(3 * time.Second).ShouldNot(BeEmpty())
	time.Sleep(1500 * time.Millisecond) // until both daemons have read the registry
	const n = 100
	for i := range n {
		d := d1
		if i%2 == 0 {
			d = d2
		}
		s.read(d, fmt.Sprint("b", i))
	}
	arrivals := 0
	for _, x := range servers {
		arrivals += len(x.Requests())
	}
	s.g.Expect(arrivals - n).To(And(BeNumerically(">", 5), BeNumerically("<=", 0.2*n+10)))
}

// Guards against hedged requests that do not count towards the retry budget.
func TestHedgesUseRetryBudget(t *testing.T) {
	s := newSite(t)
	s.configure(3*time.Second, "")
	var servers []*consortium.Server
	for i := range 16 {
		server := s.server(fmt.Sprint("i-", i), service)
		server.SetServiceTime(800 * time.Millisecond)
		servers = append(servers, server)
	}
	set := s.settings("h1")
	set.Retries = edge.RetrySettings{Ratio: 0, Slack: 4, Window: settings.Duration(time.Second)}
	d := s.ready(s.daemon(set))
	time.Sleep(1100 * time.Millisecond) // until the whole slack is available
	const n = 12
	var callers []*caller
	for i := range n {
		c := s.dial(d)
		c.send(request("GET", "/read/x", fmt.Sprint("r", i), "", ""))
		callers = append(callers, c)
	}
	for _, c := range callers {
		s.g.Expect(c.receive().status).To(Equal(http.StatusOK))
	}
	arrivals := 0
	for _, x := range servers {
		arrivals += len(x.Requests())
	}
	s.g.Expect(arrivals - n).To(And(BeNumerically(">", 0), BeNumerically("<=", 4)))
}

// Guards against counting attempts at addresses that were reused by another server:
// three such entries would use up the attempts of a request.
func TestMisdirectedDoesNotCountAsAttempt(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	good := s.server("i-1", service)
	for i := range 3 {
		spec, status := good.Entry(service, zone, "in_service", 2)
		s.store.Put("servers", fmt.Sprint("i-gone-", i), spec, status)
	}
	d := s.ready(s.daemon(s.settings("h1")))
	for i := range 5 {
		s.g.Expect(s.write(d, fmt.Sprint("w", i)).status).To(Equal(http.StatusOK))
	}
}

// Guards against replacing the failure response of a server by one of the daemon
// when no second server can be tried.
func TestServersFailureIsReturned(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service).SetBehaviour(always(consortium.Fail))
	d := s.ready(s.daemon(s.settings("h1")))
	a := s.read(d, "r")
	s.g.Expect(a.status).To(Equal(http.StatusInternalServerError))
	s.g.Expect(a.header.Get("Agateusher-Response-Signature")).NotTo(BeEmpty())
}

// Guards against request smuggling when a server responds before it has read a long
// body: the rest of the body must not reach a server as another request.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	server := s.server("i-1", service)
	server.SetBehaviour(firstThen(consortium.AnswerEarly, consortium.Answer))
	d := s.ready(s.daemon(s.settings("h1")))
	smuggled := request("GET", "/read/smuggled", "smuggled", "", "")
	body := strings.Repeat(smuggled, 400)
	a := s.do(d, request("POST", "/write/x", "w", body, ""))
	s.g.Expect(a.status).To(Equal(http.StatusRequestEntityTooLarge))
	s.g.Expect(a.header.Get("Agateusher-Response-Signature")).To(Equal("i-1.w"))
	s.g.Expect(s.read(d, "r").status).To(Equal(http.StatusOK))
	s.g.Expect(server.Requests()).To(HaveLen(2))
	s.g.Consistently(func() bool { return strings.HasPrefix(body, string(server.Requests()[0].Body)) }, "200ms").Should(BeTrue())
}
