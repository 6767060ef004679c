package edge_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/standin/consortium"
)

// smallestHostMiB is the memory of the smallest host, in MiB.
const smallestHostMiB = 136

// checkBroken lets two servers send a broken response, in which ID stands for the
// identifier of the request, and checks that no caller gets it or what follows it.
func checkBroken(t *testing.T, text string) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	broken := []*consortium.Server{s.server("i-1", service), s.server("i-2", service)}
	for _, server := range broken {
		server.SetCustom(text)
		server.SetBehaviour(always(consortium.Custom))
	}
	d := s.ready(s.daemon(s.settings("h1")))
	for i := range 4 {
		id := fmt.Sprint("w-", i)
		resp := s.write(d, id)
		s.g.Expect(resp.status).To(Equal(http.StatusBadGateway), "%q", resp.body)
		s.g.Expect(resp.header).NotTo(HaveKey("Agateusher-Response-Signature"))
		s.g.Expect(runCount(id, broken...)).To(Equal(1), "a request that must not repeat")
		s.g.Expect(s.read(d, fmt.Sprint("r-", i)).status).To(Equal(http.StatusBadGateway))
	}
	for _, server := range broken {
		server.SetBehaviour(always(consortium.Answer))
	}
	for i := range 8 {
		id := fmt.Sprint("sound-", i)
		s.g.Eventually(func() int { return s.read(d, id).status }).WithTimeout(5 * time.Second).Should(Equal(http.StatusOK))
		s.g.Expect(s.read(d, id).body).To(Equal(consortium.Body(id)))
	}
}

// Guards against a status that is none, or not that of a final response, and reaches the
// caller.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "+20", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			checkBroken(t, "HTTP/1.1 "+status+" Status\r\nAgateusher-Request-Id: ID\r\nAgateusher-Response-Signature: x\r\nContent-Length: 4\r\n\r\nbody")
		})
	}
}

// Guards against a field name with a blank or a control byte: its line, or a body that has
// another end than its server meant, reaches the caller.
func TestInvalidFieldNames(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAgateusher-Request-Id: ID\r\nAgateusher-Response-Signature: x\r\n"
	for name, lines := range map[string]string{
		"length":       "Content-Length : 4\r\n",
		"coding":       "Transfer-Encoding : chunked\r\nContent-Length: 4\r\n",
		"blank":        "Odd Name: x\r\nContent-Length: 4\r\n",
		"folded":       " Odd-Name: x\r\nContent-Length: 4\r\n",
		"tab":          "Odd\tName: x\r\nContent-Length: 4\r\n",
		"control byte": "Odd\x01Name: x\r\nContent-Length: 4\r\n",
		"zero byte":    "Odd-Name\x00: x\r\nContent-Length: 4\r\n",
		"refusal":      "Agateusher-Not-Executed : 1\r\nContent-Length: 4\r\n",
		"no execution": "Agateusher-Not-Executed: 1\r\nOdd Name: x\r\nContent-Length: 4\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkBroken(t, head+lines+"\r\nbody") })
	}
}

// Guards against a server that stops in the middle of the head of its response and closes the
// connection, and whose response reaches the caller with an empty or a short body.
func TestHeadsThatEnd(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nAgateusher-Request-Id: ID\r\nAgateusher-Response-Signature: x\r\nContent-Length: 14\r\n\r\n",
		"chunks":  "HTTP/1.1 200 OK\r\nAgateusher-Request-Id: ID\r\nAgateusher-Response-Signature: x\r\nTransfer-Encoding: chunked\r\n\r\n",
		"close":   "HTTP/1.1 200 OK\nConnection: close\nAgateusher-Request-Id: ID\nAgateusher-Response-Signature: x\n\n",
		"refusal": "HTTP/1.1 503 Busy\r\nAgateusher-Not-Executed: 1\r\nAgateusher-Request-Id: ID\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.configure(2*time.Second, "")
			server := s.server("i-1", service)
			d := s.ready(s.daemon(s.settings("h1")))
			for end := range len(head) {
				server.SetCustom(head[:end])
				server.SetBehaviour(always(consortium.CustomEnd))
				id := fmt.Sprint("w-", end)
				status := s.write(d, id).status
				if ran := runCount(id, server); ran != 0 {
					s.g.Expect(status).To(Equal(http.StatusBadGateway), "%q", head[:end])
				} else {
					s.g.Expect(status).To(Equal(http.StatusServiceUnavailable), "%q", head[:end])
				}
				c := s.dial(d)
				c.send(request("HEAD", "/read/x", fmt.Sprint("h-", end), "", ""))
				line, err := c.reader.ReadString('\n')
				s.g.Expect(err).NotTo(HaveOccurred())
				s.g.Expect(line).NotTo(ContainSubstring(" 200 "), "%q", head[:end])
			}
		})
	}
}

