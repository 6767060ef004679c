package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/standin"
)

// shutdownTimeout is twice the stand-in's own timeout of a graceful stop.
const shutdownTimeout = 4 * time.Second

// Guards against announcing addresses before their listeners accept connections,
// and against a stop that is not graceful.
func TestBackendsFromObjects(t *testing.T) {
	g := NewWithT(t)
	objects := filepath.Join(t.TempDir(), "objects.jsonc")
	g.Expect(os.WriteFile(objects, []byte(`{
		// Two servers of one service.
		"servers": [
			{"id": "a-1", "service": "a", "dataCentre": "dc-1", "slots": 2, "connections": 10},
			{"id": "a-2", "service": "a", "dataCentre": "dc-2", "slots": 2, "connections": 10},
		],
	}`), 0o600)).To(Succeed())
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	status := make(chan int, 1)
	go func() {
		status <- run(ctx, []string{"--log-level=error", "backends", "--objects", objects}, writer, io.Discard)
	}()
	lines, err := standin.ReadLines(reader)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lines).To(HaveLen(3))
	g.Expect(lines[1].DataCentre).To(BeEquivalentTo("dc-2"))
	for _, url := range []string{lines[0].Address + "/health", lines[2].Address + "/servers/a-2/log"} {
		resp, err := http.Get("http://" + url)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		_ = resp.Body.Close()
	}
	cancel()
	g.Eventually(status).WithTimeout(shutdownTimeout).Should(Receive(BeZero()))
}

// Guards against usage errors that exit with status 0.
func TestUsage(t *testing.T) {
	g := NewWithT(t)
	var stdout, stderr bytes.Buffer
	g.Expect(run(t.Context(), []string{"--help"}, &stdout, &stderr)).To(BeZero())
	g.Expect(stdout.String()).To(ContainSubstring("backends"))
	g.Expect(run(t.Context(), []string{"bogus"}, &stdout, &stderr)).To(Equal(exitUsage))
	g.Expect(run(t.Context(), []string{"backends", "--objects", "/nonexistent"}, &stdout, &stderr)).To(Equal(exitFailure))
	g.Expect(stderr.String()).To(ContainSubstring("objects file"))
}
