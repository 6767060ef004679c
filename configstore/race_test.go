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

// opInput is the input of one operation in the history: a call of Apply, or a
// read of the head if the ID is empty.
type opInput struct {
	id       string
	expected model.Epoch
}

// opOutput is the output of an operation. For Apply, epoch zero is a conflict.
type opOutput struct {
	epoch    model.Epoch
	changeID string // returned by a read of the head
	unknown  bool
}

// acceptedOnce is the specification: a change is accepted only at the expected
// epoch, and at most once. The state is the list of accepted IDs.
var acceptedOnce = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		ids := strings.Fields(state.(string))
		in, out := input.(opInput), output.(opOutput)
		current := model.Epoch(len(ids))
		if in.id == "" {
			return out.epoch == current && (current == 0 || out.changeID == ids[current-1]), state
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

// faultyTransport delays calls, loses requests and replies, and delays some
// writes until long after they were reported as failed.
type faultyTransport struct {
	next http.RoundTripper
	// reliable disables losses, so that calls are only delayed.
	reliable bool
	mu       sync.Mutex
	rand     *rand.Rand
	delayed  sync.WaitGroup
}

func (l *faultyTransport) draw(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.IntN(n)
}

func (l *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(time.Duration(l.draw(5)) * time.Millisecond)
	switch roll := l.draw(100); {
	case l.reliable:
	case roll < 5:
		return nil, io.ErrUnexpectedEOF
	case roll < 12 && r.Method == http.MethodPut:
		l.delayed.Go(func() {
			time.Sleep(time.Duration(l.draw(300)) * time.Millisecond)
			if resp, err := l.next.RoundTrip(r.WithContext(context.Background())); err == nil {
				_ = resp.Body.Close()
			}
		})
		return nil, io.ErrUnexpectedEOF
	case roll < 20:
		if resp, err := l.next.RoundTrip(r); err == nil {
			_ = resp.Body.Close()
		}
		return nil, io.ErrUnexpectedEOF
	}
	resp, err := l.next.RoundTrip(r)
	time.Sleep(time.Duration(l.draw(5)) * time.Millisecond)
	return resp, err
}

// Guards against a change that is lost, accepted twice, or overwrites another
// one, when ten operators apply changes concurrently and calls are lost or
// delayed or return stale data.
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
	h.call(99, opInput{id: "first"}, func() (opOutput, bool) { return opOutput{epoch: 1}, true })
	var wg sync.WaitGroup
	for client := range operators {
		endpoint := p.Endpoint
		if client%3 == 0 {
			endpoint = p.EndpointNamed("stale")
		}
		net := &faultyTransport{next: endpoint.Transport(), rand: rand.New(rand.NewPCG(seed, uint64(client)))}
		api, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: "http://platform", Transport: net})
		g.Expect(err).NotTo(HaveOccurred())
		wg.Go(func() {
			runOperator(h, client, configstore.NewStore(api), newStore(t, p.Endpoint), changes)
			net.delayed.Wait()
		})
	}
	wg.Wait()
	verdict := porcupine.CheckOperationsTimeout(acceptedOnce, h.complete(), 20*time.Second)
	g.Expect(verdict).To(Equal(porcupine.Ok), "seed %d", seed)
	g.Expect(h.accepted).To(BeNumerically(">=", operators), "seed %d", seed)
}

// runOperator applies an operator's changes, each until it is accepted or ten
// attempts have failed. Reads of the head, which the model checks, use a store
// without stale reads.
func runOperator(h *history, client int, s, fresh *configstore.Store, changes int) {
	for i := range changes {
		change := drain(fmt.Sprintf("c%d-%d", client, i), client*10+i)
		for range 10 {
			var expected model.Epoch
			h.call(client, opInput{}, func() (opOutput, bool) {
				head, err := fresh.Head(context.Background())
				expected = head.Epoch
				return opOutput{epoch: head.Epoch, changeID: head.ChangeID}, err == nil
			})
			done := false
			h.call(client, opInput{id: change.ID, expected: expected}, func() (opOutput, bool) {
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

// outcomeOf converts the result of Apply. It returns false for a change that
// failed before it could have any effect.
func outcomeOf(r configstore.ApplyResult, err error) (opOutput, bool) {
	var conflict *configstore.ConflictError
	var unknown *configstore.UnknownResultError
	switch {
	case err == nil:
		return opOutput{epoch: r.Epoch}, true
	case errors.As(err, &conflict):
		return opOutput{}, true
	case errors.As(err, &unknown):
		return opOutput{unknown: true}, true
	}
	return opOutput{}, false
}

// history records operations, ordered by a logical clock.
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

func (h *history) call(client int, in opInput, do func() (opOutput, bool)) {
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

// complete returns the history. A change with an unknown result may take effect
// until the end, so its operation ends there and gets a client ID of its own.
func (h *history) complete() []porcupine.Operation {
	for i, o := range h.operations {
		if o.Output.(opOutput).unknown {
			h.operations[i].Return = h.clock + 1
			h.operations[i].ClientId = 1000 + i
		}
	}
	return h.operations
}
