package balance

import "time"

// warmupFactor multiplies the service time of a server that is warming up.
const warmupFactor = 2

// Expect records the expected service time of an attempt that was started.
func (t *Table) Expect(a AttemptKey, expected time.Duration) {
	if found, ok := t.attempts[a]; ok && expected > 0 {
		found.expected = expected
	}
}

// ServiceTime returns the service time of an attempt that has just ended after latency, at
// a server at full speed. It returns false if the attempt is not known or may have waited
// for a slot.
func (t *Table) ServiceTime(now time.Time, a AttemptKey, latency time.Duration) (time.Duration, bool) {
	found, ok := t.attempts[a]
	if !ok || found.queueFactor > 1 {
		return 0, false
	}
	return time.Duration(float64(latency) / t.slowness(now, t.service(found.server.Service), found.server)), true
}

// slowness returns the service time of a server in relation to that of its service.
func (t *Table) slowness(now time.Time, svc *service, s *server) float64 {
	slowness := 1.0
	if svc.serviceTime > 0 && s.serviceTime > svc.serviceTime && now.Sub(s.serviceTimeAt) < serviceTimeLifetime {
		slowness = float64(s.serviceTime) / float64(svc.serviceTime)
	}
	if now.Before(s.WarmedUpAt) {
		slowness *= warmupFactor
	}
	return slowness
}

// localWork returns the expected remaining service time of the data centre's attempts at a
// server. The oldest run in its slots, and the others wait.
func (t *Table) localWork(now time.Time, s *server) time.Duration {
	svc := t.service(s.Service)
	var work time.Duration
	for i, a := range s.running {
		if i >= s.Slots {
			work += a.expected
			continue
		}
		waited := time.Duration((a.queueFactor - 1) * float64(svc.serviceTime))
		work += svc.remainders.Remaining(a.expected, now.Sub(a.started)-waited)
	}
	return work
}

// work returns the expected remaining service time of the known attempts of all data
// centres at a server, which are outstanding in number.
func (t *Table) work(now time.Time, svc *service, s *server, outstanding int) time.Duration {
	work, unknown := t.localWork(now, s), outstanding-s.outstanding
	for _, l := range s.remoteLoads {
		if now.Sub(l.ReportedAt) < remoteLoadLifetime && l.Work > 0 {
			work += l.Work
			unknown -= l.Outstanding
		}
	}
	return work + time.Duration(max(0, unknown))*svc.serviceTime
}

// expectedLatency estimates the time to a response, including the wait for a slot, and the
// load in attempts a slot; both by the expected work. The latency is zero if the service
// time is not known.
//
// With a free slot, the load is the number of attempts, because servers slow down when they
// are nearly full. Without, the wait is that for the first of the slots to become free and
// for the attempts queued before: with equal expectations, the share of the work that
// outstanding-slots+1 attempts have, over the slots.
func (t *Table) expectedLatency(now time.Time, svc *service, s *server, outstanding int, expected time.Duration) (time.Duration, float64) {
	slots := max(1, s.Slots)
	load := float64(outstanding) / float64(slots)
	if expected <= 0 {
		expected = svc.serviceTime
	}
	slowness := t.slowness(now, svc, s)
	if outstanding < slots || svc.serviceTime <= 0 {
		return time.Duration(slowness * float64(expected)), load
	}
	work := float64(t.work(now, svc, s, outstanding))
	wait := work / float64(slots) * float64(outstanding-slots+1) / float64(outstanding)
	load = 1 + max(0, wait/float64(svc.serviceTime)-1/float64(slots))
	return time.Duration(slowness * (float64(expected) + wait)), load
}
