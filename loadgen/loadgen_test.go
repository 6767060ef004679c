package loadgen

import (
	"bytes"
	"context"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/standin/backend"
)

// Guards against a check that does not detect its violation. Each case runs
// against a fleet with exactly one fault; the first one has none.
func TestChecksFindWrongFleets(t *testing.T) {
	tests := []struct {
		name     string
		setFault func(*fakeFleet)
		options  backend.Options
		want     []ViolationKind
	}{
		{"right", func(*fakeFleet) {}, backend.Options{}, nil},
		{"runs twice", func(f *fakeFleet) { f.runTwice = true }, backend.Options{}, []ViolationKind{ExecutedTwice}},
		{"reports not-run after execution", func(f *fakeFleet) { f.claimNotRun = true }, backend.Options{}, []ViolationKind{NotRunThatRan}},
		{"swaps answers", func(f *fakeFleet) { f.swapAnswers = true }, backend.Options{}, []ViolationKind{WrongAnswer}},
		{"truncates answers", func(f *fakeFleet) { f.truncateAnswers = true }, backend.Options{}, []ViolationKind{WrongAnswer}},
		{"sends no outcome", func(f *fakeFleet) { f.omitOutcome = true }, backend.Options{}, []ViolationKind{NoOutcome}},
		{"issues one key for all requests", func(f *fakeFleet) { f.reuseKey = true }, backend.Options{}, []ViolationKind{WrongAnswer, KeyUsedTwice, AnsweredWithoutRun}},
		{"incomplete log", func(*fakeFleet) {}, backend.Options{LogLimit: 1}, []ViolationKind{OracleIncomplete, AnsweredWithoutRun}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			report := newTestEnv(t, tt.setFault, tt.options).run(t)
			var kinds []ViolationKind
			for _, v := range report.Violations {
				kinds = append(kinds, v.Kind)
			}
			g.Expect(kinds).To(ConsistOf(tt.want))
			g.Expect(report.Passed()).To(Equal(tt.want == nil))
			g.Expect(report.Checked).To(BeTrue())
			if tt.name == "right" {
				g.Expect(report.ExtraAttempts).To(BeZero())
				g.Expect(report.AddedLatency.Fleet.Count).To(BeEquivalentTo(report.Total.Requests))
			}
			var out bytes.Buffer
			g.Expect(report.WriteTable(&out, true)).To(Succeed())
			if tt.want != nil {
				g.Expect(out.String()).To(ContainSubstring("BROKEN PROMISE " + string(tt.want[0])))
			}
		})
	}
}

// Guards against counting hedged and retried requests as single attempts.
func TestExtraAttempts(t *testing.T) {
	g := NewWithT(t)
	report := newTestEnv(t, func(f *fakeFleet) { f.runTwice = true }, backend.Options{}).run(t)
	nonRepeatable := report.Operations[1].Requests
	g.Expect(report.ExtraAttempts).To(BeNumerically("~", float64(nonRepeatable)/float64(report.Total.Requests), 1e-9))
	g.Expect(report.AddedLatency.Fleet.Count).To(BeEquivalentTo(report.Total.Requests - nonRepeatable))
	g.Expect(report.AddedLatency.EndToEndFleet.Count).To(BeEquivalentTo(report.Total.Requests))
}

// Guards against accepting answers to requests that no server ran.
func TestAnswersWithoutExecution(t *testing.T) {
	g := NewWithT(t)
	unrelated := newTestEnv(t, func(*fakeFleet) {}, backend.Options{})
	r := newTestEnv(t, func(f *fakeFleet) { f.target = "http://" + unrelated.group.Listings()[0].Address }, backend.Options{})
	report := r.run(t)
	g.Expect(report.Violations).To(HaveLen(1))
	g.Expect(report.Violations[0].Kind).To(Equal(AnsweredWithoutRun))
	g.Expect(report.Violations[0].Count).To(Equal(report.Total.Requests))
}

// Guards against a repeat that uses a new key or is not sent.
func TestLostAnswersAreRepeatedWithTheSameKey(t *testing.T) {
	g := NewWithT(t)
	report := newTestEnv(t, func(f *fakeFleet) { f.dropFirstAnswer = true }, backend.Options{}).run(t)
	g.Expect(report.Violations).To(BeEmpty())
	g.Expect(report.Total.Classes).To(Equal(map[Class]int{ClassAnswered: report.Total.Requests}))
	g.Expect(report.Total.Sends).To(Equal(2 * report.Total.Requests))
}

// Guards against latencies that exclude the wait before the transmission.
func TestLatencyCountsFromIntendedTime(t *testing.T) {
	g := NewWithT(t)
	r := newTestEnv(t, func(f *fakeFleet) { f.keyDelay = 300 * time.Millisecond }, backend.Options{})
	r.config.Operations = r.config.Operations[1:]
	r.config.Workspaces = r.config.Workspaces[:1]
	r.config.KeyBatch = 1000
	report := r.run(t)
	g.Expect(report.Total.Latency.MaxMs).To(BeNumerically(">=", 290))
	// A request scheduled t ms after the first one waits 300-t ms for the batch, so
	// the median over 500 ms is about 50 ms. It would be 2 ms if latencies counted
	// from the transmission.
	g.Expect(report.Total.Latency.P50Ms).To(BeNumerically(">=", 25))
	g.Expect(report.AddedLatency.Direct.P50Ms).To(BeNumerically("<", report.AddedLatency.Fleet.P50Ms))
}

