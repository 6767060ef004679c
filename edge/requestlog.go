package edge

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/telemetry"
)

// recordAttempt counts an attempt and adds it to the log line of the request.
func (f *forwarding) recordAttempt(r attemptResult) {
	f.node.attempts.Inc(r.verdict.String(), "")
	status := 0
	if r.resp != nil {
		status = r.resp.status
	}
	f.attemptNotes = append(f.attemptNotes, attemptNote(r.choice, r.verdict.String(), status, r.latency))
}

// recordQueueFull adds to the log line why the request was sent to no server: the
// best choice, its expected latency and the limit.
func (f *forwarding) recordQueueFull(c balance.Choice, limit time.Duration) {
	f.attemptNotes = append(f.attemptNotes, attemptNote(c, "queue-full", 0, 0)+
		":expected="+milliseconds(c.ExpectedLatency)+":limit="+milliseconds(limit))
}

// attemptNote formats an attempt and the values that its server was chosen by.
func attemptNote(c balance.Choice, result string, status int, latency time.Duration) string {
	text := string(c.Server.ID) + ":" + result + ":" + strconv.Itoa(status) +
		":" + milliseconds(latency) +
		":failing=" + strconv.FormatFloat(round3(c.FailingProbability), 'f', -1, 64) +
		":evidence=" + milliseconds(c.EvidenceAge) +
		":outstanding=" + strconv.Itoa(c.Outstanding) +
		":cost=" + strconv.FormatFloat(round3(c.Cost), 'f', -1, 64) +
		":next=" + strconv.FormatFloat(round3(c.NextCost), 'f', -1, 64) +
		":of=" + strconv.Itoa(c.ServerCount)
	if c.Probe {
		text += ":probe"
	}
	if c.Explore {
		text += ":explore"
	}
	if c.Limit.InForce {
		text += ":server-limit=" + strconv.FormatFloat(round3(c.Limit.PerSecond), 'f', -1, 64)
	}
	return text
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }

// unanswered is the result of an attempt that had not ended when its request was
// answered.
const unanswered = "unanswered"

// recordRequest logs a request and records its latency and, unless it failed, its
// response size.
func (n *Node) recordRequest(f *forwarding, v *catalog.View, resp *response) {
	f.recordWorkspace()
	took := time.Since(f.request.received)
	n.metrics.Scope.Histogram("request_latency", telemetry.LatencyBuckets).RecordDuration(took)
	failed := resp.status >= http.StatusInternalServerError
	if !failed && resp.length >= 0 && f.dials > 0 {
		n.sizeEstimator.sample(f.route.Name, int(resp.length))
	}
	for _, a := range f.active {
		f.attemptNotes = append(f.attemptNotes, attemptNote(a.choice, unanswered, 0, time.Since(a.startedAt)))
	}
	fields := telemetry.Fields{
		"event": "request", "id": f.request.id, "route": f.route.Name, "service": f.service, "status": resp.status,
		"took": took.Round(time.Millisecond), "epoch": v.Epoch(), "revision": v.Revision, "attempts": strings.Join(f.attemptNotes, " "), "priority": f.priority(),
	}
	if f.reason != "" {
		fields["reason"] = f.reason
	}
	if f.hold.notes != "" {
		fields["held"] = f.hold.notes
	}
	if f.workspace != nil {
		fields["workspace"] = f.workspace.Name
	}
	if f.quota.result != "" {
		fields["quota"] = f.quota.result
	}
	if f.budgetRefused {
		fields["no_repeat"] = "retry-budget"
	}
	n.requestLog.write(failed, "request answered", fields)
}

// logUnrouted logs a request for which no configuration or no route was found, and
// returns resp.
func (n *Node) logUnrouted(q *request, epoch model.Epoch, resp *response, reason model.Reason) *response {
	n.requestLog.write(true, "request answered", telemetry.Fields{
		"event": "request", "id": q.id, "target_host": q.host, "path": q.path(), "status": resp.status, "reason": reason, "epoch": epoch,
	})
	return resp
}
