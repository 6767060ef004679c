package demo

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/agateusher/agateusher/adminapi"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/examples"
	"github.com/agateusher/agateusher/loadgen"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/operator"
	"github.com/agateusher/agateusher/standin"
	"github.com/agateusher/agateusher/telemetry"
)

// Defaults of Options.
const (
	// DefaultRate, in requests per second, is about a third of the capacity of the
	// two data centres.
	DefaultRate     = 200.0
	DefaultDuration = 8 * time.Second
	DefaultFault    = `{"stall":true}`
	// startTimeout limits the start of the programs and the first configuration.
	startTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// stopTimeout limits the graceful stop of one program. It exceeds
	// daemonStopTimeout, the daemons' own limit.
	stopTimeout = 15 * time.Second
)

// grayServer is the backend server with the fault; its probes still succeed.
const grayServer = model.ServerID("booking-lagos-1-1")

// Options configures a run. The zero value of a field selects its default.
type Options struct {
	// Binaries is the directory of the programs.
	Binaries string
	// Rate is the load in requests per second, Duration its length.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Fault is the fault of one backend server in the second half of the run, as
	// the stand-in's JSON. Default: DefaultFault, a stall.
	Fault string
	// Mean and Distribution describe the service times; zero: the defaults of
	// usher-standin.
	Mean         time.Duration
	Distribution string
	// Dispatch and Detector are the module IDs of the daemons' plug-ins; empty: the
	// defaults.
	Dispatch, Detector string
	// HoldOutput, if not nil, keeps the fleet running without load until the context
	// ends. The instructions for reaching the fleet are written to it.
	HoldOutput io.Writer
	// Keep preserves the temporary directory with the settings and logs of the
	// programs and the report of usher-load.
	Keep bool
	Log  telemetry.Logger
}

// Result is the result of a run.
type Result struct {
	Report *loadgen.Report
	// Hosts and Servers count the daemons and stand-in servers.
	Hosts, Servers int
	// Directory holds settings and logs if Options.Keep is set.
	Directory string
	// DetectionExpected is set for the default fault. Other faults, such as load
	// shedding, do not necessarily lead to an ejection.
	DetectionExpected bool
	// StopError is set if a program did not stop cleanly.
	StopError error
}

// run holds the state of one run of the demo.
type run struct {
	options   Options
	directory string
	processes *processes
	secrets   secrets
	hosts     []host
	objects   snapshot.Objects

	platform string
	standins string
	api      string
}

// Run starts all programs, applies the Ridemark example, sends load and stops all
// programs, also when ctx ends or a step fails. Errors are *SetupError,
// *ProcessError or those of package examples. Violated guarantees are not errors;
// they are listed in Result.Report.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.Rate <= 0 {
		o.Rate = DefaultRate
	}
	if o.Duration <= 0 {
		o.Duration = DefaultDuration
	}
	if o.Fault == "" {
		o.Fault = DefaultFault
	}
	directory, err := os.MkdirTemp("", "usher-demo-")
	if err != nil {
		return Result{}, &SetupError{Step: "temporary directory", Err: err}
	}
	r := &run{
		options: o, directory: directory,
		processes: &processes{binaries: o.Binaries, logs: directory, log: o.Log, gracePeriod: stopTimeout},
		secrets:   secrets{fleet: rand.Text(), keys: rand.Text(), token: rand.Text()},
	}
	report, err := r.runSteps(ctx)
	stopErr := r.processes.stop()
	result := Result{Report: report, Hosts: len(r.hosts), Servers: len(r.objects.Servers), Directory: directory, StopError: stopErr}
	result.DetectionExpected = o.Fault == DefaultFault
	if !o.Keep {
		_ = os.RemoveAll(directory)
		result.Directory = ""
	}
	if err != nil {
		return result, errors.Join(err, stopErr)
	}
	return result, nil
}

func (r *run) runSteps(ctx context.Context) (*loadgen.Report, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"start the stand-in platform", r.startPlatform},
		{"start the stand-in backend servers", r.startBackends},
		{"start usher-api", r.startAPI},
		{"start four usherd", r.startDaemons},
		{"apply the Ridemark example", r.apply},
	}
	for _, step := range steps {
		r.options.Log.WithField("step", step.name).Info("demo step")
		if err := step.do(startCtx); err != nil {
			return nil, err
		}
		if err := r.processes.check(); err != nil {
			return nil, err
		}
	}
	if r.options.HoldOutput != nil {
		return nil, r.hold(ctx)
	}
	r.options.Log.WithField("step", "send load").Info("demo step")
	report, err := r.load(ctx)
	return report, errors.Join(err, r.processes.check(), context.Cause(ctx))
}

func (r *run) startPlatform(ctx context.Context) error {
	lines, err := r.startStandin(ctx, "platform", "platform", "--host-lag", "100ms")
	if err != nil {
		return err
	}
	r.platform = addressOf(lines, standin.LinePlatform)
	if r.hosts, err = layoutHosts(); err != nil {
		return err
	}
	return r.publishHosts(ctx)
}

