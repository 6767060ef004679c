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
	id       model.ServerID
	slots    int
	operator snapshot.ServerState
	// removed: the configuration no longer lists it.
	removed bool
	status  Status
	// inUse counts occupied slots; held is the part that this side ended.
	inUse, held int
	// rampFrom is when the ramp began; zero: no ramp.
	rampFrom time.Time
	// score is the detector's latest suspicion; zero: none.
	score float64
	// heldUntil ends an ejection; probationFrom began the current probation.
	heldUntil     time.Time
	probationFrom time.Time
	// live lists the attempts that may still answer.
	live []*attempt
	// successes and doubts count answers and lost hedges in a row on probation.
	successes, doubts int
	// unproven: readmitted early, and not yet successful often enough.
	unproven bool
	// holdLevel is the number of doublings of the hold time.
	holdLevel int
	// returned is when the server last came back from an ejection.
	returned time.Time
	// sheds counts requests in a row that the server shed; until shedUntil it
	// gets no further one.
	sheds     int
	shedUntil time.Time
}

// leaving reports whether operators take the server out of service.
func (s *server) leaving() bool { return s.removed || s.operator == snapshot.ServerDraining }

// inService reports whether the server counts as capacity for the floor.
func (s *server) inService() bool { return s.status == Serving || s.status == Suspect }

// allowed returns the slots that may be used now, at least one.
func (s *server) allowed(now time.Time, ramp time.Duration) int {
	if s.rampFrom.IsZero() || ramp <= 0 {
		return s.slots
	}
	elapsed := now.Sub(s.rampFrom)
	if elapsed >= ramp {
		s.rampFrom = time.Time{}
		return s.slots
	}
	return min(s.slots, 1+int(int64(s.slots)*int64(elapsed)/int64(ramp)))
}

// free returns the slots that may take a request now.
func (s *server) free(now time.Time, ramp time.Duration) int {
	if now.Before(s.shedUntil) {
		return 0
	}
	return max(0, s.allowed(now, ramp)-s.inUse)
}

// nextRampStep returns when allowed grows next; zero: no ramp.
func (s *server) nextRampStep(now time.Time, ramp time.Duration) time.Time {
	if s.allowed(now, ramp) >= s.slots {
		return time.Time{}
	}
	steps := int64(s.allowed(now, ramp))
	nanos := (steps*int64(ramp) + int64(s.slots) - 1) / int64(s.slots)
	return s.rampFrom.Add(time.Duration(nanos))
}

// attempt is one dispatch that still occupies a slot or has not ended.
type attempt struct {
	id      model.AttemptID
	request *request
	server  *server
	started time.Time
	// ended: this side gave it up; heldUntil bounds the slot.
	ended bool
	// estimate is the slot time that the workspace was charged at dispatch.
	estimate  time.Duration
	heldUntil time.Time
	heapPos   int
}

// request is one submitted request without a final decision.
type request struct {
	Request
	entry fairqueue.Entry[*request]
	// urgent: in the list of attempts that go before the queue.
	// parked: waiting for the retry budget.
	urgent, parked bool
	// live lists the attempts that may still answer.
	live []*attempt
	// tried lists the servers of all attempts.
	tried []*server
	// dispatched counts attempts; unrun counts those that certainly did not run.
	dispatched, unrun int
	// liveSpace and triedSpace are the first backing of live and tried, so that
	// most requests need no allocation for them.
	liveSpace  [maxLive]*attempt
	triedSpace [maxLive]*server
	// reason is that of the latest failed attempt.
	reason model.Reason
	// hedgeAt is when another attempt starts beside the live ones; zero: never.
	// hedgeWaits counts how often it found no free slot.
	hedgeAt    time.Time
	hedgeWaits int
	// wake is when the request needs attention next: its deadline or hedge time.
	wake    time.Time
	heapPos int
}

// mayHaveRun reports whether any attempt may have run.
func (r *request) mayHaveRun() bool { return r.dispatched > r.unrun }

// drop removes an attempt from the live ones of its request and server.
func (a *attempt) drop() {
	a.request.live = without(a.request.live, a)
	a.server.live = without(a.server.live, a)
}

func without(list []*attempt, a *attempt) []*attempt {
	if i := slices.Index(list, a); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// class of the request in the queue.
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

// evidenceKind translates the end of an attempt for the detector.
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

// failureReason is the reason a caller is told for a failed attempt.
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
