package demo

import (
	"context"
	"errors"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/daemon"
	"github.com/agateusher/agateusher/loadgen"
	"github.com/agateusher/agateusher/telemetry"
)

func newProcesses(t *testing.T) *processes {
	log, err := telemetry.NewLogger(io.Discard, "error")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return &processes{binaries: "/bin", logs: t.TempDir(), log: log, gracePeriod: 300 * time.Millisecond}
}

// hasExited reports whether the process no longer exists.
func hasExited(o *process) bool {
	return errors.Is(syscall.Kill(o.command.Process.Pid, 0), syscall.ESRCH)
}

// Guards against programs that outlive the demo, and against a stop that does not
// report a failure.
func TestProcessesStop(t *testing.T) {
	tests := []struct {
		name, script string
		want         error
	}{
		{"graceful", `trap 'exit 0' TERM; echo ready; while :; do sleep 0.01; done`, nil},
		{"ignores SIGTERM", `trap '' TERM; echo ready; while :; do sleep 0.01; done`, errKilled},
		{"exits early", `echo ready; echo broken >&2; exit 4`, errExitedEarly},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			p := newProcesses(t)
			proc, err := p.launch("shell", "sh", nil, []string{"-c", tt.script}, true)
			g.Expect(err).NotTo(HaveOccurred())
			line := make([]byte, len("ready\n"))
			_, err = io.ReadFull(proc.stdout, line)
			g.Expect(err).NotTo(HaveOccurred())
			if errors.Is(tt.want, errExitedEarly) {
				<-proc.done
			} else {
				g.Expect(p.check()).To(Succeed())
			}
			err = p.stop()
			if tt.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(errors.Is(err, tt.want)).To(BeTrue(), "%v", err)
			}
			g.Expect(hasExited(proc)).To(BeTrue())
		})
	}
}

// Guards against an early exit that is not reported, or reported twice.
func TestEarlyExitIsReportedOnce(t *testing.T) {
	g := NewWithT(t)
	p := newProcesses(t)
	proc, err := p.start("shell", "sh", "-c", "echo broken >&2; exit 4")
	g.Expect(err).NotTo(HaveOccurred())
	<-proc.done
	g.Expect(p.check()).To(MatchError(ContainSubstring("broken")))
	g.Expect(p.stop()).To(Succeed())
}

// Guards against a program that keeps running after its step is cancelled.
func TestOutputEndsWithContext(t *testing.T) {
	g := NewWithT(t)
	p := newProcesses(t)
	out, err := p.output(t.Context(), "echo", "sh", []string{"WORD=yes"}, "-c", "echo $WORD")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(out)).To(Equal("yes\n"))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = p.output(ctx, "sleep", "sleep", nil, "60")
	var failure *ProcessError
	g.Expect(errors.As(err, &failure)).To(BeTrue())
	g.Expect(p.started).To(BeEmpty())
}

// Guards against programs that keep running when a step of the demo fails.
func TestRunWithoutPrograms(t *testing.T) {
	g := NewWithT(t)
	p := newProcesses(t)
	result, err := Run(t.Context(), Options{Binaries: t.TempDir(), Log: p.log})
	var failure *ProcessError
	g.Expect(errors.As(err, &failure)).To(BeTrue())
	g.Expect(errors.Is(err, os.ErrNotExist)).To(BeTrue())
	g.Expect(result.Passed()).To(BeFalse())
}

// Guards against settings that usherd rejects, and against using an address
// twice.
func TestDaemonSettings(t *testing.T) {
	g := NewWithT(t)
	hosts, err := layoutHosts()
	g.Expect(err).NotTo(HaveOccurred())
	used, perDataCentre := map[string]bool{}, map[model.DataCentre]int{}
	for _, h := range hosts {
		perDataCentre[h.DataCentre]++
		for _, address := range []string{h.CallerAddress, h.FleetAddress, h.PeerAddress, h.admin} {
			g.Expect(used).NotTo(HaveKey(address))
			used[address] = true
		}
		want := daemonSettings(h, "127.0.0.1:1", secrets{fleet: strings.Repeat("f", 26), keys: strings.Repeat("k", 26)}, Options{})
		path, err := writeSettings(t.TempDir(), string(h.ID), want)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(daemon.LoadSettings(path)).To(Equal(want))
	}
	g.Expect(perDataCentre).To(Equal(map[model.DataCentre]int{"lagos-1": 2, "lagos-2": 2}))
}

// Guards against a summary that does not show a violation, and against a result
// that passes despite one.
func TestPassedAndSummary(t *testing.T) {
	good := func() Result {
		return Result{Hosts: 4, Servers: 14, DetectionExpected: true, Report: &loadgen.Report{
			Checked: true, Total: loadgen.GroupReport{Requests: 10, Classes: map[loadgen.Class]int{loadgen.ClassAnswered: 10}},
			Fault:     &loadgen.FaultReport{Server: grayServer, Detected: true, DetectionMs: 321},
			Ejections: &loadgen.EjectionReport{},
		}}
	}
	tests := []struct {
		name   string
		change func(*Result)
		passed bool
		text   string
	}{
		{"good", func(*Result) {}, true, "last new request after 321 ms"},
		{"violation", func(r *Result) {
			r.Report.Violations = []loadgen.Violations{{Kind: loadgen.ExecutedTwice, Count: 1, Examples: []string{"x"}}}
		}, false, "BROKEN PROMISE     executed-twice"},
		{"not detected", func(r *Result) { r.Report.Fault.Detected = false }, false, "NOT DETECTED"},
		{"detection not expected", func(r *Result) { r.Report.Fault.Detected, r.DetectionExpected = false, false }, true, "NOT DETECTED"},
		{"not checked", func(r *Result) { r.Report.Checked = false }, false, ""},
		{"not stopped", func(r *Result) { r.StopError = errKilled }, false, "NOT STOPPED CLEANLY"},
		{"false ejection", func(r *Result) { r.Report.Ejections.FalsePositives = []model.ServerID{"ledger-lagos-1-1"} }, true, "false ejections    1 [ledger-lagos-1-1]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			r := good()
			tt.change(&r)
			var out strings.Builder
			r.WriteSummary(&out)
			g.Expect(r.Passed()).To(Equal(tt.passed))
			g.Expect(out.String()).To(ContainSubstring(tt.text))
		})
	}
}
