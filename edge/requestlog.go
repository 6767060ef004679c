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

// note keeps what decided one attempt, for the request's line.
func (f *flight) note(r attemptResult) {
	f.node.attempts.Inc(r.verdict.String(), "")
	status := 0
	if r.resp != nil {
		status = r.resp.status
	}
	f.notes = append(f.notes, attemptNote(r.choice, r.verdict.String(), status, r.latency))
}

// noteQueueFull keeps why no server was sent the request: the best choice and
// its expected time to an answer.
func (f *flight) noteQueueFull(c balance.Choice, limit time.Duration) {
	f.notes = append(f.notes, attemptNote(c, "queue-full", 0, 0)+
		":expected="+milliseconds(c.ExpectedLatency)+":limit="+milliseconds(limit))
}

// attemptNote describes an attempt and the choice behind it.
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
	return text
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }

// unanswered marks an attempt that had not ended when its request did.
const unanswered = "unanswered"

// finished writes the line of a request and records its latency.
func (n *Node) finished(f *flight, v *catalog.View, resp *response) {
	took := time.Since(f.request.received)
	n.metrics.Scope.Histogram("request_latency", telemetry.LatencyBuckets).RecordDuration(took)
	failed := resp.status >= http.StatusInternalServerError
	if !failed {
		n.sizes.sample(f.route.Name, len(resp.body))
	}
	for _, a := range f.active {
		f.notes = append(f.notes, attemptNote(a.choice, unanswered, 0, time.Since(a.began)))
	}
	fields := telemetry.Fields{
		"event": "request", "id": f.request.id, "route": f.route.Name, "service": f.service, "status": resp.status,
		"took": took.Round(time.Millisecond), "epoch": v.Epoch(), "revision": v.Revision, "attempts": strings.Join(f.notes, " "),
	}
	if f.reason != "" {
		fields["reason"] = f.reason
	}
	if f.noBudget {
		fields["no_repeat"] = "retry-budget"
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
