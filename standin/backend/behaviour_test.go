package backend

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// do calls the handler directly. It returns nil if the handler aborted the
// connection.
func do(ctx context.Context, s *Server, method, target string, header ...string) (w *httptest.ResponseRecorder) {
	r := httptest.NewRequestWithContext(ctx, method, target, nil)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	defer func() {
		if p := recover(); p == http.ErrAbortHandler {
			w = nil
		} else if p != nil {
			panic(p)
		}
	}()
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, r)
	return recorder
}

func fixed(d time.Duration) Distribution { return Distribution{Kind: Fixed, Mean: d} }

// Guards against a server that runs more requests than it has slots, or that
// sheds without the header that marks a request as not run.
func TestSlotsAndQueue(t *testing.T) {
	tests := []struct {
		name     string
		queue    int
		wait     time.Duration
		wantShed int
		wantTime time.Duration
	}{
		{"shed at once", 0, 0, 2, 100 * time.Millisecond},
		{"one waits", 1, 0, 1, 200 * time.Millisecond},
		{"all wait", 2, 0, 0, 200 * time.Millisecond},
		{"wait too short", 2, 50 * time.Millisecond, 2, 100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := New(Options{ID: "s", Slots: 2, QueueLimit: tt.queue, QueueWait: tt.wait, ServiceTime: fixed(100 * time.Millisecond)})
				begin := time.Now()
				var wg sync.WaitGroup
				shed := make(chan bool, 4)
				for range 4 {
					wg.Go(func() {
						w := do(t.Context(), s, "GET", "/x?cid=a")
						shed <- w.Code == http.StatusServiceUnavailable && w.Header().Get(DefaultShedHeader) == "true"
					})
				}
				wg.Wait()
				close(shed)
				count := 0
				for one := range shed {
					if one {
						count++
					}
				}
				g.Expect(count).To(Equal(tt.wantShed))
				g.Expect(time.Since(begin)).To(Equal(tt.wantTime))
				log, _ := s.Executions(time.Time{})
				ran := 0
				for _, e := range log {
					g.Expect(e.Ran()).To(Equal(e.End != EndShed))
					if e.Ran() {
						ran++
					}
				}
				g.Expect(ran).To(Equal(4 - tt.wantShed))
			})
		})
	}
}

// Guards against a cancellation that is confirmed while the slot is still
// occupied, and against a cancelled request that the log shows as completed.
func TestCancelConfirmsWhenSlotIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(Options{ID: "s", Slots: 1, ServiceTime: fixed(time.Hour), CancelDelay: 30 * time.Millisecond})
		var aborted *httptest.ResponseRecorder
		var wg sync.WaitGroup
		wg.Go(func() { aborted = do(t.Context(), s, "POST", "/x", HeaderRequestID, "r1", HeaderIdempotencyKey, "k") })
		synctest.Wait()
		begin := time.Now()
		w := do(t.Context(), s, "DELETE", "/requests/r1")
		g.Expect(w.Code).To(Equal(http.StatusOK))
		g.Expect(time.Since(begin)).To(Equal(30 * time.Millisecond))
		g.Expect(s.Load().Busy).To(BeZero())
		wg.Wait()
		g.Expect(aborted).To(BeNil())
		log, _ := s.Executions(time.Time{})
		g.Expect(log).To(HaveLen(1))
		g.Expect(log[0].End).To(Equal(EndCancelled))
		g.Expect(log[0].IdempotencyKey).To(Equal("k"))
		g.Expect(do(t.Context(), s, "DELETE", "/requests/r1").Code).To(Equal(http.StatusNotFound))
	})
}

// Guards against measurement calls that take slots from the fleet's requests.
func TestDirectCallsOccupyNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(Options{ID: "s", Slots: 1, ServiceTime: fixed(100 * time.Millisecond)})
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() { do(t.Context(), s, "GET", "/x?direct=1") })
		}
		synctest.Wait()
		w := do(t.Context(), s, "GET", "/x?cid=a")
		g.Expect(w.Code).To(Equal(http.StatusOK))
		g.Expect(w.Header().Get(HeaderRequestID)).To(Equal("a"))
		a, err := CheckAnswer(w.Body.Bytes(), "a", DefaultPayloadBytes)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(a.BusyUs).To(BeEquivalentTo(100_000))
		wg.Wait()
	})
}

