package pooltrial

import (
	"math/rand/v2"
	"time"
)

// Entries is the number of hosts that dispatch independently, each by its own
// counts of outstanding requests.
const Entries = 40

// Policy chooses a server by one entry's counts of its outstanding requests.
type Policy func(r *rand.Rand, outstanding *[Servers]int) int

// LeastOutstanding chooses the server with the fewest outstanding requests. Ties
// are broken at random.
func LeastOutstanding(r *rand.Rand, outstanding *[Servers]int) int {
	best, ties := 0, 0
	for i, n := range outstanding {
		switch {
		case i == 0 || n < outstanding[best]:
			best, ties = i, 1
		case n == outstanding[best]:
			ties++
			if r.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// PowerOfTwo chooses the server with fewer outstanding requests out of two random
// ones.
func PowerOfTwo(r *rand.Rand, outstanding *[Servers]int) int {
	a := r.IntN(Servers)
	b := (a + 1 + r.IntN(Servers-1)) % Servers
	if outstanding[b] < outstanding[a] {
		return b
	}
	return a
}

// modelServer runs up to Slots requests at a time and queues the rest.
type modelServer struct {
	busy  int
	queue []func()
}

// EntryWaits measures the queueing delays of requests when all entries dispatch
// immediately, each by its own counts, so that requests queue at the servers.
// load is relative to Capacity.
func EntryWaits(policy Policy, service Service, load float64, length time.Duration, seed uint64) Samples {
	c := NewClock()
	random := newRand(seed, 1)
	var servers [Servers]modelServer
	var views [Entries][Servers]int
	var waits Samples
	warm := c.Now().Add(warmUp)
	Arrivals(c, random, Constant(load*Capacity), func() {
		entry, arrival := random.IntN(Entries), c.Now()
		at := policy(random, &views[entry])
		views[entry][at]++
		s := &servers[at]
		start := func() {
			s.busy++
			if arrival.After(warm) {
				waits = append(waits, c.Now().Sub(arrival))
			}
			c.After(service(random), func() {
				views[entry][at]--
				s.end()
			})
		}
		if s.busy < Slots {
			start()
			return
		}
		s.queue = append(s.queue, start)
	})
	c.RunUntil(warm.Add(length))
	return waits
}

// end frees a slot and starts the next queued request.
func (s *modelServer) end() {
	s.busy--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}
