package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/standin/consortium"
)

// atlasRoute leads to otherService.
const atlasRoute = `,"r-atlas":{"host":"api.example","path_prefix":"/atlas/","route_type":"idempotent","timeout_ms":4000,"target_latency_ms":500,"priority":2,"service":"atlas","max_attempts":2}`

// longResponse starts a daemon and a caller that has received the first byte of a long
// response, whose server behaves like b.
func (s *site) longResponse(b consortium.Behaviour) (c *caller, atlas *consortium.Server) {
	s.t.Helper()
	s.configure(3*time.Second, downloadRoute+atlasRoute)
	s.server("i-1", service).SetBehaviour(always(b))
	atlas = s.server("i-2", otherService)
	c = s.dial(s.ready(s.daemon(s.settings("h1"))))
	c.send(request("GET", "/get/x", "long", "", ""))
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	_, err := c.reader.Peek(1)
	s.g.Expect(err).NotTo(HaveOccurred())
	return c, atlas
}

// receiveContinue expects an interim response.
func (c *caller) receiveContinue() {
	resp, err := http.ReadResponse(c.reader, nil)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(resp.StatusCode).To(Equal(http.StatusContinue))
}

// Guards against "100 Continue" inside the body of an earlier response, and against a
// caller that waits for it behind a long response and never gets it.
func TestContinueFollowsEarlierResponses(t *testing.T) {
	s := newSite(t)
	c, atlas := s.longResponse(consortium.LargePaused)
	c.send(request("PUT", "/atlas/x", "put", "", "Expect: 100-continue\r\nContent-Length: 4\r\n"))
	s.g.Expect(c.receive().body == consortium.LargeBody("long")).To(BeTrue())
	c.receiveContinue()
	c.send("body")
	s.g.Expect(c.receive().body).To(Equal(consortium.Body("put")))
	s.g.Expect(string(atlas.Requests()[0].Body)).To(Equal("body"))
}

// Guards against an interim response to a caller that has sent its body already, and
// against one after the final response has begun.
func TestNoContinueWhenNotNeeded(t *testing.T) {
	s := newSite(t)
	c, _ := s.longResponse(consortium.LargePaused)
	c.send(request("PUT", "/atlas/x", "put", "", "Expect: 100-continue\r\nContent-Length: 4\r\n") + "body")
	c.send(request("PUT", "/atlas/x", "empty", "", "Expect: 100-continue\r\nContent-Length: 0\r\n"))
	c.send(request("PUT", "/atlas/x", "huge", "", "Expect: 100-continue\r\nContent-Length: 4000000\r\n"))
	s.g.Expect(c.receive().body == consortium.LargeBody("long")).To(BeTrue())
	s.g.Expect(c.receive().body).To(Equal(consortium.Body("put")))
	s.g.Expect(c.receive().body).To(Equal(consortium.Body("empty")))
	huge := c.receive()
	s.g.Expect(huge.status).To(Equal(http.StatusRequestEntityTooLarge))
	s.g.Expect(huge.close).To(BeTrue())
}

// Guards against a response to HEAD without a length that carries "Connection: close"
// on a connection that goes on: callers send the requests behind it again.
func TestHeadWithoutLengthKeepsConnection(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	server := s.server("i-1", service)
	server.SetBehaviour(func(x *consortium.ReceivedRequest) consortium.Behaviour {
		if x.Method == http.MethodHead {
			return consortium.HeadOnly
		}
		return consortium.Answer
	})
	c := s.dial(s.ready(s.daemon(s.settings("h1"))))
	c.send(request("HEAD", "/read/x", "head", "", "") + request("GET", "/read/x", "get", "", ""))
	head, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(head.StatusCode).To(Equal(http.StatusOK))
	s.g.Expect(head.Header.Get("Agateusher-Response-Signature")).To(Equal("i-1.head"))
	s.g.Expect(head.Close).To(BeFalse())
	s.g.Expect(head.ContentLength).To(Equal(int64(-1)))
	s.g.Expect(head.TransferEncoding).To(BeEmpty())
	s.g.Expect(c.receive().body).To(Equal(consortium.Body("get")))
}

