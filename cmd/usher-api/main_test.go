package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/cli"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/report"
	"github.com/agateusher/agateusher/standin/platform"
)

// runVariable makes the test binary run as usher-api, so that signals reach the
// real main function in a process of its own.
const runVariable = "USHER_API_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		os.Exit(run())
	}
	os.Exit(m.Run())
}

const token = "alice-secret-0123456789"

func settingsFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "api.jsonc")
	NewWithT(t).Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func usherAPI(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runVariable+"=1")
	return cmd
}

// Guards against a --check that starts the server, accepts invalid settings or
// reports errors without their line numbers.
func TestCheck(t *testing.T) {
	g := NewWithT(t)
	good := settingsFile(t, fmt.Sprintf(`{"listener": "127.0.0.1:7070", "platform": {"url": "http://127.0.0.1:1"},
		"tokens": [{"name": "alice", "secret": %q}], "report": {"timeZone": "Asia/Bangkok"}}`, token))
	out, err := usherAPI("--check", "--settings", good).CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(out)).To(HaveSuffix("no mistakes\n"))

	bad := settingsFile(t, "{\"listener\": \"127.0.0.1:7070\",\n\"platform\": {\"url\": \"http://127.0.0.1:1\"},\n\"tokens\": [], \"report\": {\"timeZone\": \"Nowhere\"}}")
	cmd := usherAPI("--check", "--settings", bad)
	out, err = cmd.CombinedOutput()
	g.Expect(err).To(HaveOccurred())
	g.Expect(cmd.ProcessState.ExitCode()).To(Equal(2))
	g.Expect(string(out)).To(MatchRegexp(`api.jsonc:3: tokens: .*\n.*api.jsonc:3: report.timeZone: got "Nowhere"`))
}

// process is a running usher-api with a stand-in platform.
type process struct {
	cmd      *exec.Cmd
	platform *platform.Platform
	url      string
	mu       sync.Mutex
	log      bytes.Buffer
}

var listening = regexp.MustCompile(`address="?([0-9.:]+)`)

func start(t *testing.T) *process {
	g := NewWithT(t)
	p := &process{platform: platform.New(platform.Options{HostLag: -1})}
	objects := httptest.NewServer(p.platform)
	t.Cleanup(objects.Close)
	p.cmd = usherAPI("--settings", settingsFile(t, fmt.Sprintf(`{"listener": "127.0.0.1:0", "platform": {"url": %q},
		"tokens": [{"name": "alice", "secret": %q}], "stop": {"notice": "300ms"}}`, objects.URL, token)))
	stderr, err := p.cmd.StderrPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.cmd.Start()).To(Succeed())
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	address := make(chan string, 1)
	go p.read(bufio.NewScanner(stderr), address)
	var got string
	g.Eventually(address, 5*time.Second).Should(Receive(&got))
	p.url = "http://" + got
	return p
}

func (p *process) read(lines *bufio.Scanner, address chan<- string) {
	for lines.Scan() {
		p.mu.Lock()
		fmt.Fprintln(&p.log, lines.Text())
		p.mu.Unlock()
		if m := listening.FindStringSubmatch(lines.Text()); m != nil {
			address <- m[1]
		}
	}
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) usherctl(t *testing.T, args ...string) (int, string) {
	var out, errOut bytes.Buffer
	code := cli.Run(t.Context(), append([]string{"--api", p.url}, args...), cli.Streams{
		Out: &out, Err: &errOut, Getenv: func(string) string { return token },
	})
	return code, out.String() + errOut.String()
}

func (p *process) ready(g *WithT) int {
	res, err := http.Get(p.url + "/ready")
	g.Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	return res.StatusCode
}

// Guards against reports that are not read from the object API, and against
// accepting layouts that cannot be written.
func TestReport(t *testing.T) {
	g := NewWithT(t)
	p := start(t)
	p.platform.SetHosts([]objectapi.Host{{ID: "h1", DataCentre: "lagos-1"}, {ID: "h2", DataCentre: "lagos-1"}})
	code, text := p.usherctl(t, "apply", "-f", settingsFile(t, `{"reportLayouts": [{"name": "daily", "separator": ";",
		"columns": [{"heading": "Service", "field": "service"}, {"heading": "N", "field": "requests", "format": "000"}]}]}`))
	g.Expect(code).To(Equal(cli.ExitOK), text)

	code, text = p.usherctl(t, "apply", "-f", settingsFile(t, `{"reportLayouts": [{"name": "wrong", "columns": [{"heading": "N", "field": "reqests"}]}]}`))
	g.Expect(code).To(Equal(cli.ExitFailure))
	g.Expect(text).To(ContainSubstring(`ReportLayout wrong: columns.0.field: got "reqests"`))

	api, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: "http://127.0.0.1:1", Transport: p.platform.Transport()})
	g.Expect(err).NotTo(HaveOccurred())
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	recorder := report.NewRecorder(report.RecorderOptions{Host: "h1", Incarnation: "i1", Started: now})
	recorder.Record(now, report.Sample{RowKey: report.RowKey{Service: "booking", Workspace: "desk"}, Outcome: model.Answered})
	flusher := report.NewFlusher(report.FlusherOptions{Recorder: recorder, Store: api, Now: func() time.Time { return now }})
	g.Expect(flusher.Flush(t.Context(), true)).To(Succeed())

	code, text = p.usherctl(t, "report", "--day", "2026-12-03", "--layout", "daily")
	g.Expect(code).To(Equal(cli.ExitOK), text)
	g.Expect(text).To(Equal("Service;N\nbooking;001\nusherctl: warning: host h2: no data\n"))
}

// Guards against a stop that interrupts a running call, against a second signal
// that ends the process immediately, and against a server that still reports
// ready while it stops.
func TestStopSignalTwiceInterruptsNoCall(t *testing.T) {
	g := NewWithT(t)
	p := start(t)
	g.Expect(p.ready(g)).To(Equal(http.StatusOK))
	change := settingsFile(t, `{"workspaces": [{"id": "w1", "weight": 2}]}`)
	code, text := p.usherctl(t, "apply", "-f", change)
	g.Expect(code).To(Equal(cli.ExitOK), text)

	const delayMs = 800
	p.platform.SetFaults(platform.Faults{DelayMs: delayMs})
	calls := p.platform.Calls().Total()
	done := make(chan string, 1)
	go func() {
		_, text := p.usherctl(t, "get", "workspaces")
		done <- text
	}()
	g.Eventually(func() int64 { return p.platform.Calls().Total() }, 5*time.Second, "5ms").Should(BeNumerically(">", calls))
	g.Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Eventually(func() int { return p.ready(g) }, 250*time.Millisecond, "10ms").Should(Equal(http.StatusServiceUnavailable))
	g.Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())

	g.Eventually(done, 10*time.Second).Should(Receive(ContainSubstring("w1")))
	g.Expect(p.cmd.Wait()).To(Succeed())
	g.Expect(p.text()).To(And(ContainSubstring("event=stopped"), ContainSubstring("operator=alice"), Not(ContainSubstring(token))))
}
