package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// limited configures limits of callers' requests and connections.
func (s *site) limited(header, body int, headerTimeout, idle time.Duration) {
	s.version++
	s.store.Put("config", "main", fmt.Sprintf(`{"version":%[2]d,"routes":{`+routes+`},"services":{},"limits":{"max_header_bytes":%[3]d,"max_body_bytes":%[4]d,"header_timeout_ms":%[5]d,"idle_timeout_ms":%[6]d}}`,
		2000, s.version, header, body, headerTimeout.Milliseconds(), idle.Milliseconds()), "")
}

// Guards against a connection that was opened before the first configuration and keeps the
// idle timeout that holds without one.
func TestIdleTimeoutOfTheFirstConfiguration(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.server("i-1", service)
	d := s.daemon(s.settings("h-1"))
	var c *caller
	s.g.Eventually(func() error {
		socket, err := net.Dial("tcp4", d.settings.Listeners.Caller)
		if err == nil {
			c = &caller{Conn: socket}
		}
		return err
	}).Should(Succeed())
	defer func() { _ = c.Close() }()
	time.Sleep(100 * time.Millisecond)
	s.limited(8192, 4096, 300*time.Millisecond, 500*time.Millisecond)
	s.ready(d)
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err := c.Read(make([]byte, 1))
	s.g.Expect(err).To(MatchError(io.EOF))
}

// Guards against kept connections whose next request is judged by the limits of an earlier
// configuration: those that were in force when the connection became idle.
func TestLimitsOnKeptConnections(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.limited(8192, 4096, 300*time.Millisecond, 1500*time.Millisecond)
	s.server("i-1", service)
	d := s.ready(s.daemon(s.settings("h-1")))
	kept := func() *caller {
		c := s.dial(d)
		c.send(request("GET", "/read/x", "first", "", ""))
		s.g.Expect(c.receive().status).To(Equal(http.StatusOK))
		return c
	}
	conns := make([]*caller, 5)
	for i := range conns {
		conns[i] = kept()
	}
	began := time.Now()
	body, wide := strings.Repeat("x", 7200), "X-Wide: "+strings.Repeat("x", 14000)+"\r\n"
	s.limited(20000, 16384, time.Second, 4*time.Second)
	time.Sleep(2 * time.Second) // beyond the earlier idle timeout
	for i, text := range []string{
		request("POST", "/write/x", "body", body, ""),
		request("POST", "/write/x", "chunks", "", "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		request("GET", "/read/x", "header", "", wide),
	} {
		conns[i].send(text)
		s.g.Expect(conns[i].receive().status).To(Equal(http.StatusOK), "request %d", i)
	}
	slow := request("GET", "/read/x", "slow", "", "")
	conns[3].send(slow[:20])
	time.Sleep(600 * time.Millisecond) // beyond the earlier header timeout
	conns[3].send(slow[20:])
	s.g.Expect(conns[3].receive().status).To(Equal(http.StatusOK))

	// Lower limits hold as well, the idle timeout also while a connection is idle.
	s.limited(8192, 4096, 300*time.Millisecond, 500*time.Millisecond)
	s.g.Eventually(func() error {
		_ = conns[4].SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := conns[4].Read(make([]byte, 1))
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return nil
		}
		return err
	}).WithTimeout(4*time.Second - time.Since(began) - 200*time.Millisecond).Should(HaveOccurred())
	c := kept()
	c.send(request("POST", "/write/x", "large", body, ""))
	s.g.Expect(c.receive().status).To(Equal(http.StatusRequestEntityTooLarge))
}
