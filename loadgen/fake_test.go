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

// fakeFleet is an entry that forwards to one stand-in server and can be made
// wrong on purpose.
type fakeFleet struct {
	target string
	// runTwice sends each non-repeatable request twice.
	runTwice bool
	// denyRun says "not run" of requests that ran.
	denyRun bool
	// swap answers each request with the previous request's answer.
	swap bool
	// cut shortens answers, with a matching Content-Length.
	cut bool
	// silent sends no outcome.
	silent bool
	// sameKey issues one key for everything.
	sameKey bool
	// loseFirst breaks the connection of each request's first transmission after
	// it ran.
	loseFirst bool
	// keyDelay delays the issue of keys.
	keyDelay time.Duration

	keys     atomic.Int64
	mu       sync.Mutex
	previous []byte
	spent    map[string][]byte
	lost     map[string]bool
}

func (f *fakeFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == keysPath {
		f.issue(w, r)
		return
	}
	key := r.Header.Get(backend.HeaderIdempotencyKey)
	f.mu.Lock()
	defer f.mu.Unlock()
	body, known := f.spent[key]
	if !known || key == "" {
		body = f.forward(r)
		if f.runTwice && r.Method == http.MethodPost {
			f.forward(r)
		}
		f.spent[key] = body
	}
	id := r.URL.Query().Get(backend.QueryClientID)
	if f.loseFirst && !f.lost[id] {
		f.lost[id] = true
		panic(http.ErrAbortHandler)
	}
	f.answer(w, body)
}

func (f *fakeFleet) issue(w http.ResponseWriter, r *http.Request) {
	time.Sleep(f.keyDelay)
	var asked keyRequest
	_ = json.NewDecoder(r.Body).Decode(&asked)
	issued := keyResponse{ExpiresInMs: 60_000}
	for range asked.Count {
		n := f.keys.Add(1)
		if f.sameKey {
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
	if f.denyRun {
		w.Header().Set(headerOutcome, "not-run")
		w.Header().Set(headerReason, "queue-full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.swap && f.previous != nil {
		body, f.previous = f.previous, body
	} else {
		f.previous = body
	}
	if f.cut {
		body = body[:len(body)-20]
	}
	if !f.silent {
		w.Header().Set(headerOutcome, "answered")
	}
	_, _ = w.Write(body)
}

// rig is a group of stand-in servers and the fake fleet in front of the first.
type rig struct {
	fleet  *fakeFleet
	config Config
	group  *backend.Group
}

func newRig(t *testing.T, change func(*fakeFleet), options backend.Options) rig {
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
	ended := make(chan error, 2)
	go func() { ended <- group.Serve(ctx) }()
	go func() { ended <- group.ServeAdmin(ctx, ln) }()
	fleet := &fakeFleet{target: "http://" + group.Listings()[0].Address, spent: map[string][]byte{}, lost: map[string]bool{}}
	change(fleet)
	first, second := httptest.NewServer(fleet), httptest.NewServer(fleet)
	t.Cleanup(func() {
		first.Close()
		second.Close()
		http.DefaultClient.CloseIdleConnections()
		cancel()
		g.Expect(<-ended).To(Succeed())
		g.Expect(<-ended).To(Succeed())
	})
	return rig{fleet: fleet, group: group, config: Config{
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

func (r rig) run(t *testing.T) *Report {
	t.Helper()
	report, err := Run(t.Context(), r.config)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return report
}

// fakePools answers like a daemon's admin endpoint with one ejected server.
func fakePools(t *testing.T, ejected string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"host":"h1","pools":[{"service":"a","servers":[{"id":"s-a","state":"serving"},{"id":%q,"state":"ejected"}]}]}`, ejected)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
