package e2e

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/standin"
)

// stopTimeout bounds the wait for the end of a process after a stop signal.
const stopTimeout = 15 * time.Second

// program is one process under test. Signals go to its process ID only.
type program struct {
	t       testing.TB
	command *exec.Cmd
	log     *syncBuffer
	done    chan struct{}
	err     error // set before done is closed
}

// syncBuffer holds a process's log. It is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// tail returns the last 3000 bytes of the log.
func (b *syncBuffer) tail() string {
	const shown = 3000
	b.mu.Lock()
	defer b.mu.Unlock()
	raw := b.buf.Bytes()
	return string(raw[max(0, len(raw)-shown):])
}

// count returns the number of times that the log contains a text.
func (b *syncBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Count(b.buf.Bytes(), []byte(text))
}

// launch starts a program, which is killed when the test ends. Its standard
// output goes to stdout unless that is nil, its standard error to the log.
func launch(t testing.TB, stdout io.Writer, name string, args ...string) *program {
	t.Helper()
	p := &program{t: t, log: &syncBuffer{}, done: make(chan struct{})}
	p.command = exec.Command(filepath.Join(binaries, name), args...)
	p.command.Stdout, p.command.Stderr = stdout, p.log
	NewWithT(t).Expect(p.command.Start()).To(Succeed())
	go func() { p.err = p.command.Wait(); close(p.done) }()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
	})
	return p
}

// launchStandin starts usher-standin and returns the lines that announce its
// addresses.
func launchStandin(t testing.TB, args ...string) []standin.Line {
	t.Helper()
	r, w, err := os.Pipe()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer r.Close()
	defer w.Close()
	p := launch(t, w, "usher-standin", append([]string{"--log-level=error"}, args...)...)
	lines, err := standin.ReadLines(r)
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), p.log.tail())
	return lines
}

func (p *program) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.command.Process.Signal(s)
	}
}

func (p *program) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// awaitStop waits for the end of a process after a stop signal, and fails the
// test unless its exit status is 0.
func (p *program) awaitStop() {
	p.t.Helper()
	select {
	case <-p.done:
		if p.err != nil {
			p.t.Errorf("planned stop: %v; log:\n%s", p.err, p.log.tail())
		}
	case <-time.After(stopTimeout):
		p.t.Errorf("planned stop took longer than %s; log:\n%s", stopTimeout, p.log.tail())
		p.kill()
	}
}