// publishHosts sends the host list to the platform.
func (r *run) publishHosts(ctx context.Context) error {
	list := objectapi.HostList{}
	for _, h := range r.hosts {
		list.Hosts = append(list.Hosts, h.Host)
	}
	body, err := json.Marshal(list)
	if err != nil {
		return &SetupError{Step: "host list", Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.platform+"/admin/hosts", bytes.NewReader(body))
	if err != nil {
		return &SetupError{Step: "host list", Err: err}
	}
	return expectSuccess(req, "host list")
}

func (r *run) startBackends(ctx context.Context) error {
	example, err := examples.Ridemark()
	if err != nil {
		return err
	}
	r.objects = examples.InDataCentres(example, dataCentres...)
	path := filepath.Join(r.directory, "servers.json")
	if err := examples.WriteObjects(path, r.objects); err != nil {
		return err
	}
	args := []string{"backends", "--objects", path, "--health", "always-good", "--seed", strconv.FormatUint(r.options.Seed, 10)}
	if r.options.Mean > 0 {
		args = append(args, "--mean", r.options.Mean.String())
	}
	if r.options.Distribution != "" {
		args = append(args, "--distribution", r.options.Distribution)
	}
	lines, err := r.startStandin(ctx, "backends", args...)
	if err != nil {
		return err
	}
	r.standins = addressOf(lines, standin.LineAdmin)
	addresses := map[model.ServerID]string{}
	for _, l := range lines {
		if l.Kind == standin.LineBackend {
			addresses[l.ID] = l.Address
		}
	}
	r.objects, err = examples.WithServerAddresses(r.objects, addresses)
	return err
}

// startStandin starts usher-standin and returns the addresses that it announces.
func (r *run) startStandin(ctx context.Context, name string, args ...string) ([]standin.Line, error) {
	proc, err := r.processes.launch(name, "usher-standin", nil, args, true)
	if err != nil {
		return nil, err
	}
	stopWaiting := context.AfterFunc(ctx, func() { _ = proc.stdout.Close() })
	defer stopWaiting()
	lines, err := standin.ReadLines(proc.stdout)
	if err != nil {
		return nil, proc.failure(err)
	}
	return lines, nil
}

func addressOf(lines []standin.Line, kind standin.LineKind) string {
	for _, l := range lines {
		if l.Kind == kind {
			return l.Address
		}
	}
	return ""
}

func (r *run) startDaemons(ctx context.Context) error {
	for _, h := range r.hosts {
		path, err := writeSettings(r.directory, string(h.ID), daemonSettings(h, r.platform, r.secrets, r.options))
		if err != nil {
			return err
		}
		if _, err := r.processes.start(string(h.ID), "usherd", "--settings", path); err != nil {
			return err
		}
	}
	for _, h := range r.hosts {
		if err := r.awaitSuccess(ctx, "http://"+h.admin+adminapi.StatusPath); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) startAPI(ctx context.Context) error {
	addresses, err := freeAddresses(1)
	if err != nil {
		return err
	}
	r.api = addresses[0]
	path, err := writeSettings(r.directory, "usher-api", r.apiSettings())
	if err != nil {
		return err
	}
	if _, err := r.processes.start("usher-api", "usher-api", "--settings", path); err != nil {
		return err
	}
	return r.awaitSuccess(ctx, "http://"+r.api+operator.ReadyPath)
}

func (r *run) apply(ctx context.Context) error {
	path := filepath.Join(r.directory, "objects.json")
	if err := examples.WriteObjects(path, r.objects); err != nil {
		return err
	}
	_, err := r.processes.output(ctx, "usherctl", "usherctl", []string{"USHERCTL_TOKEN=" + r.secrets.token},
		"--api", "http://"+r.api, "apply", "-f", path, "--wait", "--timeout", startTimeout.String())
	return err
}

// load runs usher-load and reads its report.
func (r *run) load(ctx context.Context) (*loadgen.Report, error) {
	args := []string{
		"-o", "json", "--objects", filepath.Join(r.directory, "objects.json"),
		"--rate", strconv.FormatFloat(r.options.Rate, 'f', -1, 64), "-d", r.options.Duration.String(),
		"--standin-admin", r.standins, "--direct-share", "0.5", "--seed", strconv.FormatUint(r.options.Seed, 10),
		"--fault-server", string(grayServer), "--fault", r.options.Fault,
		"--fault-at", (r.options.Duration / 2).String(),
	}
	for _, h := range r.hosts {
		args = append(args, "--entry", h.CallerAddress, "--daemon", h.admin)
	}
	out, err := r.processes.output(ctx, "usher-load", "usher-load", nil, args...)
	var status *exec.ExitError
	if err != nil && !(errors.As(err, &status) && status.ExitCode() == exitViolation) {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(r.directory, "report.json"), out, settingsPermissions); err != nil {
		return nil, &SetupError{Step: "report of usher-load", Err: err}
	}
	report := &loadgen.Report{}
	if err := json.Unmarshal(out, report); err != nil {
		return nil, &SetupError{Step: "report of usher-load", Err: err}
	}
	return report, nil
}

// exitViolation is the exit status of usher-load for a violated guarantee.
const exitViolation = 3

// awaitSuccess polls a URL until it answers with a success status, ctx ends or a
// process exits early.
func (r *run) awaitSuccess(ctx context.Context, url string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return &SetupError{Step: "wait for " + url, Err: err}
		}
		err = expectSuccess(req, "wait for "+url)
		if err == nil {
			return nil
		}
		if exitErr := r.processes.check(); exitErr != nil {
			return exitErr
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// StatusError reports an HTTP answer without a success status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

func expectSuccess(req *http.Request, step string) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &SetupError{Step: step, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &SetupError{Step: step, Err: &StatusError{Status: resp.StatusCode}}
	}
	return nil
}