// Guards against a deadline that is ignored, and against a request that is
// reported as run although its deadline passed in the queue.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(Options{ID: "s", Slots: 1, QueueLimit: 1, ServiceTime: fixed(100 * time.Millisecond)})
		var wg sync.WaitGroup
		var first, second *httptest.ResponseRecorder
		wg.Go(func() { first = do(t.Context(), s, "GET", "/a", HeaderBudget, "60000") })
		synctest.Wait()
		wg.Go(func() { second = do(t.Context(), s, "GET", "/b", HeaderBudget, "20000") })
		wg.Wait()
		g.Expect(first.Code).To(Equal(http.StatusGatewayTimeout))
		g.Expect(first.Header()).NotTo(HaveKey(DefaultShedHeader))
		g.Expect(second.Code).To(Equal(http.StatusServiceUnavailable))
		log, _ := s.Executions(time.Time{})
		g.Expect(log[0].Finished.Sub(log[0].Started)).To(Equal(60 * time.Millisecond))
		g.Expect([]End{log[0].End, log[1].End}).To(Equal([]End{EndDeadline, EndShed}))
	})
}

// Guards against a cold start that never ends or has no effect.
func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(Options{ID: "s", ServiceTime: fixed(10 * time.Millisecond), ColdStart: time.Second, ColdFactor: 5})
		took := func() time.Duration {
			begin := time.Now()
			do(t.Context(), s, "GET", "/x")
			return time.Since(begin)
		}
		g.Expect(took()).To(Equal(50 * time.Millisecond))
		time.Sleep(450 * time.Millisecond)
		g.Expect(took()).To(Equal(30 * time.Millisecond))
		time.Sleep(time.Second)
		g.Expect(took()).To(Equal(10 * time.Millisecond))
		s.Restart()
		g.Expect(took()).To(Equal(50 * time.Millisecond))
	})
}

// Guards against a stall that answers requests or blocks probes, and against a
// stall that ignores the flapping period.
func TestStallAndFlapping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(Options{ID: "s", Slots: 1, ServiceTime: fixed(time.Millisecond), Health: HealthAlwaysGood})
		g.Expect(s.SetFaults(Faults{Stall: true})).To(Succeed())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() { do(ctx, s, "GET", "/x") })
		}
		synctest.Wait()
		g.Expect(s.Load().Busy).To(Equal(1))
		g.Expect(do(t.Context(), s, "GET", "/health").Code).To(Equal(http.StatusOK))
		begin := time.Now()
		wg.Wait()
		g.Expect(time.Since(begin)).To(Equal(10 * time.Second))

		g.Expect(s.SetFaults(Faults{Stall: true, FlapOnMs: 100, FlapOffMs: 50})).To(Succeed())
		begin = time.Now()
		g.Expect(do(t.Context(), s, "GET", "/x").Code).To(Equal(http.StatusOK))
		g.Expect(time.Since(begin)).To(Equal(100 * time.Millisecond))
		begin = time.Now()
		do(t.Context(), s, "GET", "/x")
		g.Expect(time.Since(begin)).To(Equal(time.Millisecond))
	})
}

// Guards against a distribution whose mean is not the requested one, and
// against draws that differ between runs with the same seed.
func TestServiceTimeDistributions(t *testing.T) {
	const draws, mean = 200_000, 20 * time.Millisecond
	for _, kind := range []DistributionKind{Exponential, Lognormal, Fixed} {
		t.Run(string(kind), func(t *testing.T) {
			g := NewWithT(t)
			a, b := newSampler(7), newSampler(7)
			var sum time.Duration
			for range draws {
				d := a.duration(Distribution{Kind: kind, Mean: mean})
				g.Expect(b.duration(Distribution{Kind: kind, Mean: mean})).To(Equal(d))
				sum += d
			}
			g.Expect(math.Abs(float64(sum/draws)/float64(mean) - 1)).To(BeNumerically("<", 0.02))
		})
	}
}

