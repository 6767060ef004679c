package pool

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/fairqueue"
	"github.com/agateusher/agateusher/core/internal/indexheap"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// server is the state of one backend server.
type server struct {
	id            model.ServerID
	slots         int
	operatorState snapshot.ServerState
	// removed: the configuration no longer lists the server.
	removed bool
	status  Status
	// inUse counts occupied slots; held counts those of them whose attempt was
	// abandoned.
	inUse, held int
	// rampStart is when the ramp began; zero: no ramp.
	rampStart time.Time
	// score is the detector's latest suspicion score; zero: not suspected.
	score float64
	// ejectedUntil is when the ejection ends; probationStart is when the current
	// probation, or the trial after an early readmission, began.
	ejectedUntil   time.Time
	probationStart time.Time
	// live lists the attempts that have not ended and were not abandoned.
	live []*attempt
	// successes counts consecutive successes on probation or after an early
	// readmission; hedgeLosses counts consecutive probation attempts that were
	// slower than their hedge.
	successes, hedgeLosses int
	// unproven: readmitted early, and on trial until it has SuccessThreshold
	// consecutive successes or MaxProbation has passed.
	unproven bool
	// ejectionBackoffLevel is the number of doublings of the ejection time.
	ejectionBackoffLevel int
	// returnedAt is when the server last returned from an ejection.
	returnedAt time.Time
	// consecutiveSheds counts the requests that the server shed since its last
	// answer, up to maxShedBackoffLevel. It gets no request until
	// shedBackoffUntil.
	consecutiveSheds int
	shedBackoffUntil time.Time
	limit            serverLimit
}

// leaving reports whether operators drain the server or removed it.
func (s *server) leaving() bool { return s.removed || s.operatorState == snapshot.ServerDraining }

// inService reports whether the server is serving or suspect, and so counts as
// capacity for the floor.
func (s *server) inService() bool { return s.status == Serving || s.status == Suspect }

// allowed returns the number of slots that may be used now, at least one. It
// clears rampStart when the ramp is over.
func (s *server) allowed(now time.Time, ramp time.Duration) int {
	if s.rampStart.IsZero() || ramp <= 0 {
		return s.slots
	}
	elapsed := now.Sub(s.rampStart)
	if elapsed >= ramp {
		s.rampStart = time.Time{}
		return s.slots
	}
	return min(s.slots, 1+int(int64(s.slots)*int64(elapsed)/int64(ramp)))
}

// free returns the number of requests that the server can take now, by its slots and
// its rate limit; zero during a shed backoff.
func (s *server) free(now time.Time, ramp time.Duration) int {
	if now.Before(s.shedBackoffUntil) {
		return 0
	}
	return max(0, s.limit.allows(now, s.allowed(now, ramp)-s.inUse))
}

// usableFor reports whether the server may get repeatable or other requests.
func (s *server) usableFor(repeatable bool) bool {
	return s.status == Serving || (repeatable && (s.status == Suspect || s.status == Probation))
}

// idle reports whether no slot is occupied and the rate limit allows a request.
func (s *server) idle(now time.Time) bool { return s.inUse == 0 && s.limit.wait(now) == 0 }

// nextRampStep returns when the allowed slots grow next; zero: no ramp.
func (s *server) nextRampStep(now time.Time, ramp time.Duration) time.Time {
	if s.allowed(now, ramp) >= s.slots {
		return time.Time{}
	}
	steps := int64(s.allowed(now, ramp))
	nanos := (steps*int64(ramp) + int64(s.slots) - 1) / int64(s.slots)
	return s.rampStart.Add(time.Duration(nanos))
}

// attempt is one dispatch that still occupies a slot.
type attempt struct {
	id      model.AttemptID
	request *request
	server  *server
	started time.Time
	// abandoned: the pool no longer waits for the attempt, which occupies its
	// slot until heldUntil at the latest.
	abandoned bool
	// chargedTime is the estimated slot time that the workspace was charged at
	// dispatch.
	chargedTime time.Duration
	heldUntil   time.Time
	heapPos     int
}

// request is one submitted request without a final decision.
type request struct {
	Request
	entry fairqueue.Entry[*request]
	// urgent: in the list of requests that go before the queue.
	// awaitingBudget: waiting for the retry budget.
	urgent, awaitingBudget bool
	// live lists the attempts that have not ended and were not abandoned.
	live []*attempt
	// tried lists the servers of all attempts.
	tried []*server
	// dispatched counts attempts; notRun counts those that certainly did not run.
	dispatched, notRun int
	// liveBuf and triedBuf are the initial backing arrays of live and tried, so
	// that most requests need no allocation for them.
	liveBuf  [maxLive]*attempt
	triedBuf [maxLive]*server
	// lastFailure is the reason of the latest failed attempt.
	lastFailure model.Reason
	// hedgeAt is when the next hedge is tried; zero: never. hedgeTries counts the
	// tries so far, except those with maxLive attempts at servers in service.
	hedgeAt    time.Time
	hedgeTries int
	// wake is the earlier of hedgeAt and the deadline.
	wake    time.Time
	heapPos int
}

// mayHaveRun reports whether any attempt may have run.
func (r *request) mayHaveRun() bool { return r.dispatched > r.notRun }

// detach removes an attempt from the live attempts of its request and server.
func (a *attempt) detach() {
	a.request.live = withoutAttempt(a.request.live, a)
	a.server.live = withoutAttempt(a.server.live, a)
}

func withoutAttempt(list []*attempt, a *attempt) []*attempt {
	if i := slices.Index(list, a); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// class returns the class of the request in the queue.
func (r *request) class() fairqueue.Class {
	if r.Repeatable {
		return repeatable
	}
	return notRepeatable
}

// Classes of requests in the queue.
const (
	repeatable fairqueue.Class = iota
	notRepeatable
)

func newWakeHeap() *indexheap.Heap[*request] {
	return indexheap.New(
		func(a, b *request) bool { return a.wake.Before(b.wake) },
		func(r *request) *int { return &r.heapPos })
}

func newHoldHeap() *indexheap.Heap[*attempt] {
	return indexheap.New(
		func(a, b *attempt) bool { return a.heldUntil.Before(b.heldUntil) },
		func(a *attempt) *int { return &a.heapPos })
}

// evidenceKind returns the detector's kind for the result of an attempt.
func evidenceKind(res AttemptResult) detector.Kind {
	switch res.Kind {
	case Answered:
		if res.ServerError {
			return detector.Failure
		}
		return detector.Success
	case Shed:
		return detector.Shed
	case FailedBeforeSend:
		return detector.ConnectFailure
	default:
		return detector.Failure
	}
}

// failureReason returns the reason that the caller gets for a failed attempt.
func failureReason(k ResultKind) model.Reason {
	switch k {
	case FailedBeforeSend:
		return model.ReasonConnect
	case Shed:
		return model.ReasonShed
	case TimedOut:
		return model.ReasonTimeout
	case Truncated:
		return model.ReasonTruncated
	default:
		return model.ReasonServerFailed
	}
}
