package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the daemons; each daemon has a loopback address of its own.
type ports struct{ caller, ready, control, internal int }

// host is one machine of the fleet.
type host struct {
	name, ip, zone, region string
	// store is the address of the store that this machine uses.
	store    string
	settings string // path
	log      *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// deployment is the fleet with the platform's store and the endpoints.
type deployment struct {
	dir     string
	program string
	record  *record
	store   *store
	ports   ports
	zones   map[string]string
	bounds  map[string]string
	hosts   []*host

	endpoints []*endpoint
	sequence  int
}

// Values of a small deployment.
var smallBounds = map[string]string{
	"retry_budget_ratio": "0.2", "retry_budget_slack": "58", "budget_window_s": "10", "grace_s": "6",
	"config_apply_ms": "2500", "drain_ms": "2500", "contact_ms": "4000",
}

var smallLimits = map[string]string{"cpu_share": "0.32", "link_mbps": "1000.0", "memory_mb": "284"}

// newDeployment prepares hosts in the given zones, by zone and region.
func newDeployment(rec *record, dir string, zones [][2]string, hostsPerZone int) (*deployment, error) {
	program, err := filepath.Abs("target/usher-edge")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, program: program, record: rec, zones: map[string]string{}, bounds: smallBounds}
	if d.store, err = newStore("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i, z := range zones {
		d.zones[z[0]] = z[1]
		for k := range hostsPerZone {
			d.hosts = append(d.hosts, &host{
				name: fmt.Sprintf("edge-%s-%d", z[0], k+1), ip: fmt.Sprintf("127.%d.%d.%d", 20+i, os.Getpid()%250+1, k+10), zone: z[0], region: z[1], store: d.store.address,
			})
		}
	}
	if d.ports, err = freePorts(d.hosts); err != nil {
		return nil, err
	}
	return d, nil
}

// freePorts returns ports that are free on all hosts.
func freePorts(hosts []*host) (ports, error) {
	var found []int
	for port := 18100 + os.Getpid()%3000; len(found) < 4 && port < 32000; port++ {
		if portFree(hosts, port) {
			found = append(found, port)
		}
	}
	if len(found) < 4 {
		return ports{}, fmt.Errorf("no free ports")
	}
	return ports{found[0], found[1], found[2], found[3]}, nil
}

