package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/settings"
)

// sendRaw writes raw bytes to an entry and returns the response, or nil if the
// connection closes without one.
func sendRaw(t *testing.T, address, text string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", address)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	NewWithT(t).Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = io.WriteString(c, text)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil
	}
	return resp
}

// Guards against malformed, oversized or slow requests that crash an entry, reach a
// backend server or keep a connection open forever.
func TestBadInput(t *testing.T) {
	f := newTestFleet(t, 1, 2, func(s *Settings) {
		s.Limits.MaxHeaderBytes = 4 << 10
		s.Limits.MaxRequestBytes = 1 << 10
		s.Limits.HeaderTimeout = settings.Duration(300 * time.Millisecond)
		s.Limits.ReadTimeout = settings.Duration(600 * time.Millisecond)
	})
	entry := f.nodes[0].caller
	long := strings.Repeat("x", 16<<10)
	cases := []struct {
		name, request, reason string
		status                int // 0 if the connection closes without a response
	}{
		{"malformed request line", "GARBAGE\r\n\r\n", "", http.StatusBadRequest},
		{"malformed header", "GET /spaces/1 HTTP/1.1\r\nHost: a\r\nbad header\r\n\r\n", "", http.StatusBadRequest},
		{"oversized header", "GET /spaces/1 HTTP/1.1\r\nHost: a\r\nX-Long: " + long + "\r\n\r\n", "", http.StatusRequestHeaderFieldsTooLarge},
		{"slow header", "GET /spaces/1 HTTP/1.1\r\nHost: a\r\n", "", 0},
		{"unknown route", "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", "no-route", http.StatusNotFound},
		{"oversized body", fmt.Sprintf("GET /spaces/1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(long), long), "bad-request", http.StatusBadRequest},
		{"body shorter than its length", "GET /spaces/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", "bad-request", http.StatusBadRequest},
		{"two lengths", "POST /payments HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "", http.StatusBadRequest},
		{"no key", "POST /payments HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "key-missing", http.StatusBadRequest},
		{"keys with a wrong method", "GET /.well-known/agateusher/keys HTTP/1.1\r\nHost: a\r\n\r\n", "bad-request", http.StatusBadRequest},
		{"too many keys", "POST /.well-known/agateusher/keys HTTP/1.1\r\nHost: a\r\nContent-Length: 53\r\n\r\n" + `{"method":"POST","path":"/payments","count":10000000}`, "bad-request", http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			resp := sendRaw(t, entry, c.request)
			if c.status == 0 {
				// net/http either responds to a slow header with 408 or just closes
				// the connection.
				g.Expect(resp == nil || resp.StatusCode == http.StatusRequestTimeout).To(BeTrue())
				return
			}
			g.Expect(resp).NotTo(BeNil())
			g.Expect(resp.StatusCode).To(Equal(c.status))
			g.Expect(resp.Header.Get(fleet.HeaderReason)).To(Equal(c.reason))
		})
	}
	for _, l := range f.backends.Listings() {
		log, _ := f.backends.Server(l.ID).Executions(time.Time{})
		NewWithT(t).Expect(log).To(BeEmpty(), "a bad request reached a backend server")
	}
	r, err := send("GET", entry, "/spaces/1", "", nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(r.outcome).To(Equal("answered"))
}

// Guards against a request with an expired key that is executed.
func TestExpiredKey(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 1, 2, func(s *Settings) { s.Keys.Lifetime = settings.Duration(200 * time.Millisecond) })
	key := issueKeys(t, f.nodes[0].caller, 1)[0]
	_, err := idempotency.Decode(key)
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(300 * time.Millisecond)
	r, err := send("POST", f.nodes[0].caller, "/payments", key, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.outcome).To(Equal("unknown"))
	g.Expect(r.reason).To(Equal("key-expired"))
	g.Expect(f.executions()[key]).To(BeZero())
}
