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

// logTailBytes is the part of a log that an error quotes.
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
	errEndedEarly = errors.New("ended before it was stopped")
	errKilled     = errors.New("did not stop in time and was killed")
)

// process is one started program.
type process struct {
	name    string
	command *exec.Cmd
	stdout  io.ReadCloser
	logPath string
	done    chan struct{}
	err     error // set before done is closed
	// reported is set once check has returned the process's early end, so that
	// stop does not return it again.
	reported bool
}

// processes starts programs from one directory, logs their standard error to
// files and stops them by process ID.
type processes struct {
	binaries string
	logs     string
	log      telemetry.Logger
	// patience bounds the graceful stop of one process, which is then killed.
	patience time.Duration
	started  []*process
}

// start starts a program whose output goes to its log.
func (p *processes) start(name, program string, args ...string) (*process, error) {
	return p.launch(name, program, nil, args, false)
}

// launch starts a program. With capture its standard output can be read.
func (p *processes) launch(name, program string, env, args []string, capture bool) (*process, error) {
	one := &process{
		name: name, command: exec.Command(filepath.Join(p.binaries, program), args...),
		logPath: filepath.Join(p.logs, name+".log"), done: make(chan struct{}),
	}
	logFile, err := os.Create(one.logPath)
	if err != nil {
		return nil, &ProcessError{Name: name, Err: err}
	}
	defer logFile.Close()
	one.command.Stdout, one.command.Stderr = logFile, logFile
	one.command.Env = append(os.Environ(), env...)
	// A process group of its own keeps Ctrl-C from reaching the program, so that
	// it is stopped in order.
	one.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if capture {
		reader, writer, err := os.Pipe()
		if err != nil {
			return nil, &ProcessError{Name: name, Err: err}
		}
		defer writer.Close()
		one.command.Stdout, one.stdout = writer, reader
	}
	if err := one.command.Start(); err != nil {
		one.closeOutput()
		return nil, &ProcessError{Name: name, Err: err}
	}
	p.log.WithFields(telemetry.Fields{"process": name, "pid": one.command.Process.Pid}).Debug("process started")
	go func() {
		one.err = one.command.Wait()
		close(one.done)
	}()
	p.started = append(p.started, one)
	return one, nil
}

// output runs a program to its end and returns its standard output, also on
// failure. When ctx ends, the program is told to stop.
func (p *processes) output(ctx context.Context, name, program string, env []string, args ...string) ([]byte, error) {
	one, err := p.launch(name, program, env, args, true)
	if err != nil {
		return nil, err
	}
	stopWatch := context.AfterFunc(ctx, func() { _ = one.command.Process.Signal(syscall.SIGTERM) })
	defer stopWatch()
	out, readErr := io.ReadAll(one.stdout)
	<-one.done
	p.started = slices.DeleteFunc(p.started, func(other *process) bool { return other == one })
	one.closeOutput()
	switch {
	case one.err != nil:
		return out, one.failure(one.err)
	case readErr != nil:
		return out, one.failure(readErr)
	}
	return out, nil
}

// check returns a *ProcessError if a process has ended.
func (p *processes) check() error {
	for _, one := range p.started {
		select {
		case <-one.done:
			one.reported = true
			return one.failure(errors.Join(errEndedEarly, one.err))
		default:
		}
	}
	return nil
}

// stop stops all processes, the last one first, and returns the failures that
// check has not returned.
func (p *processes) stop() error {
	var failures []error
	for _, one := range slices.Backward(p.started) {
		if err := one.stop(p.patience); err != nil {
			failures = append(failures, err)
		}
	}
	p.started = nil
	return errors.Join(failures...)
}

func (o *process) stop(patience time.Duration) error {
	defer o.closeOutput()
	select {
	case <-o.done:
		if o.reported {
			return nil
		}
		return o.failure(errors.Join(errEndedEarly, o.err))
	default:
	}
	_ = o.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-o.done:
		if o.err != nil {
			return o.failure(o.err)
		}
		return nil
	case <-time.After(patience):
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
	return &ProcessError{Name: o.name, Err: err, Log: tail(o.logPath)}
}

func tail(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(data[max(0, len(data)-logTailBytes):]))
}
