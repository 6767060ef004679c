package detector

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// scores are the three test statistics of a server at one time.
type scores struct{ failureScore, latencyScore, stallScore float64 }

func (c scores) max() float64 { return max(c.failureScore, c.latencyScore, c.stallScore) }

func (q *Sequential) scoresOf(s *serverState) scores {
	return scores{failureScore: s.failureScore, latencyScore: s.latencyScore, stallScore: q.stallAt(s, q.clock)}
}

// Suspects implements Detector. The score of a suspicion is the server's score
// less PeerMargin times the median score of its peers.
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

// Evidence implements Detector. Score is relative to the peers, as in Suspects.
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
		Attempts:      int(s.outcomes.attempts),
		Failures:      int(s.outcomes.failures),
	}
	active, margin := q.active(s), q.profile.PeerMargin
	consider := func(signal string, score float64, sorted []float64) {
		if rel := score - margin*medianOfOthers(sorted, score, active); rel > e.Score {
			e.Signal, e.Score = signal, rel
		}
	}
	consider(SignalStall, own.stallScore, peers.stallScore)
	consider(s.failureSignal(), own.failureScore, peers.failureScore)
	consider(SignalLatency, own.latencyScore, peers.latencyScore)
	return e
}

// peerScores holds the sorted scores of all active servers.
type peerScores struct{ failureScore, latencyScore, stallScore []float64 }

func (q *Sequential) peerScores() *peerScores {
	if q.cachedPeerScores != nil {
		return q.cachedPeerScores
	}
	p := &peerScores{}
	q.cachedPeerScores = p
	for _, s := range q.list {
		if !q.active(s) {
			continue
		}
		c := q.scoresOf(s)
		p.failureScore = append(p.failureScore, c.failureScore)
		p.latencyScore = append(p.latencyScore, c.latencyScore)
		p.stallScore = append(p.stallScore, c.stallScore)
	}
	slices.Sort(p.failureScore)
	slices.Sort(p.latencyScore)
	slices.Sort(p.stallScore)
	return p
}

// medianOfOthers returns the lower median of sorted, or zero if sorted holds no
// other server's score. If included is true, sorted contains own, and one
// occurrence of it is left out.
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
// half MaxGap after now, so that a pause of the proxy process shows as a gap, and
// earlier if a stall score reaches the threshold before.
func (q *Sequential) NextWake(now time.Time) time.Time {
	q.advance(now)
	if q.inFlight == 0 {
		return time.Time{}
	}
	wait := q.profile.MaxGap / 2
	for _, s := range q.list {
		if len(s.inFlight) > 0 && q.stallAt(s, q.clock) < q.threshold {
			wait = q.timeToThreshold(s, wait)
		}
	}
	return now.Add(wait)
}

// wakePrecision is the precision of NextWake.
const wakePrecision = time.Millisecond

// timeToThreshold returns the time until the server's stall score reaches the
// threshold, at most limit.
func (q *Sequential) timeToThreshold(s *serverState, limit time.Duration) time.Duration {
	if q.stallAt(s, q.clock+limit) < q.threshold {
		return limit
	}
	low, high := time.Duration(0), limit
	for high-low > wakePrecision {
		if mid := (low + high) / 2; q.stallAt(s, q.clock+mid) < q.threshold {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}
