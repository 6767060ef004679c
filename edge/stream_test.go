package edge_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/standin/consortium"
)

const downloadRoute = `,"r-get":{"host":"api.example","path_prefix":"/get/","route_type":"download","timeout_ms":1500,"target_latency_ms":600,"priority":2,"service":"registry","max_attempts":2}`

// download sends a request of the download route and returns the response with as
// much of its body as arrived; err is that of the body.
func (s *site) download(d *daemon, method, id string) (resp *http.Response, body string, err error) {
	s.t.Helper()
	c := s.dial(d)
	c.send(request(method, "/get/x", id, "", "Agateusher-Deadline-Ms: 1500\r\n"))
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err = http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	s.g.Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// discard is like download and does not keep the body.
func (s *site) discard(d *daemon, id string) (*http.Response, error) {
	s.t.Helper()
	c := s.dial(d)
	c.send(request("GET", "/get/x", id, "", "Agateusher-Deadline-Ms: 1500\r\n"))
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	s.g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// Guards against large bodies that are altered on their way, with and without a
// length.
func TestLargeBodies(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, downloadRoute)
	server := s.server("i-1", service)
	d := s.ready(s.daemon(s.settings("h1")))
	for i, b := range []consortium.Behaviour{consortium.Large, consortium.LargeChunked} {
		server.SetBehaviour(always(b))
		id := fmt.Sprintf("id-%d", i)
		resp, body, err := s.download(d, "GET", id)
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		s.g.Expect(resp.Header.Get("Agateusher-Response-Signature")).To(Equal("i-1." + id))
		s.g.Expect(body == consortium.LargeBody(id)).To(BeTrue(), "body of %d bytes", len(body))
	}
}

// Guards against a body that was cut midway and looks whole: with an HTTP/1.0
// caller only a reset shows it.
func TestCutBodyIsNotWhole(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, downloadRoute)
	servers := []*consortium.Server{s.server("i-1", service), s.server("i-2", service)}
	d := s.ready(s.daemon(s.settings("h1")))
	for _, b := range []consortium.Behaviour{consortium.LargeTruncated, consortium.LargeStalled, consortium.EndlessBody} {
		for _, server := range servers {
			server.SetBehaviour(always(b))
		}
		resp, body, err := s.download(d, "GET", fmt.Sprintf("id-%d", b))
		if resp.StatusCode == http.StatusOK {
			s.g.Expect(err).To(HaveOccurred(), "behaviour %d: %d bytes", b, len(body))
		} else {
			s.g.Expect(resp.StatusCode).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout))
		}
		old := s.dial(d)
		old.send("GET /get/x HTTP/1.0\r\nHost: api.example\r\nAgateusher-Request-Id: old\r\nAgateusher-Deadline-Ms: 1000\r\n\r\n")
		_ = old.SetReadDeadline(time.Now().Add(4 * time.Second))
		resp, err = http.ReadResponse(old.reader, nil)
		if err != nil {
			continue
		}
		_, err = io.ReadAll(resp.Body)
		s.g.Expect(resp.StatusCode != http.StatusOK || err != nil).To(BeTrue(), "behaviour %d, HTTP/1.0", b)
	}
}

// Guards against a download that is lost though a second server could have answered:
// as long as no byte went to the caller, a truncated response is retried.
func TestTruncatedBodyIsRetried(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, downloadRoute)
	a, b := s.server("i-1", service), s.server("i-2", service)
	first := firstThen(consortium.Truncate, consortium.Large)
	a.SetBehaviour(first)
	b.SetBehaviour(first)
	d := s.ready(s.daemon(s.settings("h1")))
	resp, body, err := s.download(d, "GET", "id-1")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	s.g.Expect(body == consortium.LargeBody("id-1")).To(BeTrue())
}

// Guards against a response to HEAD, or one of status 204, whose length or missing
// body is taken for a truncation, and against bytes after it that reach the caller.
func TestResponsesWithoutBody(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, downloadRoute)
	server := s.server("i-1", service)
	d := s.ready(s.daemon(s.settings("h1")))
	resp, body, err := s.download(d, "HEAD", "id-1")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	s.g.Expect(resp.ContentLength).To(Equal(int64(len(consortium.Body("id-1")))))
	s.g.Expect(body).To(BeEmpty())
	server.SetBehaviour(always(consortium.NoContent))
	resp, body, err = s.download(d, "GET", "id-2")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(resp.StatusCode).To(Equal(http.StatusNoContent))
	s.g.Expect(body).To(BeEmpty())
	server.SetBehaviour(always(consortium.Answer))
	s.g.Expect(s.read(d, "id-3").body).To(Equal(consortium.Body("id-3")))
}

// Guards against a caller that reads slowly or leaves and makes this daemon hold the
// whole body, or leaves the server sending it.
func TestCallerLeavesDuringBody(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, downloadRoute)
	server := s.server("i-1", service)
	server.SetBehaviour(always(consortium.EndlessBody))
	d := s.ready(s.daemon(s.settings("h1")))
	c := s.dial(d)
	c.send(request("GET", "/get/x", "id-1", "", "Agateusher-Deadline-Ms: 1500\r\n"))
	_, err := http.ReadResponse(c.reader, nil)
	s.g.Expect(err).NotTo(HaveOccurred())
	_ = c.Close()
	time.Sleep(300 * time.Millisecond)
	sent := server.EndlessBytes()
	time.Sleep(300 * time.Millisecond)
	s.g.Expect(server.EndlessBytes()).To(Equal(sent))
}

// Guards against a server in trouble that sends bytes without end: the attempt ends
// within its time, the daemon's memory stays bounded, the server counts as failing,
// and an idempotent request moves on to a sound server.
func TestEndlessBytes(t *testing.T) {
	for name, b := range map[string]consortium.Behaviour{
		"head": consortium.EndlessHead, "interim responses": consortium.EndlessInterim, "body": consortium.EndlessBody,
		"chunk extension": consortium.EndlessChunkExtension, "trailer": consortium.EndlessTrailer,
		"dripping body": consortium.DripBody, "dripping head": consortium.DripHead,
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.configure(1500*time.Millisecond, downloadRoute)
			sick := s.server("i-1", service)
			sick.SetBehaviour(always(b))
			d := s.ready(s.daemon(s.settings("h1")))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			resp, err := s.discard(d, "id-1")
			runtime.ReadMemStats(&after)
			s.g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
			s.g.Expect(resp.StatusCode != http.StatusOK || err != nil).To(BeTrue(), "a response without end was passed on as whole")
			s.g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), "the response did not end")
			// All allocations, and not the growth of the heap, which depends on when
			// garbage is collected and may miss memory that was held for a while.
			s.g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 16<<20))
			s.g.Eventually(d.log.String).Should(ContainSubstring("server_suspected"))
			// The server notices a closed connection when it writes.
			time.Sleep(100 * time.Millisecond)
			sent := sick.EndlessBytes()
			time.Sleep(100 * time.Millisecond)
			s.g.Expect(sick.EndlessBytes()).To(Equal(sent), "the server still sends")

			s.server("i-2", service)
			s.g.Eventually(func() bool {
				resp, err := s.discard(d, "id-2")
				return err == nil && resp.StatusCode == http.StatusOK
			}).WithTimeout(3 * time.Second).Should(BeTrue())
			resp, body, err := s.download(d, "GET", "id-3")
			s.g.Expect(err).NotTo(HaveOccurred())
			s.g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			s.g.Expect(body).To(Equal(consortium.Body("id-3")))
		})
	}
}
