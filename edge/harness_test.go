package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/edge"
	"github.com/agateusher/agateusher/platform"
	"github.com/agateusher/agateusher/standin"
	"github.com/agateusher/agateusher/standin/consortium"
	"github.com/agateusher/agateusher/telemetry"
)

// site is a small deployment: a store, backend servers of two services, and daemons.
type site struct {
	t       *testing.T
	g       *WithT
	store   *consortium.Store
	version int
}

const (
	zone         = "zone-a"
	service      = "registry"
	otherService = "atlas"
)

func newSite(t *testing.T) *site {
	t.Helper()
	g := NewWithT(t)
	store, err := consortium.NewStore()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(store.Close)
	return &site{t: t, g: g, store: store}
}

// routes are the routes of a test's configuration.
const routes = `"r-read":{"host":"api.example","path_prefix":"/read/","route_type":"idempotent","timeout_ms":%[1]d,"target_latency_ms":500,"priority":2,"service":"registry","max_attempts":2},
"r-write":{"host":"api.example","path_prefix":"/write/","route_type":"non_idempotent","timeout_ms":%[1]d,"target_latency_ms":500,"priority":1,"service":"registry","max_attempts":2},
"r-split":{"host":"api.example","path_prefix":"/split/","route_type":"idempotent","timeout_ms":%[1]d,"target_latency_ms":500,"priority":2,"traffic_split":[{"service":"registry","weight":75},{"service":"atlas","weight":25}],"max_attempts":2}`

func (s *site) configure(timeout time.Duration, extra string) {
	s.version += 3
	s.store.Put("config", "main", fmt.Sprintf(`{"version":%[2]d,"routes":{`+routes+extra+`},"services":{},"limits":{"max_header_bytes":8192,"max_body_bytes":65536,"header_timeout_ms":500,"idle_timeout_ms":3000}}`,
		timeout.Milliseconds(), s.version), "")
}

// server starts a backend server and registers it.
func (s *site) server(id, service string) *consortium.Server {
	s.t.Helper()
	server, err := consortium.NewServer(id, 1)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(server.Close)
	s.register(server, service, "in_service")
	return server
}

func (s *site) register(server *consortium.Server, service, state string) {
	spec, status := server.Entry(service, zone, state, 2)
	s.store.Put("servers", server.ID, spec, status)
}

// daemon is a running node.
type daemon struct {
	settings edge.Settings
	node     *edge.Node
	stop     context.CancelFunc
	exited   chan error
	log      *syncBuffer
}

// syncBuffer collects log lines.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func (s *site) settings(id string) edge.Settings {
	set := edge.DefaultSettings()
	set.Host = edge.HostSettings{ID: model.HostID(id), DataCentre: zone, Region: "region"}
	for _, address := range []*string{&set.Listeners.Caller, &set.Listeners.Ready, &set.Listeners.Admin, &set.Listeners.Fleet} {
		free, err := standin.FreeAddress()
		s.g.Expect(err).NotTo(HaveOccurred())
		*address = free
	}
	set.Store = s.store.Address()
	set.Regions = map[model.DataCentre]model.Region{zone: "region"}
	set.Stop.Notice = 0
	// The slack of the production deployments. Only a part of the slack is available at the
	// start, so that the default would be too small for a first request that
	// several servers refuse.
	set.Retries.Slack = 62
	return set
}

func (s *site) daemon(set edge.Settings) *daemon { return s.daemonWith(set, func(*edge.Node) {}) }

// daemonWith starts a daemon after a call of prepare.
func (s *site) daemonWith(set edge.Settings, prepare func(*edge.Node)) *daemon {
	s.t.Helper()
	d := &daemon{settings: set, exited: make(chan error, 1), log: &syncBuffer{}}
	node, err := edge.New(set, d.log, func(scope telemetry.Scope, log telemetry.Logger) edge.Platform {
		store := platform.NewStore(set.Store, scope, log)
		return edge.Platform{Source: store, Registry: store, Headers: platform.Headers{}, ReadinessPath: platform.ReadinessPath}
	})
	s.g.Expect(err).NotTo(HaveOccurred())
	prepare(node)
	ctx, cancel := context.WithCancel(context.Background())
	d.node, d.stop = node, cancel
	go func() { d.exited <- node.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		select {
		case <-d.exited:
		case <-time.After(10 * time.Second):
			s.t.Error("the daemon did not exit within 10 s")
		}
		if s.t.Failed() {
			s.t.Log(d.log.String())
		}
	})
	return d
}

// ready waits until the readiness check of a daemon succeeds.
func (s *site) ready(d *daemon) *daemon {
	s.t.Helper()
	s.g.Eventually(func() int { return readiness(d) }).WithTimeout(5 * time.Second).WithPolling(10 * time.Millisecond).Should(Equal(http.StatusOK))
	return d
}

func readiness(d *daemon) int {
	resp, err := http.Get("http://" + d.settings.Listeners.Ready + platform.ReadinessPath)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// response is a response as the caller received it.
type response struct {
	status int
	header http.Header
	body   string
	// close is set if the response has "Connection: close".
	close bool
	took  time.Duration
}

func request(method, path, id, body, headers string) string {
	text := method + " " + path + " HTTP/1.1\r\nHost: api.example\r\nAgateusher-Request-Id: " + id + "\r\n" + headers
	if !strings.Contains(headers, "Deadline") {
		text += "Agateusher-Deadline-Ms: 4000\r\n"
	}
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// caller is a raw connection to a daemon.
type caller struct {
	net.Conn
	g      *WithT
	reader *bufio.Reader
}

func (s *site) dial(d *daemon) *caller {
	s.t.Helper()
	c, err := net.Dial("tcp4", d.settings.Listeners.Caller)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(func() { _ = c.Close() })
	return &caller{Conn: c, g: s.g, reader: bufio.NewReader(c)}
}

func (c *caller) send(text string) {
	_, err := io.WriteString(c, text)
	c.g.Expect(err).NotTo(HaveOccurred())
}

func (c *caller) receive() response {
	began := time.Now()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	c.g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	c.g.Expect(err).NotTo(HaveOccurred())
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), close: resp.Close, took: time.Since(began)}
}

// do sends one request on a connection of its own.
func (s *site) do(d *daemon, text string) response {
	s.t.Helper()
	c := s.dial(d)
	c.send(text)
	return c.receive()
}

func (s *site) read(d *daemon, id string) response {
	return s.do(d, request("GET", "/read/x", id, "", ""))
}

func (s *site) write(d *daemon, id string) response {
	return s.do(d, request("POST", "/write/x", id, "payload", ""))
}

func runCount(id string, servers ...*consortium.Server) int {
	n := 0
	for _, s := range servers {
		for _, x := range s.Requests() {
			if x.ID == id && x.Ran {
				n++
			}
		}
	}
	return n
}
