package configstore_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/standin/platform"
)

// applied is the input of one operation in the history: Apply, or a read of
// the head if the ID is empty.
type applied struct {
	id       string
	expected model.Epoch
}

// result is its output. An epoch of zero with an ID is a conflict.
type result struct {
	epoch   model.Epoch
	current string // change ID that a read returned
	unknown bool
}

// acceptedOnce is the specification: a change is accepted at the expected
// epoch only, and only once. The state is the list of accepted IDs.
var acceptedOnce = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		ids := strings.Fields(state.(string))
		in, out := input.(applied), output.(result)
		current := model.Epoch(len(ids))
		if in.id == "" {
			return out.epoch == current && (current == 0 || out.current == ids[current-1]), state
		}
		at := model.Epoch(slices.Index(ids, in.id) + 1)
		switch {
		case out.unknown && at == 0 && current == in.expected:
			return true, state.(string) + " " + in.id
		case out.unknown:
			return true, state
		case out.epoch == 0:
			return at == 0 && current != in.expected, state
		case at != 0:
			return out.epoch == at, state
		}
		return current == in.expected && out.epoch == current+1, state.(string) + " " + in.id
	},
}

// lossy delays calls, loses requests and replies, and lets some writes take
// effect long after they were reported as failed.
type lossy struct {
	next http.RoundTripper
	// reliable only delays.
	reliable bool
	mu       sync.Mutex
	rand     *rand.Rand
	late     sync.WaitGroup
}

func (l *lossy) draw(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.IntN(n)
}

func (l *lossy) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(time.Duration(l.draw(5)) * time.Millisecond)
	switch fate := l.draw(100); {
	case l.reliable:
	case fate < 5:
		return nil, io.ErrUnexpectedEOF
	case fate < 12 && r.Method == http.MethodPut:
		l.late.Go(func() {
			time.Sleep(time.Duration(l.draw(300)) * time.Millisecond)
			if resp, err := l.next.RoundTrip(r.WithContext(context.Background())); err == nil {
				_ = resp.Body.Close()
			}
		})
		return nil, io.ErrUnexpectedEOF
	case fate < 20:
		if resp, err := l.next.RoundTrip(r); err == nil {
			_ = resp.Body.Close()
		}
		return nil, io.ErrUnexpectedEOF
	}
	resp, err := l.next.RoundTrip(r)
	time.Sleep(time.Duration(l.draw(5)) * time.Millisecond)
	return resp, err
}

// Guards against a change that is lost, accepted twice, or accepted over
// another one, when ten operators race and calls are lost, late or stale.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		synctest.Test(t, func(t *testing.T) { raceOperators(t, seed) })
	}
}

func raceOperators(t *testing.T, seed uint64) {
	const operators, changes = 10, 6
	g := NewWithT(t)
	p := platform.New(platform.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	mustApply(t, newStore(t, p.Endpoint), firstChange(100), 0)
	p.EndpointNamed("stale").SetFaults(platform.Faults{ReadLagMs: 50})
	h := &history{}
	h.call(99, applied{id: "first"}, func() (result, bool) { return result{epoch: 1}, true })
	var wg sync.WaitGroup
	for client := range operators {
		endpoint := p.Endpoint
		if client%3 == 0 {
			endpoint = p.EndpointNamed("stale")
		}
		net := &lossy{next: endpoint.Transport(), rand: rand.New(rand.NewPCG(seed, uint64(client)))}
		api, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: "http://platform", Transport: net})
		g.Expect(err).NotTo(HaveOccurred())
		wg.Go(func() {
			operate(h, client, configstore.NewStore(api), newStore(t, p.Endpoint), changes)
			net.late.Wait()
		})
	}
	wg.Wait()
	verdict := porcupine.CheckOperationsTimeout(acceptedOnce, h.complete(), 20*time.Second)
	g.Expect(verdict).To(Equal(porcupine.Ok), "seed %d", seed)
	g.Expect(h.accepted).To(BeNumerically(">=", operators), "seed %d", seed)
}

// operate makes an operator's changes, each until it is accepted or has lost
// ten times. Reads of the head, which the model checks, are not stale.
func operate(h *history, client int, s, fresh *configstore.Store, changes int) {
	for i := range changes {
		change := drain(fmt.Sprintf("c%d-%d", client, i), client*10+i)
		for range 10 {
			var expected model.Epoch
			h.call(client, applied{}, func() (result, bool) {
				head, err := fresh.Head(context.Background())
				expected = head.Epoch
				return result{epoch: head.Epoch, current: head.ChangeID}, err == nil
			})
			done := false
			h.call(client, applied{id: change.ID, expected: expected}, func() (result, bool) {
				r, err := s.Apply(context.Background(), change, expected)
				done = err == nil
				return outcomeOf(r, err)
			})
			if done {
				break
			}
		}
	}
}

// outcomeOf returns the result; false for a change that failed before it could
// have any effect.
func outcomeOf(r configstore.ApplyResult, err error) (result, bool) {
	var conflict *configstore.ConflictError
	var unknown *configstore.UnknownResultError
	switch {
	case err == nil:
		return result{epoch: r.Epoch}, true
	case errors.As(err, &conflict):
		return result{}, true
	case errors.As(err, &unknown):
		return result{unknown: true}, true
	}
	return result{}, false
}

// history records operations with the time of the bubble.
type history struct {
	mu         sync.Mutex
	clock      int64
	operations []porcupine.Operation
	accepted   int
}

func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

func (h *history) call(client int, in applied, do func() (result, bool)) {
	started := h.tick()
	out, known := do()
	ended := h.tick()
	if !known {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if in.id != "" && out.epoch > 0 {
		h.accepted++
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: started, Return: ended})
}

// complete returns the history; unknown changes may take effect until its end.
func (h *history) complete() []porcupine.Operation {
	for i, o := range h.operations {
		if o.Output.(result).unknown {
			h.operations[i].Return = h.clock + 1
			h.operations[i].ClientId = 1000 + i
		}
	}
	return h.operations
}
