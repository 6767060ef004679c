package detection

import "time"

// event is a scheduled change of an attempt.
type event struct {
	at      time.Duration
	attempt int32
	version uint32 // version of the attempt's record, which is reused
	kind    eventKind
}

type eventKind uint8

const (
	serviceEnds  eventKind = iota // the server answers
	deadline                      // the attempt times out
	slotFree                      // the server frees the slot of an abandoned attempt
	hedgeAnswers                  // the hedge answers, which cancels the attempt
)

// schedule is a binary heap of events, ordered by time.
type schedule struct{ list []event }

func (q *schedule) next() time.Duration {
	if len(q.list) == 0 {
		return forever
	}
	return q.list[0].at
}

func (q *schedule) push(e event) {
	q.list = append(q.list, e)
	i := len(q.list) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if q.list[parent].at <= q.list[i].at {
			return
		}
		q.list[parent], q.list[i] = q.list[i], q.list[parent]
		i = parent
	}
}

func (q *schedule) pop() event {
	top, last := q.list[0], len(q.list)-1
	q.list[0] = q.list[last]
	q.list = q.list[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && q.list[child+1].at < q.list[child].at {
			child++
		}
		if q.list[i].at <= q.list[child].at {
			return top
		}
		q.list[i], q.list[child] = q.list[child], q.list[i]
		i = child
	}
}
