package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
	"github.com/agateusher/agateusher/objectapi"
)

// settingsVariable is the environment variable that names a settings file. If it is
// set, the test binary runs a daemon with that file instead of the tests.
const settingsVariable = "AGATEUSHER_TEST_DAEMON"

var measureFlag = flag.Bool("measure", false, "print measured figures: the delays of lookups around the loss of an owner, and the time of handovers")

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsVariable); path != "" {
		os.Exit(runDaemon(path))
	}
	flag.Parse()
	os.Exit(m.Run())
}

func runDaemon(path string) int {
	s, err := LoadSettings(path)
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		var d *Daemon
		if d, err = New(s, os.Stderr); err == nil {
			err = d.Run(ctx)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// processFleet runs daemons as separate processes, so that signals can kill, pause
// and stop them. The platform and the backend servers run in the test process.
type processFleet struct {
	*testFleet
	processes []*daemonProcess
	owner     int // index of the pool's owner in processes
}

type daemonProcess struct {
	settings Settings
	command  *exec.Cmd
	log      bytes.Buffer
	exited   chan error
}

func newProcessFleet(t *testing.T, hosts int) *processFleet {
	t.Helper()
	g := NewWithT(t)
	f := &processFleet{testFleet: newTestFleet(t, 0, 6, nil)}
	var list []objectapi.Host
	var ids []model.HostID
	for i := range hosts {
		s := testSettings(i, f.url)
		s.Stop.Notice = 500_000_000
		list = append(list, objectapi.Host{
			ID: s.Host.ID, DataCentre: s.Host.DataCentre, Region: s.Host.Region, State: objectapi.HostLive,
			CallerAddress: s.Listeners.Caller, FleetAddress: s.Listeners.Fleet, PeerAddress: s.Listeners.Peer, AdminAddress: s.Listeners.Admin,
		})
		ids = append(ids, s.Host.ID)
		f.processes = append(f.processes, &daemonProcess{settings: s})
	}
	f.platform.SetHosts(list)
	for _, p := range f.processes {
		p.start(t)
	}
	top := ranking.Top(model.PoolID{Service: "booking", DataCentre: "lagos-1"}.String(), ids, 1)[0]
	f.owner = slices.Index(ids, top)
	g.Eventually(func() bool { return f.allReady() }).WithTimeout(10 * time.Second).Should(BeTrue())
	return f
}

func (p *daemonProcess) start(t *testing.T) {
	g := NewWithT(t)
	raw, err := json.Marshal(p.settings)
	g.Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(t.TempDir(), "settings.json")
	g.Expect(os.WriteFile(path, raw, 0o600)).To(Succeed())
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), settingsVariable+"="+path)
	p.command.Stderr = &p.log
	p.exited = make(chan error, 1)
	g.Expect(p.command.Start()).To(Succeed())
	go func() { p.exited <- p.command.Wait(); close(p.exited) }()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("log of %s:\n%s", p.settings.Host.ID, p.log.String())
		}
	})
}

func (p *daemonProcess) signal(t *testing.T, s os.Signal) {
	NewWithT(t).Expect(p.command.Process.Signal(s)).To(Succeed())
}

func (f *processFleet) allReady() bool {
	for _, p := range f.processes {
		resp, err := http.Get("http://" + p.settings.Listeners.Admin + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// entries returns the caller addresses of all hosts except the owner.
func (f *processFleet) entries() []string {
	var list []string
	for i, p := range f.processes {
		if i != f.owner {
			list = append(list, p.settings.Listeners.Caller)
		}
	}
	return list
}

// lookups records the delay of each lookup, from its scheduled time, and the
// failures.
type lookups struct {
	mu       sync.Mutex
	delays   []time.Duration
	failures []string
}

// lookupInterval gives a rate of 200 lookups per second.
const lookupInterval = 5 * time.Millisecond

// startLookups sends lookups at a fixed rate, alternating between the entries, until
// the returned function is called. That function waits for lookups in progress.
func (f *processFleet) startLookups() (*lookups, func()) {
	l, stop, entries := &lookups{}, make(chan struct{}), f.entries()
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(lookupInterval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case started := <-ticker.C:
				wg.Go(func() { l.send(entries[i%len(entries)], started) })
			}
		}
	})
	return l, func() { close(stop); wg.Wait() }
}

