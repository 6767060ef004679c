package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/edge"
	"github.com/agateusher/agateusher/settings"
	"github.com/agateusher/agateusher/standin"
	"github.com/agateusher/agateusher/standin/consortium"
	"github.com/agateusher/agateusher/standin/relay"
)

const (
	service     = "registry"
	dataCentre  = "zone-a"
	daemonCount = 4
	serverCount = 5
	// grace is the time that a planned stop may take.
	grace = 4 * time.Second
	// routeTimeout is the timeout of both routes.
	routeTimeout = 1500 * time.Millisecond
)

// deployment is the daemons, backend servers and store under test.
type deployment struct {
	t       *testing.T
	random  *rand.Rand
	program string
	dir     string
	store   *consortium.Store
	link    *relay.Relay // between the daemons and the store
	servers []*backend
	daemons []*process
	epoch   int
	keys    keyring
	// copied is a copy of the store's content, made at copiedAt; zero without one.
	copied   consortium.Copy
	copiedAt time.Time
	// registering guards the states of the servers.
	registering sync.Mutex
}

// backend is a backend server behind a relay.
type backend struct {
	*consortium.Server
	link *relay.Relay
	// unframedUntil is until when answers may have no length. The end of the
	// connection ends such an answer, so that a cut which is no reset cannot be told
	// from its end by anybody.
	unframedUntil time.Time
	// plainCutsUntil is until when the link may be cut without a reset.
	plainCutsUntil time.Time
	// state is the one in the server's entry.
	state string
}

// process is a daemon, which may be restarted.
type process struct {
	settings edge.Settings
	path     string
	log      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// failuresAllowedUntil is the end of the time in which requests may fail.
	failuresAllowedUntil time.Time
	ended                chan struct{}
	// stopStarted is when the last planned stop was signalled.
	stopStarted time.Time
}

func newDeployment(t *testing.T, program string, seed uint64) *deployment {
	t.Helper()
	w := &deployment{t: t, random: rand.New(rand.NewPCG(seed, seed)), program: program, dir: t.TempDir(), keys: keyring{sent: map[string]sentKey{}}}
	store, err := consortium.NewStore()
	w.must(err)
	t.Cleanup(store.Close)
	w.store = store
	w.link = w.relay(store.Address(), seed)
	w.configure()
	for i := range serverCount {
		w.addServer(i, seed)
	}
	for i := range daemonCount {
		w.addDaemon(i, seed)
	}
	return w
}

func (w *deployment) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *deployment) relay(target string, seed uint64) *relay.Relay {
	r, err := relay.New(target, seed)
	w.must(err)
	w.t.Cleanup(r.Close)
	return r
}

func (w *deployment) configure() {
	w.epoch += 1 + w.random.IntN(4)
	w.putConfig()
}

// putConfig writes the configuration with the present version.
func (w *deployment) putConfig() {
	route := `{"host":"api.example","path_prefix":"/%s/","route_type":%q,"timeout_ms":%d,"target_latency_ms":400,"priority":1,"service":"registry","max_attempts":2}`
	ms := routeTimeout.Milliseconds()
	w.store.Put("config", "main", fmt.Sprintf(`{"version":%d,"tenants":%s,"routes":{"r":`+route+`,"w":`+route+`},"limits":{"max_header_bytes":8192,"max_body_bytes":65536,"header_timeout_ms":1000,"idle_timeout_ms":5000}}`,
		w.epoch, w.keys.tenants(), "read", "idempotent", ms, "write", "non_idempotent", ms), "")
}

func (w *deployment) addServer(i int, seed uint64) {
	server, err := consortium.NewServer(fmt.Sprint("i-", i), int64(seed)+1)
	w.must(err)
	w.t.Cleanup(server.Close)
	server.SetServiceTime(30 * time.Millisecond)
	b := &backend{Server: server, link: w.relay(server.Address(), seed+uint64(i))}
	w.servers = append(w.servers, b)
	w.register(b, "in_service")
}