func portFree(hosts []*host, port int) bool {
	for _, h := range hosts {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", h.ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (d *deployment) caller(h *host) string  { return fmt.Sprintf("%s:%d", h.ip, d.ports.caller) }
func (d *deployment) ready(h *host) string   { return fmt.Sprintf("%s:%d", h.ip, d.ports.ready) }
func (d *deployment) control(h *host) string { return fmt.Sprintf("%s:%d", h.ip, d.ports.control) }

var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.|]+)\}\}`)

// dropSections removes the sections of a template; they are for deployments with tenants.
func dropSections(text string) string {
	before, rest, found := strings.Cut(text, "{{#")
	if !found {
		return text
	}
	name, rest, _ := strings.Cut(rest, "}}")
	_, after, _ := strings.Cut(rest, "{{/"+name+"}}")
	return before + dropSections(after)
}

// writeSettings fills the deploy file's template for a host.
func (d *deployment) writeSettings(h *host) error {
	text, err := os.ReadFile("deploy/usher-edge.jsonc.tmpl")
	if err != nil {
		return err
	}
	var seeds []string
	for i := 0; i < min(3, len(d.hosts)); i++ {
		seeds = append(seeds, d.control(d.hosts[i*len(d.hosts)/min(3, len(d.hosts))]))
	}
	values := map[string]string{
		"node_name": h.name, "zone": h.zone, "region": h.region, "ip": h.ip,
		"listen_addrs.frontend": d.caller(h), "listen_addrs.ready": d.ready(h), "listen_addrs.control": d.control(h),
		"internal_port_range.0": fmt.Sprint(d.ports.internal), "platform.address": h.store,
		"seed_addrs|json": string(encode(seeds)), "zones|json": string(encode(d.zones)),
	}
	for name, v := range d.bounds {
		values["bounds."+name] = v
	}
	for name, v := range smallLimits {
		values["limits."+name] = v
	}
	filled := dropSections(string(text))
	filled = placeholder.ReplaceAllStringFunc(filled, func(m string) string {
		v, ok := values[strings.Trim(m, "{}")]
		if !ok {
			err = fmt.Errorf("no value for %s", m)
		}
		return v
	})
	if err != nil {
		return err
	}
	h.settings = filepath.Join(d.dir, h.name+".jsonc")
	return os.WriteFile(h.settings, []byte(filled), 0o600)
}

// started has all processes that were started.
var started struct {
	sync.Mutex
	list []*exec.Cmd
}

// killAll ends all processes that were started and still run.
func killAll() {
	started.Lock()
	defer started.Unlock()
	for _, cmd := range started.list {
		_ = cmd.Process.Kill() // fails if it has ended
	}
}

// start starts a host's daemon with the command of the deploy file.
func (d *deployment) start(h *host) error {
	if err := d.writeSettings(h); err != nil {
		return err
	}
	if h.log == nil {
		var err error
		if h.log, err = os.Create(filepath.Join(d.dir, h.name+".log")); err != nil {
			return err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = exec.Command(d.program)
	h.cmd.Env = []string{wire.SettingsVariable + "=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	started.Lock()
	started.list = append(started.list, h.cmd)
	started.Unlock()
	h.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(h.cmd, h.ended)
	d.record.add("%s started", h.name)
	return nil
}

func (d *deployment) signal(h *host, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		d.record.add("%s gets signal %d", h.name, s)
		_ = h.cmd.Process.Signal(s)
	}
}

// startAll starts all daemons and waits until they are ready.
func (d *deployment) startAll() error {
	for _, h := range d.hosts {
		if err := d.start(h); err != nil {
			return err
		}
	}
	return d.awaitReady(10 * time.Second)
}

func (d *deployment) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for _, h := range d.hosts {
		for {
			resp, err := client.Get("http://" + d.ready(h) + wire.ReadinessPath)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(30 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes that this deployment started.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.mu.Lock()
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
		}
		ended := h.ended
		h.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	for _, e := range d.endpoints {
		e.close()
	}
	_ = d.store.server.Close()
}

// addEndpoint starts an endpoint and registers it.
func (d *deployment) addEndpoint(id, service, zone string, slots int, work time.Duration) (*endpoint, error) {
	e, err := newEndpoint(d.record, "127.0.0.1:0", id, service, zone, slots, work)
	if err != nil {
		return nil, err
	}
	d.endpoints = append(d.endpoints, e)
	d.register(e, wire.InService)
	return e, nil
}

// register writes an endpoint's entry and returns its revision.
func (d *deployment) register(e *endpoint, state string) uint64 {
	d.sequence++
	spec, status := e.entry(state, d.sequence)
	revision := d.store.put("servers", e.id, spec, status)
	d.record.add("entry of %s %s: %s, revision %d", e.service, e.id, state, revision)
	return revision
}

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	timeoutMs             int
}

// value returns the route as in the configuration.
func (r route) value() map[string]any {
	return map[string]any{
		"host": apiHost, "path_prefix": r.prefix, wire.RouteType: r.kind, "service": r.service,
		"timeout_ms": r.timeoutMs, "target_latency_ms": 600, "priority": 1, "max_attempts": 2,
	}
}

// limits are the limits of the configuration.
type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	IdleTimeoutMs   int `json:"idle_timeout_ms"`
}

// configure writes a version of the configuration.
func (d *deployment) configure(version int, routes map[string]route, l limits) {
	services, values := map[string]any{}, map[string]any{}
	for name, r := range routes {
		values[name] = r.value()
		services[r.service] = map[string]any{"health_check_path": "/health", "max_connections": 330, "protocol": "h1", "tls": false}
	}
	d.store.put("config", "main", map[string]any{"version": version, "routes": values, "services": services, "limits": l}, nil)
	text, _ := json.Marshal(l)
	d.record.add("the store acknowledges version %d of the configuration, limits %s", version, text)
}
