package cli

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/agateusher/agateusher/adminapi"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/operator"
)

const token = "alice-secret-0123456789"

// fakeStore is an in-memory ConfigStore.
type fakeStore struct {
	mu      sync.Mutex
	current snapshot.Snapshot
	changes []operator.ChangeSummary
	err     error
	// loseReplies is the number of accepted changes for which Apply returns an
	// error, as if the response were lost.
	loseReplies int
}

func (f *fakeStore) Load(context.Context) (snapshot.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.err
}

func (f *fakeStore) Apply(_ context.Context, c snapshot.Change, expected model.Epoch) (model.Epoch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return 0, f.err
	}
	if expected != f.current.Epoch {
		return 0, &operator.ConflictError{Expected: expected, Current: f.current.Epoch, Changes: f.changes[expected:]}
	}
	next, err := f.current.Apply(c)
	if err != nil {
		return 0, err
	}
	f.current = *next
	f.changes = append(f.changes, operator.ChangeSummary{Epoch: f.current.Epoch, ChangeID: c.ID, Author: c.Author})
	if f.loseReplies > 0 {
		f.loseReplies--
		return 0, objectapi.ErrUnavailable
	}
	return f.current.Epoch, nil
}

// fakeFleet has two hosts: h1 runs the store's epoch and h2 runs laggingEpoch. If
// silentState is set, there is a third host, h3, which is listed in this state and
// does not answer.
type fakeFleet struct {
	store        *fakeStore
	laggingEpoch model.Epoch
	silentState  objectapi.HostState
}

func (f *fakeFleet) Status(ctx context.Context) ([]operator.HostStatus, error) {
	current, _ := f.store.Load(ctx)
	list := []operator.HostStatus{
		{Host: operator.Host{ID: "h1", DataCentre: "lagos-1", State: objectapi.HostLive}, Status: adminapi.Status{Epoch: current.Epoch, StartedAt: time.Unix(0, 0)}},
		{Host: operator.Host{ID: "h2", DataCentre: "lagos-2", State: objectapi.HostLive}, Status: adminapi.Status{Epoch: f.laggingEpoch}},
	}
	if f.silentState != "" {
		list = append(list, operator.HostStatus{Host: operator.Host{ID: "h3", State: f.silentState}, Err: errors.New("connection refused")})
	}
	return list, nil
}

func (f *fakeFleet) Pools(context.Context) ([]operator.HostPools, error) {
	return []operator.HostPools{
		{Host: operator.Host{ID: "h1"}, Pools: []adminapi.Pool{{Service: "booking", DataCentre: "lagos-1", QueueDelayUs: 4000, Servers: []adminapi.Server{
			{ID: "b1", State: adminapi.ServerSuspect, Evidence: "5 timeouts", Slots: 2},
		}}}},
		{Host: operator.Host{ID: "h2"}, Err: errors.New("connection refused")},
	}, nil
}

type fakeReports struct{}

func (fakeReports) Daily(context.Context, string, snapshot.ReportLayout) ([]operator.MissingHost, func(io.Writer) error, error) {
	write := func(w io.Writer) error { _, err := io.WriteString(w, "service;requests\nbooking;7\n"); return err }
	return []operator.MissingHost{{Host: "h9", Problem: "no data"}}, write, nil
}

// harness runs command lines against the operator service over fake dependencies.
type harness struct {
	*WithT
	store *fakeStore
	fleet *fakeFleet
	env   map[string]string
	dir   string
}