// register writes the entry of a server. One that was draining is a new start.
func (w *deployment) register(b *backend, state string) {
	w.registering.Lock()
	defer w.registering.Unlock()
	if b.state == "draining" && state != b.state {
		b.StartedAtMs++
	}
	b.state = state
	w.putEntry(b)
}

// registerAgain writes the entries of all servers as they are.
func (w *deployment) registerAgain() {
	w.registering.Lock()
	defer w.registering.Unlock()
	for _, b := range w.servers {
		w.putEntry(b)
	}
}

// putEntry writes the entry of a server. w.registering must be held.
func (w *deployment) putEntry(b *backend) {
	spec := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":2}}`, b.link.Address(), b.StartedAtMs, service, dataCentre)
	w.store.Put("servers", b.ID, spec, fmt.Sprintf(`{"state":%q,"sequence":1,"warmup_left_ms":0}`, b.state))
}

func (w *deployment) addDaemon(i int, seed uint64) {
	s := edge.DefaultSettings()
	s.Host = edge.HostSettings{ID: model.HostID(fmt.Sprint("h", i)), DataCentre: dataCentre, Region: "r"}
	for _, address := range []*string{&s.Listeners.Caller, &s.Listeners.Ready, &s.Listeners.Admin, &s.Listeners.Fleet} {
		free, err := standin.FreeAddress()
		w.must(err)
		*address = free
	}
	s.Store, s.Regions = w.link.Address(), map[model.DataCentre]model.Region{dataCentre: "r"}
	s.Stop = edge.StopSettings{Grace: settings.Duration(grace), Notice: settings.Duration(800 * time.Millisecond)}
	s.Workspaces.Revocation = edge.RevocationSettings{Within: settings.Duration(revokeBound), FailClosed: seed%2 == 1}
	p := &process{settings: s, path: filepath.Join(w.dir, string(s.Host.ID)+".jsonc")}
	data, err := json.Marshal(s)
	w.must(err)
	w.must(os.WriteFile(p.path, data, 0o600))
	p.log, err = os.Create(filepath.Join(w.dir, string(s.Host.ID)+".log"))
	w.must(err)
	w.daemons = append(w.daemons, p)
	w.start(p)
	w.t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.current()
		_ = p.log.Close()
	})
}

// start starts a daemon; its ended channel is closed when the process has ended.
func (w *deployment) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(w.program, "--settings", p.path)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	w.must(p.cmd.Start())
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // returns an error for a killed process
		close(ended)
	}(p.cmd, p.ended)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // fails if the process has ended
}

func (p *process) current() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// allowFailures allows requests to the daemon to fail until d from now.
func (p *process) allowFailures(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(d); until.After(p.failuresAllowedUntil) {
		p.failuresAllowedUntil = until
	}
}

func (p *process) failureAllowed(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return since.Before(p.failuresAllowedUntil)
}

// mayMeetStop reports whether a request that began at the given time can arrive
// while the listener closes in a planned stop: between the end of the notice
// period and the end of the grace period.
func (p *process) mayMeetStop(began time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := began.Sub(p.stopStarted)
	return since > p.settings.Stop.Notice.Std()-stopSlack && since < grace
}

// stopSlack covers the time that the delivery of the signal takes.
const stopSlack = 50 * time.Millisecond

// keepLogs copies the logs of a failed run out of the temporary directory of the
// test, which is removed at its end.
func (w *deployment) keepLogs(seed uint64) {
	if !w.t.Failed() {
		return
	}
	kept := filepath.Join(os.TempDir(), fmt.Sprint("usher-soak-", seed))
	if err := os.CopyFS(kept, os.DirFS(w.dir)); err != nil {
		w.t.Log("cannot keep the logs:", err)
		return
	}
	w.t.Log("logs kept in", kept)
}
