package edge_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/edge"
	"github.com/agateusher/agateusher/settings"
	"github.com/agateusher/agateusher/standin/consortium"
)

func failClosed(within time.Duration) edge.RevocationSettings {
	return edge.RevocationSettings{Within: settings.Duration(within), FailClosed: true}
}

// statusOf sends a request with a key to a daemon.
func (s *site) statusOf(d *daemon, key string) int {
	return s.do(d, get("/read/x", "r", bearer(key))).status
}

// Guards against a host that the store refuses and that accepts a revoked key, or refuses
// valid ones although other hosts tell it that the configuration is in force.
func TestRevocationOnRefusedHost(t *testing.T) {
	s := newSite(t)
	s.configureKeys(oneWorkspace("key-old", "key-kept"))
	s.server("i-1", service)
	endpoint, err := s.store.NewEndpoint()
	s.g.Expect(err).NotTo(HaveOccurred())
	s.ready(s.daemon(keySettings(s, "h1", failClosed(2*time.Second))))
	set := keySettings(s, "h2", failClosed(2*time.Second))
	set.Store = endpoint.Address()
	refused := s.ready(s.daemon(set))
	time.Sleep(1500 * time.Millisecond) // until the hosts know each other
	endpoint.SetFault(consortium.Reset)
	s.g.Consistently(func() int { return s.statusOf(refused, "key-old") }).WithTimeout(3 * time.Second).WithPolling(100 * time.Millisecond).Should(Equal(http.StatusOK))
	s.configureKeys(oneWorkspace("key-kept"))
	revoked := time.Now()
	s.g.Eventually(func() int { return s.statusOf(refused, "key-old") }).WithTimeout(2500 * time.Millisecond).Should(Equal(http.StatusUnauthorized))
	t.Log("revoked on the host that the store refuses after", time.Since(revoked))
	s.g.Expect(s.statusOf(refused, "key-kept")).To(Equal(http.StatusOK))
}

// Guards against a host that starts with the old content of a peer, or with an old read
// of the store, and accepts a key that was revoked before its start.
func TestRevocationBeforeStart(t *testing.T) {
	s := newSite(t)
	s.configureKeys(oneWorkspace("key-old", "key-kept"))
	s.server("i-1", service)
	endpoint, err := s.store.NewEndpoint()
	s.g.Expect(err).NotTo(HaveOccurred())
	set := keySettings(s, "h1", revocation)
	set.Store = endpoint.Address()
	old := s.ready(s.daemon(set))
	endpoint.SetFault(consortium.Silent)
	s.store.FreezeStaleReads()
	s.configureKeys(oneWorkspace("key-kept"))
	time.Sleep(1700 * time.Millisecond)
	s.g.Expect(s.statusOf(old, "key-old")).To(Equal(http.StatusOK)) // nobody can tell it yet
	set = keySettings(s, "h2", revocation)
	set.Seeds = []string{old.settings.Listeners.Admin}
	started := s.daemon(set)
	s.g.Expect(s.statusOf(started, "key-old")).To(Equal(http.StatusUnauthorized))
	s.g.Expect(s.statusOf(started, "key-kept")).To(Equal(http.StatusOK))
}

// Guards against keys that are accepted beyond the bound while the store is away although
// the settings forbid it, and against requests that are refused although they do not.
func TestStoreAway(t *testing.T) {
	for _, closed := range []bool{true, false} {
		s := newSite(t)
		s.configureKeys(oneWorkspace("key-kept"))
		server := s.server("i-1", service)
		r := failClosed(2 * time.Second)
		r.FailClosed = closed
		d := s.ready(s.daemon(keySettings(s, "h1", r)))
		s.g.Expect(s.statusOf(d, "key-kept")).To(Equal(http.StatusOK))
		s.store.SetFault(consortium.Silent)
		time.Sleep(3500 * time.Millisecond)
		a := s.do(d, get("/read/x", "r", bearer("key-kept")))
		public := s.do(d, get("/public/x", "p", bearer("key-kept")))
		s.g.Expect(public.status).To(Equal(http.StatusOK))
		last := server.Requests()[len(server.Requests())-1]
		s.g.Expect(last.Header).NotTo(HaveKey("Authorization"))
		s.g.Expect(s.do(d, get("/read/x", "r", "")).status).To(Equal(http.StatusUnauthorized))
		if !closed {
			s.g.Expect(a.status).To(Equal(http.StatusOK))
			s.g.Expect(last.Header.Get("Agateusher-Tenant-Id")).To(Equal("acme"))
			continue
		}
		s.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		s.g.Expect(a.header.Get("Retry-After")).To(Equal("1"))
		s.g.Expect(last.Header).NotTo(HaveKey("Agateusher-Tenant-Id"))
		s.g.Expect(d.log.String()).To(ContainSubstring("event=keys_refused"))
		s.store.SetFault(consortium.Healthy)
		s.g.Eventually(func() int { return s.statusOf(d, "key-kept") }).WithTimeout(3 * time.Second).Should(Equal(http.StatusOK))
		s.g.Eventually(d.log.String).Should(ContainSubstring("event=keys_accepted"))
	}
}

