package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/standin/consortium"
)

// requestLine returns a function that returns the log line of a request.
func (d *daemon) requestLine(id string) func() string {
	pattern := regexp.MustCompile(`(?m)^.*event=request .*id=` + id + ` .*$`)
	return func() string { return pattern.FindString(d.log.String()) }
}

// Guards against a timeout whose log line does not name the server that did not
// respond.
func TestTimedOutLineNamesServer(t *testing.T) {
	s := newSite(t)
	s.configure(400*time.Millisecond, "")
	s.server("i-1", service).SetBehaviour(always(consortium.Hang))
	d := s.ready(s.daemon(s.settings("h1")))
	s.g.Expect(s.write(d, "w").status).To(Equal(http.StatusGatewayTimeout))
	s.g.Eventually(d.requestLine("w")).Should(And(ContainSubstring("i-1:unanswered:0:"), ContainSubstring("reason=timeout")))
}

// Guards against a request refused for a long queue whose log line lacks the expected
// latency and the limit.
func TestQueueFullLineHasItsInputs(t *testing.T) {
	s := newSite(t)
	s.configure(4*time.Second, "")
	server := s.server("i-1", service)
	server.SetServiceTime(400 * time.Millisecond)
	d := s.ready(s.daemon(s.settings("h1")))
	s.write(d, "first")
	for i := range 12 {
		c := s.dial(d)
		c.send(request("POST", "/write/x", fmt.Sprint("w", i), "payload", ""))
	}
	s.g.Eventually(d.log.String).WithTimeout(3 * time.Second).Should(MatchRegexp(`i-1:queue-full:\S*:outstanding=[1-9]\S*:expected=[1-9]\d+ms:limit=550ms`))
}

// Guards against metrics that do not count dropped log lines and observations.
func TestMetricsCountWhatIsLost(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service)
	set := s.settings("h1")
	set.Log.RequestsPerSecond = 0
	d := s.ready(s.daemon(set))
	for i := range 230 {
		s.write(d, fmt.Sprint("w", i))
	}
	s.g.Eventually(func() string { return s.metrics(d) }).WithTimeout(3 * time.Second).Should(And(
		MatchRegexp(`usher_edge_request_lines_left_out [1-9]`),
		ContainSubstring("usher_edge_log_lines_dropped 0"),
		ContainSubstring("usher_edge_observations_dropped 0"),
		ContainSubstring("usher_edge_live_hosts 1"),
		ContainSubstring(fmt.Sprintf("usher_edge_config_epoch %d", s.version)),
	))
}

func (s *site) metrics(d *daemon) string {
	resp, err := http.Get("http://" + d.settings.Listeners.Admin + "/metrics")
	s.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	s.g.Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// Guards against a request that was not retried because of the retry budget and whose
// log line does not say so.
func TestBudgetRefusalIsExplained(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	for i := range 2 {
		s.server(fmt.Sprint("i-", i), service).SetBehaviour(always(consortium.Fail))
	}
	set := s.settings("h1")
	set.Retries.Ratio, set.Retries.Slack = 0, 0
	d := s.ready(s.daemon(set))
	s.g.Expect(s.read(d, "r").status).To(Equal(http.StatusInternalServerError))
	s.g.Eventually(d.requestLine("r")).Should(And(ContainSubstring("no_repeat=retry-budget"), ContainSubstring("reason=server-failed")))
	s.g.Expect(d.log.String()).To(MatchRegexp(`event=retry_budget_exhausted .*repeats=0 requests=\d+ service=registry`))
}

// Guards against changes of the relay that are not logged.
func TestRelayChangeIsLogged(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service)
	daemons := []*daemon{s.ready(s.daemon(s.settings("h1"))), s.ready(s.daemon(s.settings("h2")))}
	// held is the number of kinds, configuration and servers, that a daemon is the
	// relay for by its log.
	held := func(d *daemon) int {
		return strings.Count(d.log.String(), "event=relay_gained") - strings.Count(d.log.String(), "event=relay_lost")
	}
	s.g.Eventually(func() []int { return []int{held(daemons[0]), held(daemons[1])} }).WithTimeout(5 * time.Second).
		Should(Or(Equal([]int{2, 0}), Equal([]int{0, 2})))
	relay, other := daemons[0], daemons[1]
	if held(relay) == 0 {
		relay, other = other, relay
	}
	gained := func() int { return strings.Count(other.log.String(), "event=relay_gained") }
	before := gained()
	relay.stop()
	s.g.Eventually(gained).WithTimeout(5 * time.Second).Should(Equal(before + 2)) // configuration and servers
}
