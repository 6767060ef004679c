package loadgen

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Class is the result of a request as its caller sees it.
type Class string

// Classes of requests.
const (
	// ClassAnswered: a complete answer with a success status.
	ClassAnswered Class = "answered"
	// ClassServerError: the fleet passed on an error status of the backend server.
	ClassServerError Class = "server-error"
	// ClassNotRun: the fleet reported that the request did not run.
	ClassNotRun Class = "not-run"
	// ClassUnknown: the fleet reported that the request may have run.
	ClassUnknown Class = "unknown"
	// ClassLost: no answer arrived, even after the repeats.
	ClassLost Class = "lost"
	// ClassNoKey: no idempotency key was issued, so nothing was sent.
	ClassNoKey Class = "no-key"
	// ClassUnclassified: the response has no valid outcome header.
	ClassUnclassified Class = "unclassified"
	// ClassOverflow: not sent, because Config.MaxInFlight was reached.
	ClassOverflow Class = "overflow"
)

// classes lists all classes in the column order of the report table.
var classes = []Class{
	ClassAnswered, ClassServerError, ClassNotRun, ClassUnknown,
	ClassLost, ClassNoKey, ClassUnclassified, ClassOverflow,
}

// result describes one finished request.
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
	// intended is the scheduled send time, lag the delay until the generator
	// started the request.
	intended time.Time
	lag      time.Duration
	// latency counts from intended, sinceStart from the actual start. overhead is
	// sinceStart minus the time that the answering server took.
	latency    time.Duration
	sinceStart time.Duration
	overhead   time.Duration
	// attempts counts the request's arrivals at servers, including those that the
	// server shed; zero without execution logs.
	attempts int
	// answerErr is set if an answer with a success status fails verification.
	answerErr error
}

// started returns the time at which the generator started the request.
func (r *result) started() time.Time { return r.intended.Add(r.lag) }
