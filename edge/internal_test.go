package edge

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/workspace"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/settings"
	"github.com/agateusher/agateusher/telemetry"
)

// closeRecorder is a body that records that it was closed.
type closeRecorder struct {
	io.Reader
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

// Guards against a process that ends when two attempts of a request are answered at
// the same time and the response of the second one is streamed.
func TestAbandonedStreamIsClosed(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	state := newServerState(DefaultSettings(), log)
	state.publish = func(*gen.Observation) {}
	ctx, cancel := context.WithCancel(context.Background())
	body := &closeRecorder{Reader: strings.NewReader("the rest")}
	f := &forwarding{
		node: &Node{serverState: state}, results: make(chan attemptResult, 1),
		active: map[uint64]activeAttempt{1: {cancel: cancel}},
	}
	f.results <- attemptResult{
		number: 1, choice: balance.Choice{}, verdict: Usable,
		resp: &response{rest: &bodyStream{body: body, ctx: ctx}},
	}
	f.collectAbandoned(1)
	g.Expect(body.closed).To(BeTrue())
	g.Expect(ctx.Err()).To(HaveOccurred())
}

// Guards against a panic in one request, attempt or datagram that ends the process or
// leaves a lock held, so that all later requests hang.
func TestPanicsAreContained(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	var lines strings.Builder
	log.SetOutput(&lines)
	n := &Node{log: log, panics: telemetry.NewCounterVec(telemetry.NewMetrics("test").Scope, "panics", "unit", "")}
	state := newServerState(DefaultSettings(), log)
	table := state.table
	state.table = nil // each use panics
	g.Expect(n.contain("attempt", func() { state.startAttempt(balance.Query{Service: "s"}, false) })).To(BeFalse())
	g.Expect(n.contain("datagram", func() { state.applyPeerObservation("h", &gen.Observation{}) })).To(BeFalse())
	state.table = table
	g.Expect(n.contain("attempt", func() { state.startAttempt(balance.Query{Service: "s"}, false) })).To(BeTrue())
	g.Expect(strings.Count(lines.String(), "event=panic")).To(Equal(2))
	g.Expect(lines.String()).To(ContainSubstring("unit=attempt"))
}

// Guards against a reload that is logged and has no effect.
func TestReloadAppliesMemoryAndSeeds(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	before := DefaultSettings()
	n := &Node{
		settings: before, logger: log, log: log, requestLog: newRequestLog(log, 1),
		serverState: newServerState(before, log), bodyMemory: newBodyMemory(before.memoryBytes()),
		keys: newKeyState(before.Workspaces.Revocation),
	}
	after := before
	after.MemoryMiB, after.Seeds = 2*before.MemoryMiB, []string{"127.0.0.1:9"}
	after.Workspaces.Revocation = RevocationSettings{Within: settings.Duration(time.Second), FailClosed: true}
	limit := n.bodyMemory.limit
	g.Expect(n.Reload(after)).To(Succeed())
	g.Expect(n.bodyMemory.limit).To(Equal(2 * limit))
	g.Expect(*n.seeds.Load()).To(Equal(after.Seeds))
	g.Expect(n.keys.limits).To(Equal(workspace.RevocationLimits{Within: time.Second, FailClosed: true}))
}

// Guards against bodies that use more memory together than the process has: without
// room, no further body is buffered, and what was reserved is free again afterwards.
func TestBodyMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	m := newBodyMemory(1 << 20) // 256 KiB for bodies
	var reservations []*reservation
	whole := 0
	for range 10 {
		r := m.newReservation()
		reservations = append(reservations, r)
		data, complete, err := readBody(strings.NewReader(strings.Repeat("x", 100<<10)), 200<<10, r, func() {})
		if complete {
			whole++
			continue
		}
		g.Expect(err).To(MatchError(errNoMemory))
		g.Expect(len(data)).To(BeNumerically("<", 100<<10))
	}
	g.Expect(whole).To(Equal(2))
	g.Expect(m.inUse()).To(BeNumerically("<=", 256<<10))
	for _, r := range reservations {
		r.close()
		r.close()
		g.Expect(r.grow(1)).To(BeFalse())
	}
	g.Expect(m.inUse()).To(BeZero())
}

