package loadgen

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Class is how a request ended, as its caller sees it.
type Class string

// Classes of requests.
const (
	// ClassAnswered: the whole answer with a success status.
	ClassAnswered Class = "answered"
	// ClassServerError: the backend server's own error was passed on.
	ClassServerError Class = "server-error"
	// ClassNotRun: the fleet says that the request did not run.
	ClassNotRun Class = "not-run"
	// ClassUnknown: the fleet says that the request may have run.
	ClassUnknown Class = "unknown"
	// ClassLost: no answer arrived, also after the repeats.
	ClassLost Class = "lost"
	// ClassNoKey: no idempotency key was issued, so nothing was sent.
	ClassNoKey Class = "no-key"
	// ClassUnclassified: a response without an outcome.
	ClassUnclassified Class = "unclassified"
	// ClassOverflow: not sent, because too many requests were open.
	ClassOverflow Class = "overflow"
)

// classes lists all classes in the order of reports.
var classes = []Class{
	ClassAnswered, ClassServerError, ClassNotRun, ClassUnknown,
	ClassLost, ClassNoKey, ClassUnclassified, ClassOverflow,
}

// result is the end of one request.
type result struct {
	id        string
	key       string
	operation int
	workspace int
	// sends counts transmissions, repeats included.
	sends  int
	class  Class
	reason model.Reason
	status int
	// intended is when the request should have been sent, lag how much later
	// the generator started it.
	intended time.Time
	lag      time.Duration
	// latency counts from intended. sinceStart counts from the start, and outside
	// leaves out the time at the answering server as well.
	latency    time.Duration
	sinceStart time.Duration
	outside    time.Duration
	// attempts counts the request's arrivals at servers, sheds included; zero
	// without execution logs.
	attempts int
	// problem is set when an answer presented as complete is wrong.
	problem error
}

// started returns when the generator started the request.
func (r *result) started() time.Time { return r.intended.Add(r.lag) }
