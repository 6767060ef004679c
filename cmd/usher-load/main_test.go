package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/loadgen"
	"github.com/agateusher/agateusher/standin/backend"
)

// startEntry starts an entry that answers every request from a stand-in server,
// with the given outcome or none, and returns its address.
func startEntry(t *testing.T, outcome string) string {
	server := backend.New(backend.Options{ID: "s", Slots: 100, ServiceTime: backend.Distribution{Kind: backend.Fixed, Mean: 1}})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if outcome != "" {
			w.Header().Set("Agateusher-Outcome", outcome)
		}
		server.ServeHTTP(w, r)
	})
	front := httptest.NewServer(handler)
	t.Cleanup(front.Close)
	return front.Listener.Addr().String()
}

// Guards against a violation that does not change the exit status.
func TestExitStatus(t *testing.T) {
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(closedListener.Close()).To(Succeed())
	load := []string{"-d", "200ms", "--workspace", "a=50", "--lookup", "GET:/x=1", "-o", "json"}
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"no violation", append([]string{"-e", startEntry(t, "answered")}, load...), 0},
		{"violation", append([]string{"-e", startEntry(t, "")}, load...), exitViolation},
		{"no stand-ins", append([]string{"-e", "127.0.0.1:1", "--standin-admin", closedListener.Addr().String()}, load...), exitFailure},
		{"no entry", load, exitUsage},
		{"no workspace", []string{"-e", "127.0.0.1:1"}, exitUsage},
		{"wrong operation", []string{"-e", "127.0.0.1:1", "--workspace", "a=1", "--lookup", "GET=1"}, exitUsage},
		{"wrong fault", append([]string{"-e", "127.0.0.1:1", "--fault-server", "s", "--fault", `{"x":1}`}, load...), exitUsage},
		{"help", []string{"--help"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			var stdout, stderr bytes.Buffer
			g.Expect(run(t.Context(), tt.args, &stdout, &stderr)).To(Equal(tt.want), stdout.String()+stderr.String())
			if tt.want == 0 && tt.name != "help" {
				var report loadgen.Report
				g.Expect(json.Unmarshal(stdout.Bytes(), &report)).To(Succeed())
				g.Expect(report.Total.Classes[loadgen.ClassAnswered]).To(BeNumerically(">", 0))
			}
		})
	}
}

// Guards against workspaces or operations of an objects file that are converted
// incorrectly.
func TestOptionsFromObjects(t *testing.T) {
	g := NewWithT(t)
	o := options{Entries: []string{"e"}, Objects: "../../examples/ridemark/objects.jsonc", Rate: 120, NonRepeatableShare: 0.25}
	c, err := o.config()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Workspaces[0]).To(Equal(loadgen.Workspace{ID: "gate-marshals", RatePerSecond: 40}))
	nonRepeatableShare := 0.0
	for _, operation := range c.Operations {
		if !operation.Repeatable {
			g.Expect(operation.Method).To(Equal(http.MethodPost))
			nonRepeatableShare += operation.Weight
		}
	}
	g.Expect(nonRepeatableShare).To(BeNumerically("~", 0.25, 1e-9))
}