// Guards against slow uploads that use all the memory for bodies, so that small requests and
// responses have none.
func TestLargeBodiesLeaveMemory(t *testing.T) {
	g := NewWithT(t)
	m := newBodyMemory(4 << 20) // 1 MiB for bodies
	body := func(size int) error {
		_, err := readRequestBody(strings.NewReader(strings.Repeat("x", size)), int64(size), 1<<20, m.newReservation())
		return err
	}
	for body(300<<10) == nil {
	}
	// Uploads of which only the first part has arrived count as large, too.
	for range 100 {
		_, _ = readRequestBody(strings.NewReader(strings.Repeat("x", 20<<10)), 300<<10, 1<<20, m.newReservation())
	}
	g.Expect(m.inUse()).To(BeNumerically("<=", 768<<10))
	g.Expect(body(32 << 10)).To(Succeed())
	_, _, err := readBody(strings.NewReader(strings.Repeat("x", 100<<10)), 200<<10, m.newReservation(), func() {})
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a daemon that acts on content whose confirmation has run out while its
// host was suspended: the monotonic clock does not count that time.
func TestSuspensionAgesContent(t *testing.T) {
	g := NewWithT(t)
	boot, monotonic := 100*time.Second, 90*time.Second
	clock := &suspensionClock{boot: func() time.Duration { return boot }, monotonic: func() time.Duration { return monotonic }, offset: 10 * time.Second}
	boot, monotonic = boot+50*time.Millisecond, monotonic+50*time.Millisecond
	g.Expect(clock.suspended()).To(BeZero())
	boot, monotonic = boot+8*time.Second, monotonic+50*time.Millisecond
	gap := clock.suspended()
	g.Expect(gap).To(Equal(7950 * time.Millisecond))
	g.Expect(clock.suspended()).To(BeZero())

	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{log: log, cache: catalog.NewCache(nil), serverState: newServerState(DefaultSettings(), log), exchanger: &exchanger{conns: newServerConns(64, nil)}}
	n.cache.Merge(time.Now(), catalog.Snapshot{Config: &catalog.Config{Epoch: 1}, Servers: map[string]*catalog.Server{}, Revision: 5})
	n.afterSuspension(gap)
	config, servers := n.cache.Ages(time.Now())
	g.Expect(min(config, servers)).To(BeNumerically(">=", gap))
	g.Expect(newSuspensionClock().suspended()).To(BeZero())
}

// Guards against a start of the whole fleet in which each daemon takes the answer of a
// seed that has no content yet for old content, and calls the store itself.
func TestFirstContent(t *testing.T) {
	g := NewWithT(t)
	config, old := &catalog.Config{Epoch: 1}, 2*maxFirstContentAge
	n := &Node{started: time.Now()}
	for _, x := range []struct {
		name     string
		snapshot catalog.Snapshot
		confirm  bool
	}{
		{"empty", catalog.NewCache(nil).Snapshot(time.Now(), catalog.Versions{}), false},
		{"fresh", catalog.Snapshot{Config: config, Revision: 5}, false},
		{"only a fresh configuration", catalog.Snapshot{Config: config, ServerAge: time.Hour}, false},
		{"old configuration", catalog.Snapshot{Config: config, ConfigAge: old, Revision: 5}, true},
		{"old servers", catalog.Snapshot{Config: config, Revision: 5, ServerAge: old}, true},
	} {
		g.Expect(n.mustConfirm(x.snapshot)).To(Equal(x.confirm), x.name)
	}
	n.started = time.Now().Add(-2 * firstContentWait)
	g.Expect(n.mustConfirm(catalog.Snapshot{Revision: 5, ServerAge: old})).To(BeFalse(), "the store is away")
}
