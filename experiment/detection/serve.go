package detection

import (
	"time"

	"github.com/agateusher/agateusher/core/detector"
)

// request handles an arriving request.
func (t *trial) request() {
	judge := 0
	if len(t.judges) > 1 {
		judge = t.rng.IntN(len(t.judges))
	}
	if server := t.choose(judge); server >= 0 {
		t.dispatch(judge, server)
	} else if len(t.ownerQueue) < queueLimit {
		t.ownerQueue = append(t.ownerQueue, t.now)
	}
}

// choose returns the server for the next attempt, or -1 if the judge accepts no
// server or, for an owner, none has a free slot. An owner chooses a random server
// with a free slot, or the one with the fewest attempts if Config.LeastLoaded is
// set. An entry does not know the free slots and chooses the server with the
// fewest attempts of its own. Ties are broken at random.
func (t *trial) choose(judge int) int {
	j, owner := t.judges[judge], len(t.judges) == 1
	best, load, ties := -1, 0, 0
	for s := range poolServers {
		if !j.accepts(s) || owner && t.busySlots[s] >= poolSlots {
			continue
		}
		n := j.servers[s].inFlight
		if owner {
			n = t.busySlots[s]
			if !t.c.LeastLoaded {
				n = 0
			}
		}
		switch {
		case best < 0 || n < load:
			best, load, ties = s, n, 1
		case n == load:
			if ties++; t.rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

func (t *trial) dispatch(judge, server int) {
	i := t.allocate()
	t.nextID++
	t.attempts[i] = attempt{id: t.nextID, version: t.attempts[i].version, server: int32(server), judge: int32(judge), began: t.now}
	j := t.judges[judge]
	j.servers[server].inFlight++
	j.d.Started(at(t.now), t.ids[server], t.nextID)
	if t.busySlots[server] >= poolSlots {
		t.serverQueues[server] = append(t.serverQueues[server], i)
		t.scheduleEvent(i, deadline, t.now+attemptDeadline)
	} else {
		t.serve(i)
	}
	if t.c.HedgeAfter > 0 {
		t.scheduleEvent(i, hedgeAnswers, t.now+t.c.HedgeAfter+t.c.Background.draw(t.rng).latency)
	}
	if w := j.d.NextWake(at(t.now)); len(t.judges) == 1 && !w.IsZero() {
		t.wake = max(w.Sub(epoch), t.now+1)
	}
}

func (t *trial) allocate() int32 {
	if n := len(t.freeRecords); n > 0 {
		i := t.freeRecords[n-1]
		t.freeRecords = t.freeRecords[:n-1]
		return i
	}
	t.attempts = append(t.attempts, attempt{})
	return int32(len(t.attempts) - 1)
}

func (t *trial) release(i int32) {
	t.attempts[i].version++
	t.freeRecords = append(t.freeRecords, i)
}

func (t *trial) scheduleEvent(i int32, kind eventKind, when time.Duration) {
	t.events.push(event{at: when, attempt: i, version: t.attempts[i].version, kind: kind})
}

// serve starts an attempt at its server and schedules its end.
func (t *trial) serve(i int32) {
	a := &t.attempts[i]
	a.running = true
	t.busySlots[a.server]++
	a.end = t.c.Fault.modify(t.c.Background.draw(t.rng), int(a.server), t.now-t.faultStart, t.rng)
	end := t.now + a.end.latency
	if limit := a.began + attemptDeadline; end > limit {
		t.scheduleEvent(i, deadline, limit)
	} else {
		t.scheduleEvent(i, serviceEnds, end)
	}
}

func (t *trial) handle(e event) {
	a := &t.attempts[e.attempt]
	if a.version != e.version {
		return
	}
	switch e.kind {
	case serviceEnds:
		t.serviceEnds(e, a)
	case deadline:
		t.timeOut(e, a)
	case slotFree:
		t.freeSlot(e.attempt)
	case hedgeAnswers:
		t.cancel(e.attempt, a)
	}
}

func (t *trial) serviceEnds(e event, a *attempt) {
	since := e.at - t.faultStart
	if until := t.c.Fault.stalledUntil(int(a.server), since); until > 0 {
		limit := a.began + attemptDeadline
		if until != forever && t.faultStart+until < limit {
			t.scheduleEvent(e.attempt, serviceEnds, t.faultStart+until)
		} else {
			t.scheduleEvent(e.attempt, deadline, limit)
		}
		return
	}
	if a.reported {
		t.freeSlot(e.attempt)
		return
	}
	kind := a.end.kind
	// When a judge resumes from a pause, the answer and the deadline of an attempt
	// may both have passed. Which of them it handles first is random.
	if t.now-a.began > attemptDeadline && t.rng.IntN(2) == 0 {
		kind = detector.Failure
	}
	t.reportEnd(a, kind)
	t.freeSlot(e.attempt)
}

func (t *trial) timeOut(e event, a *attempt) {
	if a.reported {
		return
	}
	t.reportEnd(a, detector.Failure)
	if a.running {
		t.scheduleEvent(e.attempt, slotFree, t.now+abandonHold)
		return
	}
	for n, w := range t.serverQueues[a.server] {
		if w == e.attempt {
			t.serverQueues[a.server] = append(t.serverQueues[a.server][:n], t.serverQueues[a.server][n+1:]...)
			break
		}
	}
	t.release(e.attempt)
}

// cancel ends an attempt whose hedge has answered. Its slot is held for
// CancelHold.
func (t *trial) cancel(i int32, a *attempt) {
	if a.reported {
		return
	}
	t.reportEnd(a, detector.Cancelled)
	t.scheduleEvent(i, slotFree, t.now+t.c.CancelHold)
}

// reportEnd reports the end of an attempt to its judge.
func (t *trial) reportEnd(a *attempt, kind detector.Kind) {
	a.reported = true
	t.out.Attempts++
	j := t.judges[a.judge]
	j.d.Finished(at(t.now), t.ids[a.server], a.id, detector.Result{Kind: kind, Latency: t.now - a.began})
	t.record(j.attemptEnded(t.now, int(a.server), kind))
	t.assess(int(a.judge))
}

// freeSlot frees an attempt's slot and gives it to the next attempt that waits at
// the server. It then dispatches the next request that waits at the owner and has
// not timed out.
func (t *trial) freeSlot(i int32) {
	server := t.attempts[i].server
	t.busySlots[server]--
	t.release(i)
	if w := t.serverQueues[server]; len(w) > 0 {
		t.serverQueues[server] = w[1:]
		t.serve(w[0])
	}
	for len(t.ownerQueue) > 0 && t.now-t.ownerQueue[0] > attemptDeadline {
		t.ownerQueue = t.ownerQueue[1:]
	}
	if len(t.ownerQueue) == 0 {
		return
	}
	if s := t.choose(0); s >= 0 {
		t.ownerQueue = t.ownerQueue[1:]
		t.dispatch(0, s)
	}
}
