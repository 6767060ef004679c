package soak

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

const (
	// limitGrace is how long after a server first named a rate limit it must be kept.
	limitGrace = 4 * time.Second
	// limitSpan is the sliding span over which requests are counted against a limit.
	limitSpan = 4 * time.Second
)

// namedLimit is a rate limit that a server names while faults are injected.
type namedLimit struct {
	server    *backend
	perSecond float64
	from, to  time.Time
}

// limitServer makes a server of every second seed name a limit. It does not draw from the
// random numbers of the faults, so that a seed plays the same faults as before.
func (w *deployment) limitServer(seed uint64) *namedLimit {
	random := rand.New(rand.NewPCG(seed, 1<<32))
	l := &namedLimit{server: w.servers[random.IntN(len(w.servers))], from: time.Now()}
	if seed%2 == 0 {
		l.perSecond = []float64{0.5, 1, 3.8}[random.IntN(3)]
		l.server.SetLimit(strconv.FormatFloat(l.perSecond, 'f', -1, 64))
	}
	return l
}

func (l *namedLimit) end() {
	l.server.SetLimit("")
	l.to = time.Now()
}

// check compares the requests that the server got with its limit.
func (l *namedLimit) check(t *testing.T) {
	if l.perSecond == 0 {
		return
	}
	allowed := int(1.5*l.perSecond*limitSpan.Seconds()) + 5
	most := 0
	var window []time.Time
	for _, r := range l.server.Requests() {
		if r.At.Before(l.from.Add(limitGrace)) || r.At.After(l.to) {
			continue
		}
		window = append(window, r.At)
		for r.At.Sub(window[0]) >= limitSpan {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	if most > allowed {
		t.Errorf("server %s named a limit of %v requests a second and got %d within %s, %d are allowed", l.server.ID, l.perSecond, most, limitSpan, allowed)
	}
	t.Logf("server %s, limit %v: at most %d requests within %s, %d allowed", l.server.ID, l.perSecond, most, limitSpan, allowed)
}
