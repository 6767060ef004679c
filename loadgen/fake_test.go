package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/standin/backend"
)

// fakeFleet is an entry that forwards to one stand-in server and can be given
// faults.
type fakeFleet struct {
	target string
	// runTwice sends each non-repeatable request twice.
	runTwice bool
	// claimNotRun reports "not run" for requests that ran.
	claimNotRun bool
	// swapAnswers answers each request with the previous request's answer.
	swapAnswers bool
	// truncateAnswers truncates answers, with a matching Content-Length.
	truncateAnswers bool
	// omitOutcome sends no outcome.
	omitOutcome bool
	// reuseKey issues the same key for all requests.
	reuseKey bool
	// dropFirstAnswer breaks the connection of each request's first transmission
	// after it ran.
	dropFirstAnswer bool
	// keyDelay delays the issue of keys.
	keyDelay time.Duration

	keys     atomic.Int64
	mu       sync.Mutex
	previous []byte
	answers  map[string][]byte
	dropped  map[string]bool
}

func (f *fakeFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == keysPath {
		f.issue(w, r)
		return
	}
	key := r.Header.Get(backend.HeaderIdempotencyKey)
	f.mu.Lock()
	defer f.mu.Unlock()
	body, known := f.answers[key]
	if !known || key == "" {
		body = f.forward(r)
		if f.runTwice && r.Method == http.MethodPost {
			f.forward(r)
		}
		f.answers[key] = body
	}
	id := r.URL.Query().Get(backend.QueryClientID)
	if f.dropFirstAnswer && !f.dropped[id] {
		f.dropped[id] = true
		panic(http.ErrAbortHandler)
	}
	f.answer(w, body)
}

func (f *fakeFleet) issue(w http.ResponseWriter, r *http.Request) {
	time.Sleep(f.keyDelay)
	var request keyRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	issued := keyResponse{ExpiresInMs: 60_000}
	for range request.Count {
		n := f.keys.Add(1)
		if f.reuseKey {
			n = 1
		}
		issued.Keys = append(issued.Keys, "key-"+strconv.FormatInt(n, 10))
	}
	_ = json.NewEncoder(w).Encode(issued)
}

func (f *fakeFleet) forward(r *http.Request) []byte {
	req, _ := http.NewRequest(r.Method, f.target+r.URL.RequestURI(), nil)
	req.Header.Set(backend.HeaderIdempotencyKey, r.Header.Get(backend.HeaderIdempotencyKey))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return body
}

func (f *fakeFleet) answer(w http.ResponseWriter, body []byte) {
	if f.claimNotRun {
		w.Header().Set(headerOutcome, "not-run")
		w.Header().Set(headerReason, "queue-full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.swapAnswers && f.previous != nil {
		body, f.previous = f.previous, body
	} else {
		f.previous = body
	}
	if f.truncateAnswers {
		body = body[:len(body)-20]
	}
	if !f.omitOutcome {
		w.Header().Set(headerOutcome, "answered")
	}
	_, _ = w.Write(body)
}

// testEnv is a group of stand-in servers with a fake fleet in front of the first
// one.
type testEnv struct {
	fleet  *fakeFleet
	config Config
	group  *backend.Group
}

func newTestEnv(t *testing.T, change func(*fakeFleet), options backend.Options) testEnv {
	t.Helper()
	g := NewWithT(t)
	var list []backend.Options
	for i := range 2 {
		o := options
		o.ID = model.ServerID("s-" + "ab"[i:i+1])
		o.Slots = 100
		o.ServiceTime = backend.Distribution{Kind: backend.Fixed, Mean: time.Millisecond}
		list = append(list, o)
	}
	group, err := backend.NewGroup("127.0.0.1:0", list)
	g.Expect(err).NotTo(HaveOccurred())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	serveErrs := make(chan error, 2)
	go func() { serveErrs <- group.Serve(ctx) }()
	go func() { serveErrs <- group.ServeAdmin(ctx, ln) }()
	fleet := &fakeFleet{target: "http://" + group.Listings()[0].Address, answers: map[string][]byte{}, dropped: map[string]bool{}}
	change(fleet)
	first, second := httptest.NewServer(fleet), httptest.NewServer(fleet)
	t.Cleanup(func() {
		first.Close()
		second.Close()
		http.DefaultClient.CloseIdleConnections()
		cancel()
		g.Expect(<-serveErrs).To(Succeed())
		g.Expect(<-serveErrs).To(Succeed())
	})
	return testEnv{fleet: fleet, group: group, config: Config{
		Entries:      []string{first.Listener.Addr().String(), second.Listener.Addr().String()},
		Workspaces:   []Workspace{{ID: "gate", RatePerSecond: 60}, {ID: "desk", RatePerSecond: 30}},
		Operations:   []Operation{{Method: "GET", Path: "/spaces", Repeatable: true, Weight: 2}, {Method: "POST", Path: "/fees", Weight: 1}},
		Duration:     500 * time.Millisecond,
		SettleTime:   10 * time.Millisecond,
		Timeout:      2 * time.Second,
		StandinAdmin: ln.Addr().String(),
		DirectShare:  0.5,
		Seed:         1,
	}}
}

func (r testEnv) run(t *testing.T) *Report {
	t.Helper()
	report, err := Run(t.Context(), r.config)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return report
}

// fakePools serves a daemon's pools with one ejected server and returns its
// address.
func fakePools(t *testing.T, ejected string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"host":"h1","pools":[{"service":"a","servers":[{"id":"s-a","state":"serving"},{"id":%q,"state":"ejected"}]}]}`, ejected)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
