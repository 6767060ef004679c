package edge_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"encoding/json"

	. "github.com/onsi/gomega"
)

// Guards against a daemon that exits on SIGHUP, and against settings that are applied
// in part. The test runs the real program because signals are sent to a process.
func TestReloadOnSIGHUP(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service)
	dir := t.TempDir()
	program, path := buildDaemon(s, dir), filepath.Join(dir, "settings.jsonc")
	set := s.settings("h1")
	save := func() {
		data, err := json.Marshal(set)
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	}
	save()
	log := &syncBuffer{}
	cmd := s.start(program, path, log)
	d := s.ready(&daemon{settings: set, log: log})

	set.Retries.Slack = 3
	save()
	s.g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	s.g.Eventually(log.String).WithTimeout(2 * time.Second).Should(ContainSubstring("event=reloaded"))
	set.Host.ID = "h2"
	save()
	s.g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	s.g.Eventually(log.String).WithTimeout(2 * time.Second).Should(ContainSubstring("a change of host needs a restart"))
	s.g.Expect(os.WriteFile(path, []byte("{broken"), 0o600)).To(Succeed())
	s.g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	s.g.Eventually(log.String).WithTimeout(2 * time.Second).Should(ContainSubstring("invalid syntax"))
	s.g.Expect(s.read(d, "r").status).To(Equal(200))
}

// Guards against a SIGHUP that ends the process because it arrives before the daemon
// has read its settings.
func TestSIGHUPWhileStarting(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service)
	set := s.settings("h1")
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.jsonc")
	data, err := json.Marshal(set)
	s.g.Expect(err).NotTo(HaveOccurred())
	// The daemon blocks in the start until the pipe has a writer.
	s.g.Expect(syscall.Mkfifo(path, 0o600)).To(Succeed())
	log := &syncBuffer{}
	cmd := s.start(buildDaemon(s, dir), path, log)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the daemon reads
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	file := path + ".new"
	s.g.Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	s.g.Expect(os.Rename(file, path)).To(Succeed())
	_, err = pipe.Write(data)
	s.g.Expect(err).NotTo(HaveOccurred(), "the daemon has exited")
	s.g.Expect(pipe.Close()).To(Succeed())
	s.ready(&daemon{settings: set, log: log})
	s.g.Eventually(log.String).WithTimeout(2 * time.Second).Should(ContainSubstring("event=reloaded"))
}

// buildDaemon builds the program into dir and returns its path.
func buildDaemon(s *site, dir string) string {
	s.t.Helper()
	program := filepath.Join(dir, "usher-edge")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/usher-edge").CombinedOutput()
	s.g.Expect(err).NotTo(HaveOccurred(), string(out))
	return program
}

// start runs the program until the end of the test.
func (s *site) start(program, settingsPath string, log *syncBuffer) *exec.Cmd {
	s.t.Helper()
	cmd := exec.Command(program, "--settings", settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	s.g.Expect(cmd.Start()).To(Succeed())
	s.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	})
	return cmd
}