func newHarness(t *testing.T) *harness {
	store := &fakeStore{}
	r := &harness{WithT: NewWithT(t), store: store, fleet: &fakeFleet{store: store, laggingEpoch: 100}, dir: t.TempDir()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := httptest.NewServer(operator.NewHandler(operator.Options{
		Store: store, Fleet: r.fleet, Reports: fakeReports{}, Log: log,
		Tokens: []operator.Token{{Name: "alice", Secret: token}},
	}))
	t.Cleanup(func() { http.DefaultTransport.(*http.Transport).CloseIdleConnections(); server.Close() })
	t.Setenv("USHERCTL_API", server.URL)
	r.env = map[string]string{"USHERCTL_TOKEN": token}
	return r
}

type result struct {
	code     int
	out, err string
}

func (r *harness) run(args ...string) result {
	var out, errOut bytes.Buffer
	code := Run(context.Background(), args, Streams{
		In: strings.NewReader(""), Out: &out, Err: &errOut,
		Getenv: func(name string) string { return r.env[name] },
	})
	return result{code, out.String(), errOut.String()}
}

func (r *harness) file(text string) string {
	path := filepath.Join(r.dir, "change.jsonc")
	r.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

const changeText = `{
  // One service and two servers.
  "services": [{"name": "booking", "floor": {"share": 1}, "policy": "ridemark", "deadlineMs": 1000, "queueLimit": 9}],
  "servers": [
    {"id": "b1", "service": "booking", "dataCentre": "lagos-1", "address": "127.0.0.1:9000", "slots": 2, "connections": 9},
    {"id": "b2", "service": "booking", "dataCentre": "lagos-1", "address": "127.0.0.1:9001", "slots": 2, "connections": 9},
  ],
}`

// Guards against changed exit codes, on which scripts rely, and against errors that
// are not exactly one line on standard error.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		name  string
		setup func(*harness)
		args  func(*harness) []string
		code  int
		err   string
	}{
		{"accepted", nil, func(r *harness) []string { return []string{"apply", "-f", r.file(changeText)} }, ExitOK, ""},
		{"no sub-command", nil, nil, ExitUsage, "specify one command"},
		{"unknown option", nil, func(*harness) []string { return []string{"hosts", "--colour"} }, ExitUsage, "colour"},
		{"unknown kind", nil, func(*harness) []string { return []string{"get", "things"} }, ExitUsage, `unknown kind "things"`},
		{"missing file", nil, func(r *harness) []string { return []string{"apply", "-f", r.dir + "/none"} }, ExitUsage, "no such file"},
		{"wrong file", nil, func(r *harness) []string {
			return []string{"diff", "-f", r.file("{\n\"servers\": [{\"slots\": true}]}")}
		}, ExitUsage, "change.jsonc:2: servers[0].slots: got true"},
		{"conflict", nil, func(r *harness) []string { return []string{"apply", "--epoch", "0", "-f", r.file(changeText)} }, ExitConflict, "epoch 1 by setup"},
		{"not found", nil, func(*harness) []string { return []string{"get", "server", "b9"} }, ExitNotFound, "Server b9 not found"},
		{"invalid objects", nil, func(r *harness) []string { return []string{"apply", "-f", r.file(`{"servers": [{"id": "b9"}]}`)} }, ExitFailure, "Server b9: address: got"},
		{"floor", nil, func(*harness) []string { return []string{"eject", "b1"} }, ExitFailure, "floor of pool booking/lagos-1/0"},
		{"bad token", func(r *harness) { r.env["USHERCTL_TOKEN"] = "wrong" }, func(*harness) []string { return []string{"drain", "b1"} }, ExitUnauthenticated, "token"},
		{"no token", func(r *harness) { r.env = nil }, func(*harness) []string { return []string{"report", "--day", "2026-12-03", "--layout", "l"} }, ExitUnauthenticated, "token"},
		{"object API down", func(r *harness) { r.store.err = objectapi.ErrUnavailable }, func(*harness) []string { return []string{"get", "servers"} }, ExitUnavailable, "unavailable"},
		{"API down", nil, func(*harness) []string { return []string{"--api", "http://127.0.0.1:1", "hosts"} }, ExitUnavailable, "refused"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t)
			file, err := ParseFile("setup", []byte(changeText))
			r.Expect(err).NotTo(HaveOccurred())
			_, err = r.store.Apply(context.Background(), snapshot.Change{ID: "setup", Author: "setup", Put: file.Objects}, 0)
			r.Expect(err).NotTo(HaveOccurred())
			if c.setup != nil {
				c.setup(r)
			}
			var args []string
			if c.args != nil {
				args = c.args(r)
			}
			got := r.run(args...)
			r.Expect(got.code).To(Equal(c.code), got.err)
			if c.code != ExitOK {
				r.Expect(got.err).To(HavePrefix("usherctl: "))
				r.Expect(got.err).To(ContainSubstring(c.err))
				r.Expect(strings.Count(got.err, "\n")).To(Equal(1))
			}
		})
	}
}

