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
	} else if len(t.queue) < queueLimit {
		t.queue = append(t.queue, t.now)
	}
}

// choose returns a random accepted server with a free slot, or with the fewest
// attempts if the trial says so. An entry, which does not know the free slots,
// always takes the one with the fewest attempts of its own. It returns -1 if
// the owner knows of no free slot.
func (t *trial) choose(judge int) int {
	j, owner := t.judges[judge], len(t.judges) == 1
	best, load, ties := -1, 0, 0
	for s := range poolServers {
		if !j.accepts(s) || owner && t.busy[s] >= poolSlots {
			continue
		}
		n := j.servers[s].inFlight
		if owner {
			n = t.busy[s]
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
	if t.busy[server] >= poolSlots {
		t.waiting[server] = append(t.waiting[server], i)
		t.at(i, deadline, t.now+attemptDeadline)
	} else {
		t.serve(i)
	}
	if t.c.HedgeAfter > 0 {
		t.at(i, hedgeAnswers, t.now+t.c.HedgeAfter+t.c.Background.draw(t.rng).latency)
	}
	if w := j.d.NextWake(at(t.now)); len(t.judges) == 1 && !w.IsZero() {
		t.wake = max(w.Sub(epoch), t.now+1)
	}
}

func (t *trial) allocate() int32 {
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		return i
	}
	t.attempts = append(t.attempts, attempt{})
	return int32(len(t.attempts) - 1)
}

func (t *trial) release(i int32) {
	t.attempts[i].version++
	t.free = append(t.free, i)
}

func (t *trial) at(i int32, kind eventKind, when time.Duration) {
	t.events.push(event{at: when, attempt: i, version: t.attempts[i].version, kind: kind})
}

// serve starts an attempt's service at its server.
func (t *trial) serve(i int32) {
	a := &t.attempts[i]
	a.running = true
	t.busy[a.server]++
	a.end = t.c.Fault.disturb(t.c.Background.draw(t.rng), int(a.server), t.now-t.begin, t.rng)
	end := t.now + a.end.latency
	if limit := a.began + attemptDeadline; end > limit {
		t.at(i, deadline, limit)
	} else {
		t.at(i, serviceEnds, end)
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
	since := e.at - t.begin
	if until := t.c.Fault.stalledUntil(int(a.server), since); until > 0 {
		limit := a.began + attemptDeadline
		if until != forever && t.begin+until < limit {
			t.at(e.attempt, serviceEnds, t.begin+until)
		} else {
			t.at(e.attempt, deadline, limit)
		}
		return
	}
	if a.over {
		t.freeSlot(e.attempt)
		return
	}
	kind := a.end.kind
	// A judge that resumes from a pause finds some deadlines passed before it
	// reads the answers; which it sees first is a matter of chance.
	if t.now-a.began > attemptDeadline && t.rng.IntN(2) == 0 {
		kind = detector.Failure
	}
	t.tell(a, kind)
	t.freeSlot(e.attempt)
}

func (t *trial) timeOut(e event, a *attempt) {
	if a.over {
		return
	}
	t.tell(a, detector.Failure)
	if a.running {
		t.at(e.attempt, slotFree, t.now+abandonHold)
		return
	}
	for n, w := range t.waiting[a.server] {
		if w == e.attempt {
			t.waiting[a.server] = append(t.waiting[a.server][:n], t.waiting[a.server][n+1:]...)
			break
		}
	}
	t.release(e.attempt)
}

// cancel ends an attempt whose hedge has answered.
func (t *trial) cancel(i int32, a *attempt) {
	if a.over {
		return
	}
	t.tell(a, detector.Cancelled)
	t.at(i, slotFree, t.now+t.c.CancelHold)
}

// tell reports the end of an attempt to its judge.
func (t *trial) tell(a *attempt, kind detector.Kind) {
	a.over = true
	t.out.Attempts++
	j := t.judges[a.judge]
	j.d.Finished(at(t.now), t.ids[a.server], a.id, detector.Result{Kind: kind, Latency: t.now - a.began})
	t.record(j.ended(t.now, int(a.server), kind))
	t.assess(int(a.judge))
}

// freeSlot gives a server's slot to the next waiting request.
func (t *trial) freeSlot(i int32) {
	server := t.attempts[i].server
	t.busy[server]--
	t.release(i)
	if w := t.waiting[server]; len(w) > 0 {
		t.waiting[server] = w[1:]
		t.serve(w[0])
	}
	for len(t.queue) > 0 && t.now-t.queue[0] > attemptDeadline {
		t.queue = t.queue[1:]
	}
	if len(t.queue) == 0 {
		return
	}
	if s := t.choose(0); s >= 0 {
		t.queue = t.queue[1:]
		t.dispatch(0, s)
	}
}