// frozen starts usher-edge as a process that reaches the store at an address, freezes it,
// and sends it a request meanwhile. The response is received after it runs again.
func (s *site) frozen(r edge.RevocationSettings, store string, meanwhile func()) response {
	dir := s.t.TempDir()
	program, path := filepath.Join(dir, "usher-edge"), filepath.Join(dir, "settings.jsonc")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/usher-edge").CombinedOutput()
	s.g.Expect(err).NotTo(HaveOccurred(), string(out))
	set := keySettings(s, "frozen", r)
	set.Store = store
	text, err := json.Marshal(set)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
	p, log := exec.Command(program, "--settings", path), &syncBuffer{}
	p.Stdout, p.Stderr = log, log
	s.g.Expect(p.Start()).To(Succeed())
	s.t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
		if s.t.Failed() {
			s.t.Log(log.String())
		}
	})
	d := s.ready(&daemon{settings: set})
	c := s.dial(d)
	c.send(get("/read/x", "before", bearer("key-old")))
	s.g.Expect(c.receive().status).To(Equal(http.StatusOK))
	time.Sleep(2 * time.Second) // until it may be the relay, which a watch keeps up to date
	s.stop(p.Process)
	meanwhile()
	c.send(get("/read/x", "frozen", bearer("key-old")))
	time.Sleep(2 * time.Second)
	s.g.Expect(p.Process.Signal(syscall.SIGCONT)).To(Succeed())
	a := c.receive()
	s.t.Log("the process answered", a.status, "after the freeze within", a.took)
	return a
}

// stop stops a process and waits until all of its threads have stopped. On a busy machine
// they run on for a while after the signal, and could respond before the freeze.
func (s *site) stop(p *os.Process) {
	s.g.Expect(p.Signal(syscall.SIGSTOP)).To(Succeed())
	var status syscall.WaitStatus
	for {
		_, err := syscall.Wait4(p.Pid, &status, syscall.WUNTRACED, nil)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(status.Stopped()).To(BeTrue())
		return
	}
}

// Guards against a host that accepts a revoked key just after a freeze, by what it knew
// before or by what it finds in its sockets, with the store or only a peer to ask.
func TestRevocationDuringFreeze(t *testing.T) {
	t.Parallel()
	for _, refused := range []bool{false, true} {
		s := newSite(t)
		s.configureKeys(oneWorkspace("key-old"))
		server := s.server("i-1", service)
		endpoint, err := s.store.NewEndpoint()
		s.g.Expect(err).NotTo(HaveOccurred())
		if refused {
			s.ready(s.daemon(keySettings(s, "peer", revocation)))
		}
		a := s.frozen(revocation, endpoint.Address(), func() {
			time.Sleep(1500 * time.Millisecond) // the watch ends and finds no change
			s.configureKeys(oneWorkspace("key-new"))
			if refused {
				endpoint.SetFault(consortium.Silent)
			}
		})
		s.g.Expect(a.status).To(Equal(http.StatusUnauthorized))
		s.g.Expect(a.took).To(BeNumerically("<", time.Second))
		s.g.Expect(runCount("frozen", server)).To(BeZero())
	}
}

// Guards against a host that nobody confirms the configuration to after a freeze, and that
// does not keep to the setting.
func TestFreezeWithoutStore(t *testing.T) {
	t.Parallel()
	for closed, status := range map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusOK} {
		s := newSite(t)
		s.configureKeys(oneWorkspace("key-old"))
		s.server("i-1", service)
		r := failClosed(5 * time.Second)
		r.FailClosed = closed
		a := s.frozen(r, s.store.Address(), func() { s.store.SetFault(consortium.Reset) })
		s.g.Expect(a.status).To(Equal(status), fmt.Sprint(closed))
		s.g.Expect(a.took).To(BeNumerically("<", 2*time.Second))
	}
}

