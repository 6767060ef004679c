package edge

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/telemetry"
)

// note keeps what decided one attempt, for the request's line.
func (f *flight) note(r attemptResult) {
	f.node.attempts.Inc(r.verdict.String(), "")
	status := 0
	if r.resp != nil {
		status = r.resp.status
	}
	text := string(r.choice.Server.ID) + ":" + r.verdict.String() + ":" + strconv.Itoa(status) +
		":" + strconv.FormatInt(r.latency.Milliseconds(), 10) + "ms" +
		":failing=" + strconv.FormatFloat(round3(r.choice.Failing), 'f', -1, 64) +
		":evidence=" + strconv.FormatInt(r.choice.EvidenceAge.Milliseconds(), 10) + "ms" +
		":outstanding=" + strconv.Itoa(r.choice.Outstanding) +
		":cost=" + strconv.FormatFloat(round3(r.choice.Cost), 'f', -1, 64) +
		":next=" + strconv.FormatFloat(round3(r.choice.RunnerUp), 'f', -1, 64) +
		":of=" + strconv.Itoa(r.choice.Candidates)
	if r.choice.Probe {
		text += ":probe"
	}
	f.notes = append(f.notes, text)
}

// finished writes the line of a request and records its latency.
func (n *Node) finished(f *flight, v *catalog.View, resp *response) {
	took := time.Since(f.request.received)
	n.metrics.Scope.Histogram("request_latency", telemetry.LatencyBuckets).RecordDuration(took)
	failed := resp.status >= http.StatusInternalServerError
	if !failed {
		n.sizes.sample(f.route.Name, len(resp.body))
	}
	fields := telemetry.Fields{
		"event": "request", "id": f.request.id, "route": f.route.Name, "service": f.service, "status": resp.status,
		"took": took.Round(time.Millisecond), "epoch": v.Epoch(), "revision": v.Revision, "attempts": strings.Join(f.notes, " "),
	}
	if f.reason != "" {
		fields["reason"] = f.reason
	}
	if n := len(f.active); n > 0 {
		fields["unanswered"] = n
	}
	n.requests.write(failed, "request answered", fields)
}

// unrouted writes the line of a request that no route was found for.
func (n *Node) unrouted(q *request, epoch model.Epoch, resp *response, reason model.Reason) *response {
	n.requests.write(true, "request answered", telemetry.Fields{
		"event": "request", "id": q.id, "target_host": q.host, "path": q.target, "status": resp.status, "reason": reason, "epoch": epoch,
	})
	return resp
}
