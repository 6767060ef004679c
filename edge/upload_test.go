package edge_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/settings"
	"github.com/agateusher/agateusher/standin/consortium"
)

const uploadRoute = `,"r-up":{"host":"api.example","path_prefix":"/up/","route_type":"upload","timeout_ms":4000,"target_latency_ms":2000,"priority":1,"service":"atlas","max_attempts":2}`

// uploadSite has a server for uploads and one for other requests, and routes for both.
func uploadSite(t *testing.T) (s *site, uploads *consortium.Server) {
	s = newSite(t)
	s.store.Put("config", "main", fmt.Sprintf(`{"version":1,"routes":{`+routes+uploadRoute+`},"services":{},"limits":{"max_header_bytes":8192,"max_body_bytes":16000000,"header_timeout_ms":3000,"idle_timeout_ms":30000}}`, 3000), "")
	for _, id := range []string{"i-reads", "i-uploads"} {
		server, err := consortium.NewServer(id, 1)
		s.g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(server.Close)
		name := service
		if id == "i-uploads" {
			uploads, name = server, otherService
		}
		spec, status := server.Entry(name, zone, "in_service", 400)
		s.store.Put("servers", id, spec, status)
	}
	return s, uploads
}

// uploadBody returns the body of an upload; each has a different one.
func uploadBody(id string, size int) string {
	return strings.Repeat(id+";", size/len(id)+1)[:size]
}