// Guards against a wait that ends before every host runs the epoch, and against an
// error that does not name the hosts that are behind or do not answer.
func TestApplyWait(t *testing.T) {
	r := newHarness(t)
	r.fleet.laggingEpoch = 0
	got := r.run("apply", "-f", r.file(changeText), "--wait", "--timeout", "100ms")
	r.Expect(got.code).To(Equal(ExitWaitTimeout))
	r.Expect(got.err).To(Equal("usherctl: epoch 1 accepted but not in force everywhere after 100ms: h2 behind, none silent\n"))
	r.Expect(got.out).To(ContainSubstring("1 in force, 1 behind, 0 silent"))

	r.fleet.laggingEpoch, r.fleet.silentState = 2, objectapi.HostLive
	got = r.run("apply", "-f", r.file(changeText), "--wait", "--timeout", "100ms")
	r.Expect(got.code).To(Equal(ExitWaitTimeout))
	r.Expect(got.err).To(ContainSubstring("none behind, h3 silent"))

	r.fleet.laggingEpoch, r.fleet.silentState = 3, objectapi.HostLeaving
	got = r.run("apply", "-f", r.file(changeText), "--wait", "--timeout", "5s")
	r.Expect(got.code).To(Equal(ExitOK), got.err)
	r.Expect(got.out).To(ContainSubstring("epoch 3: 2 in force, 0 behind, 1 silent"))
}

// Guards against a change that is applied twice, or reported as a conflict with
// itself, when the response is lost and usherctl retries.
func TestApplyAfterLostReply(t *testing.T) {
	r := newHarness(t)
	r.store.loseReplies = 1
	got := r.run("apply", "-f", r.file(changeText))
	r.Expect(got.code).To(Equal(ExitOK), got.err)
	r.Expect(got.out).To(HavePrefix("epoch 1 accepted"))
	r.Expect(r.store.current.Epoch).To(Equal(model.Epoch(1)))
}

// Guards against changes of the output formats that scripts parse, and against JSON
// output of get that cannot be applied again.
func TestOutputs(t *testing.T) {
	r := newHarness(t)
	r.Expect(r.run("apply", "-f", r.file(changeText)).code).To(Equal(ExitOK))
	got := r.run("-o", "json", "get", "service", "booking")
	r.Expect(got.code).To(Equal(ExitOK), got.err)
	_, err := ParseFile("get", []byte(got.out))
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(r.run("-o", "json", "rollout", "1").out).To(ContainSubstring(`"inForce": [`))
	r.Expect(r.run("get", "servers").out).To(MatchRegexp(`b1 +booking +lagos-1`))
	r.Expect(r.run("hosts").out).To(MatchRegexp(`h1 +lagos-1 +live +1 `))
	r.Expect(r.run("pools").out).To(And(ContainSubstring("missing: h2"), MatchRegexp(`booking +lagos-1 +0 +h1 +0 +4 .* 5 timeouts`)))
	r.Expect(r.run("drain", "b1").out).To(Equal("epoch 2\n"))
	change := r.file(`{"servers": [{"id": "b1", "service": "booking", "dataCentre": "lagos-1", "address": "127.0.0.1:9000", "slots": 3, "connections": 9}]}`)
	r.Expect(r.run("diff", "-f", change).out).To(Equal("against epoch 2\nreplace Server b1\n  slots: 2 -> 3\n"))
}

// Guards against a printed report that differs from the CSV that the service sent.
func TestReport(t *testing.T) {
	r := newHarness(t)
	r.Expect(r.run("apply", "-f", r.file(`{"reportLayouts": [{"name": "daily", "columns": [{"heading": "h", "field": "requests"}]}]}`)).code).To(Equal(ExitOK))
	got := r.run("report", "--day", "2026-12-03", "--layout", "daily")
	r.Expect(got).To(Equal(result{ExitOK, "service;requests\nbooking;7\n", "usherctl: warning: host h9: no data\n"}))
	r.Expect(r.run("report", "--day", "yesterday", "--layout", "daily").code).To(Equal(ExitFailure))
}

// Guards against a sub-command without help or without an example.
func TestHelpShowsExamples(t *testing.T) {
	r := newHarness(t)
	for _, c := range commands() {
		got := r.run(c.name, "--help")
		r.Expect(got.code).To(Equal(ExitOK))
		r.Expect(got.out).To(ContainSubstring("$ usherctl"), c.name)
		r.Expect(got.err).To(BeEmpty())
	}
}