// Guards against arrival processes whose rate is wrong or whose send times differ
// between runs with the same seed.
func TestArrivals(t *testing.T) {
	const count, rate = 50_000, 500.0
	for _, kind := range []ArrivalKind{Poisson, FixedRate} {
		t.Run(string(kind), func(t *testing.T) {
			g := NewWithT(t)
			start := time.Unix(0, 0)
			a := newArrivals(kind, rate, rand.New(rand.NewPCG(3, 4)), start)
			b := newArrivals(kind, rate, rand.New(rand.NewPCG(3, 4)), start)
			var last time.Time
			for range count {
				last = a.pop()
				g.Expect(b.pop()).To(Equal(last))
			}
			g.Expect(last.Sub(start).Seconds()).To(BeNumerically("~", count/rate, 0.02*count/rate))
		})
	}
}

// Guards against a detection time that includes probation requests to an ejected
// server, and against reporting a detection although requests kept arriving.
func TestMeasureDetection(t *testing.T) {
	began := time.Unix(1000, 0)
	tests := []struct {
		name       string
		arrivalsMs []int
		clearedMs  int
		want       FaultReport
	}{
		{"no requests", nil, 5000, FaultReport{Detected: true}},
		{"stops", []int{0, 100, 400}, 5000, FaultReport{Detected: true, DetectionMs: 400, LastRequestMs: 400, Requests: 3}},
		{"tried again", []int{100, 400, 2000}, 5000, FaultReport{Detected: true, DetectionMs: 400, LastRequestMs: 2000, Requests: 3, RequestsAfterDetection: 1}},
		{"never stops", []int{500, 1000, 1500}, 2000, FaultReport{LastRequestMs: 1500, Requests: 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			log := []backend.Execution{{Arrived: began.Add(-time.Second)}, {Arrived: began.Add(time.Second), Direct: true}}
			for _, at := range tt.arrivalsMs {
				log = append(log, backend.Execution{Arrived: began.Add(time.Duration(at) * time.Millisecond)})
			}
			cleared := began.Add(time.Duration(tt.clearedMs) * time.Millisecond)
			got := measureDetection(log, faultTimes{began: began, cleared: cleared}, time.Second)
			NewWithT(t).Expect(got).To(Equal(tt.want))
		})
	}
}

// Guards against a planned fault that is not injected into its server, and
// against ejections that are attributed to the wrong server.
func TestFaultAndEjections(t *testing.T) {
	for _, ejected := range []string{"s-a", "s-b"} {
		t.Run(ejected, func(t *testing.T) {
			g := NewWithT(t)
			r := newTestEnv(t, func(*fakeFleet) {}, backend.Options{})
			r.config.Daemons = []string{fakePools(t, ejected)}
			r.config.Fault = &FaultPlan{Server: "s-a", At: 200 * time.Millisecond, Faults: backend.Faults{ErrorRate: 1}}
			r.config.Operations = r.config.Operations[:1]
			report := r.run(t)
			g.Expect(report.Fault.Requests).To(BeNumerically(">", 0))
			g.Expect(report.Fault.Detected).To(BeFalse())
			g.Expect(report.AddedLatencyBeforeFault.Fleet.Count).To(BeNumerically("<", report.AddedLatency.Direct.Count+report.AddedLatency.Fleet.Count))
			g.Expect(report.Ejections.Samples).To(BeNumerically(">", 0))
			if ejected == "s-a" {
				g.Expect(report.Ejections.FaultyServerEjected).To(BeTrue())
				g.Expect(report.Ejections.FalsePositives).To(BeEmpty())
				return
			}
			g.Expect(report.Ejections.FalsePositives).To(ConsistOf(BeEquivalentTo("s-b")))
		})
	}
}

// Guards against invalid configurations that are detected only during the run.
func TestConfigErrors(t *testing.T) {
	valid := Config{Entries: []string{"127.0.0.1:1"}, Workspaces: []Workspace{{ID: "a", RatePerSecond: 1}}, Operations: []Operation{{Weight: 1}}}
	tests := map[string]func(*Config){
		"entries":      func(c *Config) { c.Entries = nil },
		"workspaces":   func(c *Config) { c.Workspaces = nil },
		"operations":   func(c *Config) { c.Operations = nil },
		"arrivals":     func(c *Config) { c.Arrivals = "bursts" },
		"direct share": func(c *Config) { c.DirectShare = 2 },
		"fault":        func(c *Config) { c.Fault = &FaultPlan{Server: "s"} },
	}
	for field, change := range tests {
		t.Run(field, func(t *testing.T) {
			g := NewWithT(t)
			c := valid
			change(&c)
			_, err := Run(t.Context(), c)
			var configErr *ConfigError
			g.Expect(err).To(BeAssignableToTypeOf(configErr))
			g.Expect(err.(*ConfigError).Field).To(Equal(field))
		})
	}
}

// Guards against a run without requests that passes.
func TestEmptyRunDoesNotPass(t *testing.T) {
	g := NewWithT(t)
	r := newTestEnv(t, func(*fakeFleet) {}, backend.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r.config.StandinAdmin = ""
	report, err := Run(ctx, r.config)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Total.Requests).To(BeZero())
	g.Expect(report.Passed()).To(BeFalse())
}