// upload sends an upload in parts over a time, and returns the status of the response. With
// leave it closes the connection after half of the body and returns zero.
func (d *daemon) upload(id string, size int, over time.Duration, leave bool) int {
	c, err := net.Dial("tcp4", d.settings.Listeners.Caller)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(over + 10*time.Second))
	body := uploadBody(id, size)
	head := request("POST", "/up/x", id, "", fmt.Sprintf("Content-Length: %d\r\n", size))
	if _, err := io.WriteString(c, head); err != nil {
		return 0
	}
	const parts = 20
	for i := range parts {
		if leave && i == parts/2 {
			return 0
		}
		if _, err := io.WriteString(c, body[i*size/parts:(i+1)*size/parts]); err != nil {
			break // a response may have arrived
		}
		time.Sleep(over / parts)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against an upload that is cut, run twice or answered as done when cut, because its
// server answers early or reads slowly.
func TestUploadsAndServers(t *testing.T) {
	const size = 360 << 10 // with ReadSlowly, 0.46 s
	s, server := uploadSite(t)
	d := s.ready(s.daemon(s.settings("h1")))
	// The body of the last one is larger than what the systems buffer, so that a part of it
	// has not been sent when the server answers.
	for _, c := range []struct {
		name      string
		behaviour consortium.Behaviour
		size      int
		headers   string
		status    int
	}{
		{"slow", consortium.ReadSlowly, size, "", http.StatusOK},
		{"slow-late", consortium.ReadSlowly, 1 << 20, "Agateusher-Deadline-Ms: 300\r\n", http.StatusGatewayTimeout},
		{"refused-early", consortium.AnswerEarly, size, "", http.StatusRequestEntityTooLarge},
		{"done-early", consortium.SucceedEarly, 12 << 20, "", http.StatusBadGateway},
	} {
		server.SetBehaviour(always(c.behaviour))
		body := uploadBody(c.name, c.size)
		s.g.Expect(s.do(d, request("POST", "/up/x", c.name, body, c.headers)).status).To(Equal(c.status), c.name)
		arrived := byID(server.Requests())[c.name]
		s.g.Expect(arrived).To(HaveLen(1), c.name)
		if c.status == http.StatusOK {
			s.g.Expect(string(arrived[0].Body) == body).To(BeTrue(), c.name)
		}
	}
}

// Guards against a part of a response that reaches the caller as a whole one, because its
// server reset the connection while the upload was being written. The sizes have their last
// part in each place between this daemon and the server.
func TestUploadsAndEarlyResets(t *testing.T) {
	s, server := uploadSite(t)
	server.SetBehaviour(always(consortium.ResetEarly))
	d := s.ready(s.daemon(s.settings("h1")))
	for size := 64 << 10; size < 7<<20; size += 28 << 10 {
		id := fmt.Sprint("up-", size)
		resp := s.do(d, request("POST", "/up/x", id, uploadBody(id, size), ""))
		s.g.Expect(resp.status).To(Equal(http.StatusBadGateway), "%d bytes: %q", size, resp.body)
	}
}

// Guards against an upload that is forwarded although its caller left midway.
func TestCutUploadsAreNotForwarded(t *testing.T) {
	s, server := uploadSite(t)
	d := s.ready(s.daemon(s.settings("h1")))
	for _, text := range []string{
		request("POST", "/up/x", "length", strings.Repeat("x", 100<<10), ""),
		request("POST", "/up/x", "chunks", "", "Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n",
	} {
		c := s.dial(d)
		c.send(text[:len(text)-1])
		time.Sleep(50 * time.Millisecond)
		_ = c.Close()
	}
	s.g.Consistently(server.Requests).WithTimeout(300 * time.Millisecond).Should(BeEmpty())
}

// Guards against a refusal that the caller does not get, because its connection is reset
// while it still sends the body.
func TestRefusalReachesSlowUpload(t *testing.T) {
	s, _ := uploadSite(t)
	d := s.ready(s.daemon(s.settings("h1")))
	c := s.dial(d)
	c.send(request("POST", "/up/x", "up", "", "Content-Length: 20000000\r\n"))
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		c.send(strings.Repeat("x", 10000))
	}
	s.g.Expect(c.receive().status).To(Equal(http.StatusRequestEntityTooLarge))
}

// Guards against a slow upload that is cut by a planned stop without a response: the status
// tells the caller that it has not run.
func TestStopAnswersSlowUpload(t *testing.T) {
	s, server := uploadSite(t)
	set := s.settings("h1")
	set.Stop.Grace = settings.Duration(1500 * time.Millisecond)
	d := s.ready(s.daemon(set))
	c := s.dial(d)
	c.send(request("POST", "/up/x", "up", "", "Content-Length: 100000\r\n") + "a part")
	time.Sleep(50 * time.Millisecond)
	d.stop()
	s.g.Expect(c.receive().status).To(Equal(http.StatusRequestTimeout))
	s.g.Expect(server.Requests()).To(BeEmpty())
}

// checkUpload compares the status of an upload with what the server ran.
func (s *site) checkUpload(server map[string][]consortium.ReceivedRequest, id string, size, status int) {
	s.t.Helper()
	ran := 0
	for _, x := range server[id] {
		if x.Ran {
			ran++
			s.g.Expect(string(x.Body) == uploadBody(id, size)).To(BeTrue(), "%s: %d bytes of %d", id, len(x.Body), size)
		}
	}
	s.g.Expect(ran).To(BeNumerically("<=", 1), id)
	switch status {
	case http.StatusOK:
		s.g.Expect(ran).To(Equal(1), id)
	case 0, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		s.g.Expect(ran).To(BeZero(), id)
	}
}

func byID(requests []consortium.ReceivedRequest) map[string][]consortium.ReceivedRequest {
	m := map[string][]consortium.ReceivedRequest{}
	for _, x := range requests {
		m[x.ID] = append(m[x.ID], x)
	}
	return m
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// Guards against slow uploads that use more memory than the smallest host has, that are
// run twice, cut or answered as done when cut, and that break other requests.
func TestManySlowUploads(t *testing.T) {
	const uploads, memoryMiB, over = 2000, 136, 5 * time.Second
	s, server := uploadSite(t)
	set := s.settings("h1")
	set.MemoryMiB = memoryMiB
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.jsonc")
	data, err := json.Marshal(set)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	log := &syncBuffer{}
	process := s.start(buildDaemon(s, dir), path, log).Process
	d := s.ready(&daemon{settings: set, log: log})

	random := rand.New(rand.NewPCG(1, 1))
	sizes, statuses := make([]int, uploads), make([]int, uploads)
	var wait sync.WaitGroup
	for i := range uploads {
		sizes[i] = min(1000+int(random.ExpFloat64()*60000), 360000)
		wait.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / uploads)
			statuses[i] = d.upload(fmt.Sprint("up-", i), sizes[i], over, i%10 == 0)
		})
	}
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	reads := 0
	for ended := false; !ended; reads++ {
		s.g.Expect(s.read(d, fmt.Sprint("read-", reads)).status).To(Equal(http.StatusOK))
		write := request("POST", "/write/x", fmt.Sprint("write-", reads), strings.Repeat("x", 20<<10), "")
		s.g.Expect(s.do(d, write).status).To(Equal(http.StatusOK))
		select {
		case <-done:
			ended = true
		case <-time.After(20 * time.Millisecond):
		}
	}
	counts := map[int]int{}
	requests := byID(server.Requests())
	for i, status := range statuses {
		counts[status]++
		s.checkUpload(requests, fmt.Sprint("up-", i), sizes[i], status)
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	s.g.Expect(err).NotTo(HaveOccurred())
	peakKB, err := strconv.Atoi(peakMemory.FindStringSubmatch(string(text))[1])
	s.g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%d uploads in %s: statuses %v, %d other requests, peak %d KiB", uploads, over, counts, 2*reads, peakKB)
	s.g.Expect(peakKB).To(BeNumerically("<", memoryMiB<<10))
}