// Guards against an interim response that is written with the write deadline of the
// last response, fails for that, and cancels another request of the connection.
func TestWriteDeadlineDoesNotCarryOver(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Put("config", "main", fmt.Sprintf(`{"version":1,"routes":{`+routes+atlasRoute+`},"services":{},"limits":{"max_header_bytes":8192,"max_body_bytes":65536,"header_timeout_ms":500,"idle_timeout_ms":20000}}`, 3000), "")
	server := s.server("i-1", service)
	s.server("i-2", otherService)
	c := s.dial(s.ready(s.daemon(s.settings("h1"))))
	c.send(request("GET", "/read/x", "first", "", ""))
	s.g.Expect(c.receive().status).To(Equal(http.StatusOK))
	time.Sleep(10500 * time.Millisecond) // the time limit of a write is 10 s
	server.SetServiceTime(300 * time.Millisecond)
	c.send(request("GET", "/read/x", "second", "", "") + request("PUT", "/atlas/x", "put", "", "Expect: 100-continue\r\nContent-Length: 4\r\n"))
	s.g.Expect(c.receive().body).To(Equal(consortium.Body("second")))
	c.receiveContinue()
	c.send("body")
	s.g.Expect(c.receive().body).To(Equal(consortium.Body("put")))
}

// Guards against requests that were forwarded to a sound server and get no response
// because an earlier response on their connection breaks off.
func TestBrokenResponseDoesNotTakeOthersAlong(t *testing.T) {
	s := newSite(t)
	s.configure(3*time.Second, downloadRoute+atlasRoute)
	s.server("i-1", service).SetBehaviour(always(consortium.LargeTruncated))
	s.server("i-2", otherService).SetServiceTime(50 * time.Millisecond)
	d := s.ready(s.daemon(s.settings("h1")))
	for i := range 3 {
		c := s.dial(d)
		text := request("GET", "/get/x", fmt.Sprint("long", i), "", "")
		for j := range 4 {
			text += request("GET", "/atlas/x", fmt.Sprint("short", i, j), "", "")
		}
		c.send(text)
		s.g.Expect(c.receive().status).To(Equal(http.StatusBadGateway))
		for j := range 4 {
			s.g.Expect(c.receive().body).To(Equal(consortium.Body(fmt.Sprint("short", i, j))))
		}
	}
}

// Guards against requests that are forwarded while an earlier response is streamed and
// get no response if it breaks off. The caller may send those that were not forwarded
// again.
func TestRequestsWaitForStreamedResponse(t *testing.T) {
	for b, whole := range map[consortium.Behaviour]bool{consortium.LargePaused: true, consortium.LargeStalled: false} {
		s := newSite(t)
		c, atlas := s.longResponse(b)
		c.send(request("GET", "/atlas/x", "behind", "", "") + request("GET", "/atlas/x", "late", "", "Agateusher-Deadline-Ms: 100\r\n"))
		time.Sleep(consortium.LargePause / 2)
		s.g.Expect(atlas.Requests()).To(BeEmpty())
		resp, err := http.ReadResponse(c.reader, nil)
		s.g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		s.g.Expect(strings.HasPrefix(consortium.LargeBody("long"), string(body))).To(BeTrue())
		if whole {
			s.g.Expect(err).NotTo(HaveOccurred())
			s.g.Expect(c.receive().body).To(Equal(consortium.Body("behind")))
			s.g.Expect(c.receive().status).To(Equal(http.StatusServiceUnavailable))
			s.g.Expect(atlas.Requests()).To(HaveLen(1))
			continue
		}
		s.g.Expect(err).To(HaveOccurred())
		s.g.Expect(atlas.Requests()).To(BeEmpty())
	}
}

// Guards against a caller that disconnects with more pipelined requests than the daemon
// keeps in progress and is noticed only when one of them ends.
func TestDisconnectBehindFullPipelineIsNoticed(t *testing.T) {
	s := newSite(t)
	s.configure(4*time.Second, "")
	server := s.server("i-1", service)
	server.SetBehaviour(always(consortium.Hang))
	c := s.dial(s.ready(s.daemon(s.settings("h1"))))
	for i := range 80 {
		c.send(request("GET", "/read/x", fmt.Sprint("p", i), "", "Agateusher-Deadline-Ms: 4000\r\n"))
	}
	s.g.Eventually(server.Requests).WithTimeout(2 * time.Second).ShouldNot(BeEmpty())
	time.Sleep(100 * time.Millisecond)
	_ = c.Close()
	time.Sleep(500 * time.Millisecond)
	arrived := len(server.Requests())
	s.g.Eventually(server.Cancelled).WithTimeout(100 * time.Millisecond).Should(Equal(arrived))
	s.g.Consistently(func() int { return len(server.Requests()) }).WithTimeout(300 * time.Millisecond).Should(Equal(arrived))
}