// Guards against a health mode that reports another state than the selected one.
func TestHealthModes(t *testing.T) {
	tests := []struct {
		mode       HealthMode
		now, later int
	}{
		{HealthHonest, 503, 503},
		{HealthLagging, 200, 503},
		{HealthAlwaysGood, 200, 200},
		{HealthAlwaysBad, 503, 503},
	}
	for _, tt := range tests {
		t.Run(string(tt.mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := New(Options{ID: "s", Health: tt.mode, HealthLag: time.Second})
				do(t.Context(), s, "GET", "/health")
				s.Drain()
				g.Expect(do(t.Context(), s, "GET", "/health").Code).To(Equal(tt.now))
				time.Sleep(time.Second)
				g.Expect(do(t.Context(), s, "GET", "/health").Code).To(Equal(tt.later))
				g.Expect(do(t.Context(), s, "GET", "/x").Code).To(Equal(http.StatusServiceUnavailable))
			})
		})
	}
}

// Guards against an answer check that accepts an answer that is truncated,
// corrupt or belongs to another request.
func TestCheckAnswer(t *testing.T) {
	whole, _ := json.Marshal(newAnswer(call{id: "r", clientID: "c1", method: "GET", path: "/x", size: 100}, "s", time.Millisecond))
	tests := []struct {
		name, body, id string
		size           int
		want           AnswerProblem
	}{
		{"whole", string(whole), "c1", 100, ""},
		{"cut", string(whole[:len(whole)/2]), "c1", 100, AnswerShort},
		{"of another request", string(whole), "c2", 100, AnswerMixed},
		{"changed payload", strings.Replace(string(whole), "c1/r;c1", "c1/r;c3", 1), "c1", 100, AnswerCorrupt},
		{"wrong size", string(whole), "c1", 101, AnswerShort},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := CheckAnswer([]byte(tt.body), tt.id, tt.size)
			if tt.want == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			var wrong *AnswerError
			g.Expect(err).To(BeAssignableToTypeOf(wrong))
			g.Expect(err.(*AnswerError).Problem).To(Equal(tt.want))
		})
	}
}

// Guards against a fault that has no effect, or another one than documented.
func TestFaultsOfOneRequest(t *testing.T) {
	const base = 10 * time.Millisecond
	tests := []struct {
		name   string
		faults Faults
		status int
		end    End
		took   time.Duration
		// freed is the time after the start at which the slot is free again.
		freed time.Duration
	}{
		{"none", Faults{}, 200, EndCompleted, base, base},
		{"errors", Faults{ErrorRate: 1}, 500, EndError, base, base},
		{"slow", Faults{LatencyFactor: 10}, 200, EndCompleted, 10 * base, 10 * base},
		{"late", Faults{LateRate: 1, LateMs: 500}, 200, EndCompleted, base + 500*time.Millisecond, base},
		{"sheds", Faults{ShedRate: 1}, 503, EndShed, 0, 0},
		{"flapping, off", Faults{ErrorRate: 1, FlapOnMs: 20, FlapOffMs: 1000}, 200, EndCompleted, base, base},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := New(Options{ID: "s", Slots: 1, ServiceTime: fixed(base)})
				g.Expect(s.SetFaults(tt.faults)).To(Succeed())
				time.Sleep(50 * time.Millisecond)
				begin := time.Now()
				var w *httptest.ResponseRecorder
				var wg sync.WaitGroup
				wg.Go(func() { w = do(t.Context(), s, "GET", "/x") })
				time.Sleep(tt.freed)
				synctest.Wait()
				g.Expect(s.Load().Busy).To(BeZero())
				wg.Wait()
				g.Expect(time.Since(begin)).To(Equal(tt.took))
				g.Expect(w.Code).To(Equal(tt.status))
				log, _ := s.Executions(time.Time{})
				g.Expect(log[0].End).To(Equal(tt.end))
			})
		})
	}
}
