package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/agateusher/agateusher/telemetry"
)

// logTailBytes is the length of the end of a log that an error quotes.
const logTailBytes = 2000

// ProcessError reports a process that failed or could not be started.
type ProcessError struct {
	Name string
	Err  error
	// Log is the end of the process's log.
	Log string
}

// Error implements error.
func (e *ProcessError) Error() string {
	if e.Log == "" {
		return fmt.Sprintf("%s: %v", e.Name, e.Err)
	}
	return fmt.Sprintf("%s: %v; its log ends with:\n%s", e.Name, e.Err, e.Log)
}

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Err }

var (
	errExitedEarly = errors.New("exited before it was stopped")
	errKilled      = errors.New("did not stop in time and was killed")
)

// process is one started program.
type process struct {
	name    string
	command *exec.Cmd
	stdout  io.ReadCloser
	logPath string
	done    chan struct{}
	err     error // set before done is closed
	// reported is set once check has returned the process's early exit, so that
	// stop does not return it again.
	reported bool
}

// processes starts programs from one directory, redirects their output to log
// files and stops them by process ID.
type processes struct {
	binaries string
	logs     string
	log      telemetry.Logger
	// gracePeriod limits the graceful stop of one process, which is killed after it.
	gracePeriod time.Duration
	started     []*process
}

// start starts a program and redirects its output to its log.
func (p *processes) start(name, program string, args ...string) (*process, error) {
	return p.launch(name, program, nil, args, false)
}

// launch starts a program. With capture, its standard output goes to a pipe, from
// which process.stdout reads, and only its standard error to the log.
func (p *processes) launch(name, program string, env, args []string, capture bool) (*process, error) {
	proc := &process{
		name: name, command: exec.Command(filepath.Join(p.binaries, program), args...),
		logPath: filepath.Join(p.logs, name+".log"), done: make(chan struct{}),
	}
	logFile, err := os.Create(proc.logPath)
	if err != nil {
		return nil, &ProcessError{Name: name, Err: err}
	}
	defer logFile.Close()
	proc.command.Stdout, proc.command.Stderr = logFile, logFile
	proc.command.Env = append(os.Environ(), env...)
	// In a process group of its own the program does not receive Ctrl-C, so that
	// stop can stop the programs in order.
	proc.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if capture {
		reader, writer, err := os.Pipe()
		if err != nil {
			return nil, &ProcessError{Name: name, Err: err}
		}
		defer writer.Close()
		proc.command.Stdout, proc.stdout = writer, reader
	}
	if err := proc.command.Start(); err != nil {
		proc.closeOutput()
		return nil, &ProcessError{Name: name, Err: err}
	}
	p.log.WithFields(telemetry.Fields{"process": name, "pid": proc.command.Process.Pid}).Debug("process started")
	go func() {
		proc.err = proc.command.Wait()
		close(proc.done)
	}()
	p.started = append(p.started, proc)
	return proc, nil
}

// output runs a program until it exits and returns its standard output, also on
// failure. When ctx ends, it sends SIGTERM to the program.
func (p *processes) output(ctx context.Context, name, program string, env []string, args ...string) ([]byte, error) {
	proc, err := p.launch(name, program, env, args, true)
	if err != nil {
		return nil, err
	}
	stopSignalling := context.AfterFunc(ctx, func() { _ = proc.command.Process.Signal(syscall.SIGTERM) })
	defer stopSignalling()
	out, readErr := io.ReadAll(proc.stdout)
	<-proc.done
	p.started = slices.DeleteFunc(p.started, func(other *process) bool { return other == proc })
	proc.closeOutput()
	switch {
	case proc.err != nil:
		return out, proc.failure(proc.err)
	case readErr != nil:
		return out, proc.failure(readErr)
	}
	return out, nil
}

// check returns a *ProcessError if a process has exited.
func (p *processes) check() error {
	for _, proc := range p.started {
		select {
		case <-proc.done:
			proc.reported = true
			return proc.failure(errors.Join(errExitedEarly, proc.err))
		default:
		}
	}
	return nil
}

// stop stops all processes in reverse order of their start, and returns the
// failures that check has not returned.
func (p *processes) stop() error {
	var failures []error
	for _, proc := range slices.Backward(p.started) {
		if err := proc.stop(p.gracePeriod); err != nil {
			failures = append(failures, err)
		}
	}
	p.started = nil
	return errors.Join(failures...)
}

func (o *process) stop(gracePeriod time.Duration) error {
	defer o.closeOutput()
	select {
	case <-o.done:
		if o.reported {
			return nil
		}
		return o.failure(errors.Join(errExitedEarly, o.err))
	default:
	}
	_ = o.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-o.done:
		if o.err != nil {
			return o.failure(o.err)
		}
		return nil
	case <-time.After(gracePeriod):
	}
	_ = o.command.Process.Kill()
	<-o.done
	return o.failure(errKilled)
}

func (o *process) closeOutput() {
	if o.stdout != nil {
		_ = o.stdout.Close()
	}
}

func (o *process) failure(err error) error {
	return &ProcessError{Name: o.name, Err: err, Log: logTail(o.logPath)}
}

func logTail(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(data[max(0, len(data)-logTailBytes):]))
}
