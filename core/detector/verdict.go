package detector

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// scores are the three test statistics of a server at one time.
type scores struct{ fail, slow, stall float64 }

func (c scores) max() float64 { return max(c.fail, c.slow, c.stall) }

func (q *Sequential) scoresOf(s *serverState) scores {
	return scores{fail: s.fail, slow: s.slow, stall: q.stallAt(s, q.clock)}
}

// Suspects implements Detector. The score of a suspicion is what exceeds the
// peers' part of the threshold.
func (q *Sequential) Suspects(now time.Time) []Suspicion {
	q.advance(now)
	var list []Suspicion
	for _, s := range q.list {
		own := q.scoresOf(s)
		if own.max() < q.threshold {
			continue
		}
		e := q.evidence(s, own, q.peerScores())
		if e.Score >= e.Threshold {
			list = append(list, Suspicion{Server: s.id, Score: e.Score, Evidence: e})
		}
	}
	sortWorstFirst(list)
	return list
}

// Evidence implements Detector. Score is relative to the peers.
func (q *Sequential) Evidence(now time.Time, id model.ServerID) Evidence {
	q.advance(now)
	s := q.servers[id]
	if s == nil {
		return Evidence{}
	}
	return q.evidence(s, q.scoresOf(s), q.peerScores())
}

func (q *Sequential) evidence(s *serverState, own scores, peers *peerScores) Evidence {
	e := Evidence{
		Threshold:     q.threshold,
		OldestAttempt: s.oldest(q.clock),
		Attempts:      int(s.ends.attempts),
		Failures:      int(s.ends.failures),
	}
	active, margin := q.active(s), q.profile.PeerMargin
	consider := func(signal string, score float64, sorted []float64) {
		if rel := score - margin*medianOfOthers(sorted, score, active); rel > e.Score {
			e.Signal, e.Score = signal, rel
		}
	}
	consider(SignalStall, own.stall, peers.stall)
	consider(s.failureSignal(), own.fail, peers.fail)
	consider(SignalLatency, own.slow, peers.slow)
	return e
}

// peerScores holds the sorted scores of all active servers.
type peerScores struct{ fail, slow, stall []float64 }

func (q *Sequential) peerScores() *peerScores {
	if q.peers != nil {
		return q.peers
	}
	p := &peerScores{}
	q.peers = p
	for _, s := range q.list {
		if !q.active(s) {
			continue
		}
		c := q.scoresOf(s)
		p.fail = append(p.fail, c.fail)
		p.slow = append(p.slow, c.slow)
		p.stall = append(p.stall, c.stall)
	}
	slices.Sort(p.fail)
	slices.Sort(p.slow)
	slices.Sort(p.stall)
	return p
}

// medianOfOthers returns the lower median of sorted without one occurrence of
// own, which is in it if included is true; zero without others.
func medianOfOthers(sorted []float64, own float64, included bool) float64 {
	others := len(sorted)
	if included {
		others--
	}
	if others < 1 {
		return 0
	}
	middle := (others - 1) / 2
	if included {
		if i, _ := slices.BinarySearch(sorted, own); i <= middle {
			middle++
		}
	}
	return sorted[middle]
}

// NextWake implements Detector. While attempts are unanswered it is at most
// half MaxGap after now, so that a pause of our own process shows as a gap;
// earlier if a stall score reaches the threshold before.
func (q *Sequential) NextWake(now time.Time) time.Time {
	q.advance(now)
	if q.open == 0 {
		return time.Time{}
	}
	wait := q.profile.MaxGap / 2
	for _, s := range q.list {
		if len(s.open) > 0 && q.stallAt(s, q.clock) < q.threshold {
			wait = q.crossing(s, wait)
		}
	}
	return now.Add(wait)
}

// wakeStep is the precision of NextWake.
const wakeStep = time.Millisecond

// crossing returns how long until the server's stall score reaches the
// threshold, at most limit.
func (q *Sequential) crossing(s *serverState, limit time.Duration) time.Duration {
	if q.stallAt(s, q.clock+limit) < q.threshold {
		return limit
	}
	low, high := time.Duration(0), limit
	for high-low > wakeStep {
		if mid := (low + high) / 2; q.stallAt(s, q.clock+mid) < q.threshold {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}