// Guards against a host that accepts a revoked key just after a suspension, in which only
// the boot-time clock runs, and that tells others that its content is confirmed.
func TestRevocationDuringSuspension(t *testing.T) {
	s := newSite(t)
	s.configureKeys(oneWorkspace("key-old", "key-kept"))
	s.server("i-1", service)
	var suspended atomic.Int64
	d := s.ready(s.daemonWith(keySettings(s, "h1", revocation), func(n *edge.Node) { n.DelayClock(&suspended) }))
	s.g.Expect(s.statusOf(d, "key-old")).To(Equal(http.StatusOK))
	s.store.SetFault(consortium.Reset)
	time.Sleep(100 * time.Millisecond)
	s.configureKeys(oneWorkspace("key-kept"))
	suspended.Store(int64(10 * time.Second))
	s.g.Expect(s.admin(d, "/catalog")).To(ContainSubstring(fmt.Sprintf(`"configAge":%d,`, time.Hour)))
	time.AfterFunc(300*time.Millisecond, func() { s.store.SetFault(consortium.Healthy) })
	s.g.Expect(s.statusOf(d, "key-old")).To(Equal(http.StatusUnauthorized))
	s.g.Expect(s.statusOf(d, "key-kept")).To(Equal(http.StatusOK))
	s.g.Expect(s.admin(d, "/catalog")).NotTo(ContainSubstring(fmt.Sprintf(`"configAge":%d,`, time.Hour)))
}

// Guards against a second freeze, while a confirmation of the configuration is asked for
// after a first one, after which nobody asks any more.
func TestRevocationDuringRepeatedFreezes(t *testing.T) {
	s := newSite(t)
	s.configureKeys(oneWorkspace("key-old"))
	s.server("i-1", service)
	var suspended atomic.Int64
	d := s.ready(s.daemonWith(keySettings(s, "h1", revocation), func(n *edge.Node) { n.DelayClock(&suspended) }))
	s.g.Expect(s.statusOf(d, "key-old")).To(Equal(http.StatusOK))
	s.store.SetFault(consortium.Reset)
	time.Sleep(100 * time.Millisecond)
	s.configureKeys(oneWorkspace("key-kept"))
	suspended.Store(int64(10 * time.Second))
	asked := func() int { return strings.Count(d.log.String(), "event=process_frozen") }
	s.g.Eventually(asked).WithPolling(5 * time.Millisecond).Should(Equal(1))
	time.Sleep(1100 * time.Millisecond)
	suspended.Store(int64(20 * time.Second))
	// Later than the first question is asked, and before requests cease to wait.
	time.AfterFunc(600*time.Millisecond, func() { s.store.SetFault(consortium.Healthy) })
	s.g.Expect(s.statusOf(d, "key-old")).To(Equal(http.StatusUnauthorized))
	s.g.Expect(asked()).To(BeNumerically(">=", 2))
}

// Guards against a configuration that an older version of the program passes on, which
// does not read workspaces: by it all routes would be open.
func TestConfigurationOfOlderVersion(t *testing.T) {
	s := newSite(t)
	s.store.SetFault(consortium.Reset)
	old := http.Server{Addr: s.settings("old").Listeners.Admin, ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(catalog.Snapshot{
			Config: &catalog.Config{Epoch: 9, Routes: []catalog.Route{{Name: "r", Host: "api.example", Prefix: "/read/", Services: []catalog.WeightedService{{Service: service, Weight: 1}}}}},
			Epoch:  9, ConfigCursor: 9, Revision: 1,
		})
	})}
	go func() { _ = old.ListenAndServe() }()
	t.Cleanup(func() { _ = old.Close() })
	set := keySettings(s, "h1", revocation)
	set.Seeds = []string{old.Addr}
	d := s.daemon(set)
	time.Sleep(time.Second)
	s.g.Expect(s.statusOf(d, "any")).To(Equal(http.StatusServiceUnavailable))
	s.g.Expect(s.metrics(d)).To(ContainSubstring("config_epoch 0\n"))
}