func (l *lookups) send(address string, started time.Time) {
	r, err := send("GET", address, "/spaces/1", "", nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays = append(l.delays, time.Since(started))
	if err != nil || r.outcome != "answered" {
		l.failures = append(l.failures, fmt.Sprintf("%v %+v", err, r))
	}
}

// report returns the median and the maximum delay. With -measure it prints them.
func (l *lookups) report(event string) (median, worst time.Duration) {
	slices.Sort(l.delays)
	median, worst = l.delays[len(l.delays)/2], l.delays[len(l.delays)-1]
	if *measureFlag {
		slow := 0
		for _, d := range l.delays {
			if d > 250*time.Millisecond {
				slow++
			}
		}
		fmt.Printf("%-12s lookups %d  failed %d  over 250ms %d  median %s  p99 %s  worst %s\n", event, len(l.delays), len(l.failures), slow,
			median.Round(100*time.Microsecond), l.delays[len(l.delays)*99/100].Round(100*time.Microsecond), worst.Round(time.Millisecond))
	}
	return median, worst
}

// maxAddedDelay is the target for the maximum delay beyond the median around the
// loss of an owner.
const maxAddedDelay = time.Second

// Guards against lookups that fail or are delayed when the owner is killed, paused
// for 1 s or stopped as planned.
func TestOwnerLoss(t *testing.T) {
	if !*measureFlag {
		t.Parallel()
	}
	for _, c := range []struct {
		name string
		do   func(t *testing.T, p *daemonProcess)
	}{
		{"kill", func(t *testing.T, p *daemonProcess) { p.signal(t, syscall.SIGKILL) }},
		{"freeze", func(t *testing.T, p *daemonProcess) {
			p.signal(t, syscall.SIGSTOP)
			time.Sleep(time.Second)
			p.signal(t, syscall.SIGCONT)
		}},
		{"planned stop", func(t *testing.T, p *daemonProcess) {
			p.signal(t, syscall.SIGTERM)
			NewWithT(t).Eventually(p.exited).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !*measureFlag {
				t.Parallel()
			}
			g := NewWithT(t)
			f := newProcessFleet(t, 4)
			l, stop := f.startLookups()
			time.Sleep(500 * time.Millisecond)
			c.do(t, f.processes[f.owner])
			time.Sleep(1500 * time.Millisecond)
			stop()
			median, worst := l.report(c.name)
			g.Expect(l.failures).To(BeEmpty())
			g.Expect(worst - median).To(BeNumerically("<", maxAddedDelay))
		})
	}
}

// payments sends requests with keys and records the response to each.
type payments struct {
	keys chan string

	mu       sync.Mutex
	answers  map[string][]byte
	failures []string
}

// paymentPause is the delay between a worker's requests, so that the keys last for
// the whole planned stop.
const paymentPause = 20 * time.Millisecond

// answered returns the number of requests that were answered so far.
func (p *payments) answered() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.answers)
}

func (p *payments) worker(entries []string, worker int, stop <-chan struct{}) {
	for i := worker; ; i++ {
		select {
		case <-stop:
			return
		case key := <-p.keys:
			p.spend(entries[i%len(entries)], key)
			time.Sleep(paymentPause)
		}
	}
}

func (p *payments) spend(entry, key string) {
	started := time.Now()
	r, err := send("POST", entry, "/payments", key, []byte(`{"amount":5}`))
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || r.outcome != "answered" {
		p.failures = append(p.failures, fmt.Sprintf("%s %v %+v", started.Format("05.000"), err, r))
	}
	p.answers[key] = r.body
}

// Guards the planned stop of a host that issued keys: no request with a key fails,
// each is executed once, the successor accepts unspent keys and answers repeated
// requests, and a second SIGTERM has no effect.
func TestPlannedStopWithKeys(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newProcessFleet(t, 4)
	entries := f.entries()
	// All keys are issued by the owner that stops. They are spent before, during
	// and after its handover.
	const batches, batch = 30, 100
	p := &payments{answers: map[string][]byte{}, keys: make(chan string, batches*batch)}
	for range batches {
		for _, key := range issueKeys(t, entries[0], batch) {
			p.keys <- key
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() { p.worker(entries, w, stop) })
	}
	// The phases are counted in requests, as their number in a given time depends on
	// the machine.
	g.Eventually(p.answered).WithTimeout(20 * time.Second).Should(BeNumerically(">", 140))
	owner := f.processes[f.owner]
	before := p.answered()
	owner.signal(t, syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	owner.signal(t, syscall.SIGTERM)
	g.Eventually(owner.exited).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	during := p.answered() - before
	g.Eventually(p.answered).WithTimeout(20 * time.Second).Should(BeNumerically(">", max(500, before+during+80)))
	close(stop)
	wg.Wait()
	g.Expect(p.failures).To(BeEmpty())
	g.Expect(during).To(BeNumerically(">", 100))
	g.Expect(p.keys).NotTo(BeEmpty(), "the keys ran out before the planned stop ended")
	if *measureFlag {
		fmt.Printf("planned stop with keys: spent %d  failed %d\n", len(p.answers), len(p.failures))
	}
	for key, body := range p.answers {
		r, err := send("POST", entries[0], "/payments", key, []byte(`{"amount":5}`))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.outcome).To(Equal("answered"), "%+v", r)
		g.Expect(r.body).To(Equal(body), "a repeated request got another response")
	}
	runs := f.executions()
	for key := range p.answers {
		g.Expect(runs[key]).To(Equal(1))
	}
}

// Guards against a request that is executed twice because two hosts act as owner
// at once: the owner is paused until another host has replaced it and issued keys,
// and then continues.
func TestTwoOwners(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newProcessFleet(t, 4)
	entries := f.entries()
	keys := issueKeys(t, entries[0], 10)
	owner := f.processes[f.owner]
	owner.signal(t, syscall.SIGSTOP)
	g.Eventually(func() int { return len(issueKeys(t, entries[1], 1)) }).WithTimeout(5 * time.Second).Should(Equal(1))
	keys = append(keys, issueKeys(t, entries[1], 10)...)
	owner.signal(t, syscall.SIGCONT)
	time.Sleep(100 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, key := range append(keys, keys...) {
		for _, entry := range entries {
			wg.Go(func() {
				r, err := send("POST", entry, "/payments", key, []byte(`{"amount":5}`))
				mu.Lock()
				defer mu.Unlock()
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(r.outcome).To(Equal("answered"), "%+v", r)
			})
		}
	}
	wg.Wait()
	runs := f.executions()
	for _, key := range keys {
		g.Expect(runs[key]).To(Equal(1))
	}
}