// Guards against a request with a field name that is none: it is forwarded without its body,
// which then runs as another request, or its failure counts as that of a server.
func TestInvalidFieldNamesOfRequests(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	server := s.server("i-1", service)
	d := s.ready(s.daemon(s.settings("h1")))
	inner := request("GET", "/read/x", "inner", "", "")
	for _, line := range []string{fmt.Sprintf("Content-Length : %d", len(inner)), "Transfer-Encoding : chunked", "Odd Name: x", "Odd\tName: x", "Odd\x01Name: x"} {
		c := s.dial(d)
		c.send(request("POST", "/write/x", "outer", "", line+"\r\n") + inner)
		a := c.receive()
		s.g.Expect(a.status).To(Equal(http.StatusBadRequest), line)
		s.g.Expect(a.close).To(BeTrue(), line)
	}
	time.Sleep(50 * time.Millisecond)
	s.g.Expect(server.Requests()).To(BeEmpty())
	s.g.Expect(d.log.String()).NotTo(ContainSubstring("server_suspected"))
}

// Guards against a server that sends bytes without end, as a head or as a body of any
// status, to many requests at once: the daemon's memory stays bounded, and its other
// requests are served.
func TestEndlessBytesToMany(t *testing.T) {
	const requests = 20
	const named = "Agateusher-Request-Id: ID\r\nAgateusher-Response-Signature: x\r\n"
	for name, text := range map[string]string{
		"garbage":        "\x00\x01 this is no answer",
		"status":         "HTTP/1.1 200 ",
		"field":          "HTTP/1.1 200 OK\r\n" + named + "Filler: ",
		"body":           "HTTP/1.1 200 OK\r\n" + named + "\r\n",
		"long body":      "HTTP/1.1 200 OK\r\n" + named + "Content-Length: 9000000000000000000\r\n\r\n",
		"failure":        "HTTP/1.1 500 Internal Server Error\r\n" + named + "\r\n",
		"refusal":        "HTTP/1.1 503 Service Unavailable\r\nAgateusher-Not-Executed: 1\r\n\r\n",
		"other server":   "HTTP/1.1 421 Misdirected Request\r\n\r\n",
		"other request":  "HTTP/1.1 200 OK\r\nAgateusher-Request-Id: other\r\nAgateusher-Response-Signature: x\r\n\r\n",
		"no content":     "HTTP/1.1 204 No Content\r\n" + named + "\r\n",
		"after response": "HTTP/1.1 200 OK\r\n" + named + "Content-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.configure(1500*time.Millisecond, "")
			endless := s.server("i-1", service)
			endless.SetCustom(text)
			endless.SetBehaviour(always(consortium.CustomEndless))
			s.server("i-2", otherService)
			set := s.settings("h1")
			set.MemoryMiB = smallestHostMiB
			d := s.ready(s.daemon(set))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var wait sync.WaitGroup
			for i := range requests {
				c := s.dial(d)
				c.send(request("POST", "/write/x", fmt.Sprint("w-", i), "payload", "Agateusher-Deadline-Ms: 1500\r\n"))
				wait.Go(func() {
					_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
					resp, err := http.ReadResponse(c.reader, nil)
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
					}
					s.g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), "a response without an end")
				})
			}
			wait.Wait()
			runtime.ReadMemStats(&after)
			// All allocations, as in TestEndlessBytes.
			s.g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", smallestHostMiB<<20/4))
			s.g.Expect(endless.Requests()).NotTo(BeEmpty())
		})
	}
}

// Guards against odd entries of another writer among those of the servers, with which a
// daemon does not start, ends, or stops following the others. An entry that replaces that of a
// server takes it out of use.
func TestOddEntries(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	first := s.server("i-1", service)
	spec, status := first.Entry(service, zone, "in_service", 2)
	for i, change := range []func(string) string{
		func(t string) string {
			return strings.Replace(t, `"capacity":2`, `"capacity":`+strings.Repeat("[", 20000)+strings.Repeat("]", 20000), 1)
		},
		func(t string) string { return strings.Replace(t, `"capacity":2`, `"capacity":1e400`, 1) },
		func(t string) string { return strings.Replace(t, `"capacity":2`, `"capacity":9223372036854775807`, 1) },
		func(t string) string { return strings.Replace(t, first.Address(), "127.0.0.1:65536", 1) },
		func(string) string { return strings.Repeat(`{"a":`, 200000) + "1" + strings.Repeat("}", 200000) },
	} {
		name := fmt.Sprint("i-odd-", i)
		s.store.PutRaw("servers", name, fmt.Sprintf(`{"metadata":{"name":%q,"revision":3},"spec":%s,"status":%s}`, name, change(spec), status))
	}
	d := s.ready(s.daemon(s.settings("h1")))
	s.g.Expect(s.read(d, "r-1").status).To(Equal(http.StatusOK))
	second := s.server("i-2", service)
	s.g.Eventually(func() int {
		s.g.Expect(s.read(d, "r-2").status).To(Equal(http.StatusOK))
		return len(second.Requests())
	}).WithTimeout(3 * time.Second).Should(BeNumerically(">", 0))
	s.store.PutRaw("servers", "i-1", `{"metadata":{"name":"i-1"},"spec":`+strings.Repeat("[", 20000)+strings.Repeat("]", 20000)+`}`)
	time.Sleep(2500 * time.Millisecond) // config_apply_ms of the deployments
	before := len(first.Requests())
	for i := range 20 {
		s.g.Expect(s.read(d, fmt.Sprint("r-3-", i)).status).To(Equal(http.StatusOK))
	}
	s.g.Expect(first.Requests()).To(HaveLen(before))
}
