package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// graceSeconds is grace_s of a small deployment.
const graceSeconds = 6

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		cleanUp()
		os.Exit(2)
	}
}

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   *os.File
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{began: time.Now(), out: f}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// daemon is a process of usher-edge.
type daemon struct {
	name, zone, region string
	addresses          map[string]string
	reserved           []*reservation
	settings           string
	log                *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

var (
	daemonsMu  sync.Mutex
	allDaemons []*daemon
	workDir    string
)

// cleanUp ends all processes that were started.
func cleanUp() {
	daemonsMu.Lock()
	defer daemonsMu.Unlock()
	for _, d := range allDaemons {
		d.kill()
	}
	if workDir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(workDir)
	}
}

// reservation keeps a port for a daemon that has not been started yet.
type reservation struct {
	address string
	tcp     net.Listener
	udp     net.PacketConn
}

func (r *reservation) release() {
	_ = r.tcp.Close()
	_ = r.udp.Close()
}

// reserve returns a loopback address below the range from which the kernel takes the ports
// of outgoing connections.
func reserve() *reservation {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		tcp, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		udp, err := net.ListenPacket("udp4", address)
		if err != nil {
			_ = tcp.Close()
			continue
		}
		return &reservation{address, tcp, udp}
	}
	check(fmt.Errorf("no free port"))
	return nil
}

// options are the parts of a daemon's settings that differ between cases.
type options struct {
	store   string
	regions map[string]string
	seeds   []string
	extra   map[string]any
}

// newDaemon prepares a daemon; its settings are what the template of the deploy file
// makes of the fields of a small deployment.
func newDaemon(name, zone, region string) *daemon {
	d := &daemon{name: name, zone: zone, region: region, addresses: map[string]string{}}
	for _, use := range []string{"caller", "ready", "admin", "fleet"} {
		r := reserve()
		d.addresses[use], d.reserved = r.address, append(d.reserved, r)
	}
	d.settings = filepath.Join(workDir, name+".jsonc")
	log, err := os.Create(filepath.Join(workDir, name+".log"))
	check(err)
	d.log = log
	daemonsMu.Lock()
	allDaemons = append(allDaemons, d)
	daemonsMu.Unlock()
	return d
}

func (d *daemon) configure(o options) {
	s := map[string]any{
		"host":      map[string]any{"id": d.name, "dataCentre": d.zone, "region": d.region, "cores": 0.32, "linkMbps": 1000.0},
		"listeners": d.addresses,
		"store":     o.store, "seeds": append([]string{}, o.seeds...), "regions": o.regions,
		"retries":   map[string]any{"ratio": 0.2, "slack": 58, "window": "10s"},
		"stop":      map[string]any{"grace": fmt.Sprintf("%ds", graceSeconds)},
		"memoryMiB": 284,
	}
	for k, v := range o.extra {
		s[k] = v
	}
	data, err := json.MarshalIndent(s, "", "  ")
	check(err)
	check(os.WriteFile(d.settings, data, 0o600))
}

func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.reserved {
		r.release()
	}
	d.reserved = nil
	d.cmd = exec.Command("target/usher-edge")
	d.cmd.Env = append(os.Environ(), names["settingsVariable"]+"="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	check(d.cmd.Start())
	d.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(d.cmd, d.ended)
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

func (d *daemon) kill() {
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	if d.ended != nil {
		<-d.ended
	}
}

// ready asks the daemon the question of the load balancer.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.addresses["ready"] + names["readinessPath"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func awaitReady(daemons ...*daemon) {
	for stop := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, d := range daemons {
			all = all && d.ready()
		}
		if all {
			return
		}
		if time.Now().After(stop) {
			check(fmt.Errorf("the daemons are not ready"))
		}
	}
}

// attempt is a request of a client.
type attempt struct {
	id, daemon, method, path string
	sent, answered           time.Time
	status                   int
	signed, whole            bool
	err                      error
}

// client sends requests with an id each, on kept connections.
type client struct {
	http *http.Client
	log  *record
	host string

	mu       sync.Mutex
	attempts []attempt
}

func newClient(log *record, host string) *client {
	return &client{log: log, host: host, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8, IdleConnTimeout: 4 * time.Second}}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *client) send(d *daemon, method, path string, deadline time.Duration, header map[string]string) attempt {
	a := attempt{id: newID(), daemon: d.name, method: method, path: path, sent: time.Now()}
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte("order " + a.id))
	}
	req, err := http.NewRequest(method, "http://"+d.addresses["caller"]+path, body)
	check(err)
	req.Host = c.host
	req.GetBody = nil
	req.Header.Set("Agateusher-Request-Id", a.id)
	req.Header.Set(names["deadlineHeader"], fmt.Sprint(deadline.Milliseconds()))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	c.log.line("sent %s %s %s to %s", a.id, method, path, d.name)
	c.http.Timeout = deadline + time.Second
	resp, err := c.http.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.signed = resp.StatusCode, resp.Header.Get(names["signatureHeader"]) != ""
		a.whole = err == nil && string(data) == "answer to "+a.id+"\n"
	}
	a.err, a.answered = err, time.Now()
	c.log.line("answered %s status %d signed %t error %v", a.id, a.status, a.signed, err != nil)
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	return a
}

func (c *client) all() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}
