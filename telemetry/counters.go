package telemetry

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// CounterVec is a counter with one or two labels. It caches the tally counter of
// each combination of label values: tally's Tagged builds and looks up a key on
// every call, which would allocate on every request.
type CounterVec struct {
	scope  Scope
	name   string
	labels [2]string

	mu     sync.RWMutex
	values map[[2]string]tally.Counter
}

// NewCounterVec returns a counter named name with the labels first and second;
// second may be empty. Label values must come from a small fixed set, because
// their counters are never removed.
func NewCounterVec(s Scope, name, first, second string) *CounterVec {
	return &CounterVec{scope: s, name: name, labels: [2]string{first, second}, values: map[[2]string]tally.Counter{}}
}

// Inc adds one to the counter of the given label values. The second value is
// ignored if the second label is empty.
func (c *CounterVec) Inc(first, second string) {
	key := [2]string{first, second}
	c.mu.RLock()
	counter, ok := c.values[key]
	c.mu.RUnlock()
	if !ok {
		counter = c.add(key)
	}
	counter.Inc(1)
}

func (c *CounterVec) add(key [2]string) tally.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counter, ok := c.values[key]; ok {
		return counter
	}
	tags := map[string]string{c.labels[0]: key[0]}
	if c.labels[1] != "" {
		tags[c.labels[1]] = key[1]
	}
	counter := c.scope.Tagged(tags).Counter(c.name)
	c.values[key] = counter
	return counter
}
