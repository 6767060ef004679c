package detector

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/model"
)

// machine drives a Sequential with arbitrary events and tracks the expected
// state, to check invariants against it.
type machine struct {
	d        *Sequential
	now      time.Time
	next     model.AttemptID
	inFlight map[model.AttemptID]int
	began    map[model.AttemptID]time.Time
	// seen counts the attempts of each server since its evidence was discarded.
	seen map[int]int
}

func (m *machine) start(t *rapid.T) {
	s := rapid.IntRange(0, 5).Draw(t, "server")
	m.next++
	m.d.Started(m.now, server(s), m.next)
	m.inFlight[m.next], m.began[m.next] = s, m.now
	m.seen[s]++
}

func (m *machine) finish(t *rapid.T) {
	if len(m.inFlight) == 0 {
		t.Skip("nothing open")
	}
	var ids []model.AttemptID
	for a := range m.inFlight {
		ids = append(ids, a)
	}
	slices.Sort(ids)
	a := rapid.SampledFrom(ids).Draw(t, "attempt")
	kind := Kind(rapid.IntRange(int(Success), int(Cancelled)).Draw(t, "kind"))
	m.d.Finished(m.now, server(m.inFlight[a]), a, Result{Kind: kind, Latency: m.now.Sub(m.began[a])})
	delete(m.inFlight, a)
}

func (m *machine) pass(t *rapid.T) {
	ms := rapid.OneOf(rapid.IntRange(0, 30), rapid.IntRange(0, 100000)).Draw(t, "ms")
	m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
}

// reset discards a server's evidence. Its unanswered attempts remain and count
// as seen.
func (m *machine) reset(t *rapid.T) {
	s := rapid.IntRange(0, 5).Draw(t, "server")
	m.d.Reset(m.now, server(s))
	m.seen[s] = 0
	for _, o := range m.inFlight {
		if o == s {
			m.seen[s]++
		}
	}
}

func (m *machine) forget(t *rapid.T) {
	s := rapid.IntRange(0, 5).Draw(t, "server")
	m.d.Forget(server(s))
	m.seen[s] = 0
	for a, o := range m.inFlight {
		if o == s {
			delete(m.inFlight, a)
		}
	}
}

func (m *machine) check(t *rapid.T) {
	wake := m.d.NextWake(m.now)
	limit := m.now.Add(m.d.profile.MaxGap / 2)
	if wake.IsZero() != (len(m.inFlight) == 0) || !wake.IsZero() && (!wake.After(m.now) || wake.After(limit)) {
		t.Fatalf("%d open, wake %v at %v", len(m.inFlight), wake, m.now)
	}
	least := min(m.d.profile.MinStalled, m.d.profile.MinSlow, m.d.profile.MinFailures)
	last := math.Inf(1)
	for _, s := range m.d.Suspects(m.now) {
		if !(s.Score >= s.Evidence.Threshold) || s.Score > last || math.IsInf(s.Score, 0) {
			t.Fatalf("bad suspicion %+v after score %v", s, last)
		}
		last = s.Score
		i := int(s.Server[2] - '0')
		if m.seen[i] < least {
			t.Fatalf("%+v with %d attempts", s, m.seen[i])
		}
	}
	m.checkSums(t)
}

func (m *machine) checkSums(t *rapid.T) {
	var sum, samples, inFlight float64
	for _, s := range m.d.list {
		sum += s.contribution.long.attempts
		samples += s.contribution.samples
		inFlight += float64(len(s.inFlight))
	}
	near := func(a, b float64) bool { return math.Abs(a-b) <= 1e-6*(1+m.d.ref.weight) }
	if !near(sum, m.d.ref.pool.long.attempts) || !near(samples, m.d.ref.pool.samples) || int(inFlight) != m.d.inFlight {
		t.Fatalf("sums %v %v %v, pool %+v open %d", sum, samples, inFlight, m.d.ref.pool.long, m.d.inFlight)
	}
}

// Guards against suspecting a server with fewer attempts than the profile
// requires, NextWake times that are missing, in the past or too late, and pool
// sums that drift from the sums over the servers, under any order of events.
func TestSequentialAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Ridemark()
		p.Threshold = rapid.Float64Range(1, 12).Draw(t, "threshold")
		m := &machine{d: NewSequential(p), now: time.Unix(1000, 0), inFlight: map[model.AttemptID]int{},
			began: map[model.AttemptID]time.Time{}, seen: map[int]int{}}
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start, "start again": m.start, "finish": m.finish, "finish again": m.finish,
			"pass": m.pass, "reset": m.reset, "forget": m.forget, "": m.check,
		})
	})
}
