package acceptance

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/fleet"
)

// usherctl runs usherctl with the given standard input. It returns the combined
// output and the exit status.
func usherctl(stdin string, args ...string) (output string, status int) {
	command := exec.Command(filepath.Join(suite.binaries, "usherctl"), args...)
	command.Env = []string{"USHERCTL_API=" + suite.environment["USHERCTL_API"], "USHERCTL_TOKEN=" + suite.environment["USHERCTL_TOKEN"]}
	command.Stdin = strings.NewReader(stdin)
	out, err := command.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode()
	}
	Expect(err).NotTo(HaveOccurred())
	return string(out), 0
}

// call sends a request to the address that the given environment variable holds.
// An empty key sends no key header.
func call(method, address, path, key, body string) (*http.Response, string) {
	r, err := http.NewRequest(method, "http://"+suite.environment[address]+path, bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set(fleet.HeaderWorkspace, "gate-marshals")
	if key != "" {
		r.Header.Set(fleet.HeaderKey, key)
	}
	resp, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(content)
}

var _ = Describe("An operator", Ordered, func() {
	const change = `{
		// One more workspace with twice the usual weight.
		"workspaces": [{"id": "gate-north", "weight": 2}],
	}`

	It("sees every host with the first epoch in force", func() {
		out, status := usherctl("", "rollout")
		Expect(status).To(BeZero(), out)
		Expect(out).To(ContainSubstring("4 in force, 0 behind, 0 silent"))
	})

	It("previews and applies a change on all hosts", func() {
		out, status := usherctl(change, "diff", "-f", "-")
		Expect(status).To(BeZero(), out)
		Expect(out).To(ContainSubstring("create Workspace gate-north"))
		out, status = usherctl(change, "apply", "-f", "-", "--wait")
		Expect(status).To(BeZero(), out)
		Expect(out).To(ContainSubstring("epoch 2: 4 in force"))
	})

	It("sees the conflicting change when another change came first", func() {
		out, status := usherctl(change, "apply", "-f", "-", "--epoch", "1")
		Expect(status).To(Equal(3))
		Expect(out).To(ContainSubstring("changed Workspace gate-north"))
	})

	It("sees every mistake in a file with its line", func() {
		out, status := usherctl("{\n\"workspaces\": [{\"id\": 7}],\n\"routs\": []}", "apply", "-f", "-")
		Expect(status).To(Equal(2))
		Expect(out).To(ContainSubstring(":2: workspaces[0].id"))
		Expect(out).To(ContainSubstring(":3: routs"))
	})

	It("drains, ejects and readmits a server", func() {
		for _, verb := range []string{"drain", "readmit", "eject", "readmit"} {
			out, status := usherctl("", verb, "booking-lagos-1-1")
			Expect(status).To(BeZero(), "%s: %s", verb, out)
		}
	})

	It("cannot eject below the floor", func() {
		refused := false
		for _, server := range []string{"booking-lagos-1-1", "booking-lagos-1-2", "booking-lagos-1-3", "booking-lagos-1-4"} {
			if out, status := usherctl("", "eject", server); status != 0 {
				refused = true
				Expect(out).To(ContainSubstring("floor"))
			}
		}
		Expect(refused).To(BeTrue())
		for _, server := range []string{"booking-lagos-1-1", "booking-lagos-1-2", "booking-lagos-1-3", "booking-lagos-1-4"} {
			_, _ = usherctl("", "readmit", server)
		}
	})

	It("sees a stalled server ejected or suspected with the evidence for it", func() {
		resp, _ := call(http.MethodPut, "STANDINS", "/servers/booking-lagos-1-2/faults", "", `{"stall":true}`)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Eventually(func() string {
			for range 20 {
				_, _ = call(http.MethodGet, "ENTRY1", "/spaces/7", "", "")
			}
			out, _ := usherctl("", "pools", "--service", "booking")
			return out
		}).WithTimeout(20 * time.Second).WithPolling(50 * time.Millisecond).Should(MatchRegexp(`booking-lagos-1-2\s+(ejected|suspect).*signal=`))
		resp, _ = call(http.MethodPut, "STANDINS", "/servers/booking-lagos-1-2/faults", "", `{}`)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})

	It("sees requests answered and changes rejected during an outage of the object API", func() {
		_, _ = call(http.MethodPut, "PLATFORM", "/admin/faults", "", `{"outage":"refuse"}`)
		_, status := usherctl(change, "apply", "-f", "-")
		Expect(status).To(Equal(6))
		resp, _ := call(http.MethodGet, "ENTRY1", "/spaces/7", "", "")
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		_, _ = call(http.MethodPut, "PLATFORM", "/admin/faults", "", `{}`)
	})

	It("gets a report in the applied layout", func() {
		out, status := usherctl("", "report", "--day", time.Now().UTC().Format(time.DateOnly), "--layout", "ridemark-daily")
		Expect(status).To(BeZero(), out)
		Expect(out).To(ContainSubstring("Date,Franchise,Service,Requests,Answered,Not run,Unknown,P50 (ms),P99 (ms)"))
	})
})

var _ = Describe("A caller", func() {
	It("pays once with one key through two entries", func() {
		resp, body := call(http.MethodPost, "ENTRY1", "/.well-known/agateusher/keys", "", `{"method":"POST","path":"/passes/payments","count":1}`)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		var issued fleet.KeysResponse
		Expect(json.Unmarshal([]byte(body), &issued)).To(Succeed())
		_, first := call(http.MethodPost, "ENTRY2", "/passes/payments", issued.Keys[0], `{"amount":500}`)
		resp, second := call(http.MethodPost, "ENTRY3", "/passes/payments", issued.Keys[0], `{"amount":500}`)
		Expect(resp.Header.Get(fleet.HeaderOutcome)).To(Equal("answered"))
		Expect(second).To(Equal(first))
	})

	It("gets a key with the response to a lookup", func() {
		resp, _ := call(http.MethodGet, "ENTRY1", "/spaces/7", "", "")
		Expect(resp.Header.Get(fleet.HeaderKey)).NotTo(BeEmpty())
	})

	It("is rejected without a key", func() {
		resp, _ := call(http.MethodPost, "ENTRY1", "/passes/payments", "", "")
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(resp.Header.Get(fleet.HeaderReason)).To(Equal("key-missing"))
	})
})
