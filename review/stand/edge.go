package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// edge is a process of the program that the deploy file names.
type edge struct {
	frontend, ready string
	cmd             *exec.Cmd
	ended           chan struct{}
}

var (
	runLine     = regexp.MustCompile(`(?m)^run = "([^"]+)"`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)(\|json)?\}\}`)
)

// freePorts returns ports of 127.0.0.1 that are free for TCP and UDP.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			return nil, err
		}
		defer func() { _ = u.Close() }()
		ports = append(ports, port)
	}
	return ports, nil
}

// startEdge starts the role of the deploy file, with its template filled in as the
// platform fills it in.
func startEdge(root, dir string, s *store) (*edge, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy/usher-edge.jsonc.tmpl"))
	if err != nil {
		return nil, err
	}
	local := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	e := &edge{frontend: local(ports[0]), ready: local(ports[1]), ended: make(chan struct{})}
	control := local(ports[2])
	fields := map[string]any{
		"node_name": "edge-lekki-1", "zone": "lekki", "region": "lagos", "limits.cpu_share": 0.32, "limits.link_mbps": 1000.0,
		"listen_addrs.frontend": e.frontend, "listen_addrs.ready": e.ready, "listen_addrs.control": control,
		"ip": "127.0.0.1", "internal_port_range.0": ports[3], "platform.address": s.address,
		"seed_addrs": []string{control}, "zones": map[string]string{"lekki": "lagos"},
		"bounds.retry_budget_ratio": 0.2, "bounds.retry_budget_slack": 58, "bounds.budget_window_s": 10, "bounds.grace_s": 6,
		"limits.memory_mb": 284,
	}
	var missing error
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, ok := fields[m[1]]
		if !ok {
			missing = fmt.Errorf("the template has an unknown placeholder %s", p)
		}
		if text, isText := v.(string); isText && m[2] == "" {
			return text
		}
		data, _ := json.Marshal(v)
		return string(data)
	})
	if missing != nil {
		return nil, missing
	}
	path := filepath.Join(dir, "settings.jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	m := runLine.FindStringSubmatch(string(deploy))
	if m == nil {
		return nil, fmt.Errorf("deploy/system.toml has no run line")
	}
	words := strings.Fields(m[1])
	log, err := os.Create(filepath.Join(dir, "edge.log"))
	if err != nil {
		return nil, err
	}
	e.cmd = exec.Command(filepath.Join(root, words[0]), words[1:]...)
	e.cmd.Dir, e.cmd.Stdout, e.cmd.Stderr = root, log, log
	e.cmd.Env = append(os.Environ(), platform.Settings+"="+path)
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { _ = e.cmd.Wait(); close(e.ended) }()
	// The time limit of run.sh ends the daemon as well.
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		_ = e.cmd.Process.Kill()
		os.Exit(exitNotRun)
	}()
	return e, e.awaitReady()
}

func (e *edge) awaitReady() error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + e.ready + platform.Readiness)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the daemon was not ready within 10 s")
}

// stop sends SIGTERM, and SIGKILL after grace_s.
func (e *edge) stop(grace time.Duration) {
	_ = e.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-e.ended:
	case <-time.After(grace):
		_ = e.cmd.Process.Kill()
		<-e.ended
	}
}
