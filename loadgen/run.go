package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/agateusher/agateusher/standin/backend"
)

// entryStride spreads the requests of different workspaces over the entries.
const entryStride = 7

// runner is one run.
type runner struct {
	config   Config
	caller   *caller
	standins *Standins
	servers  []backend.Listing
	watch    *ejectionWatch
	prefix   string
	start    time.Time

	inFlight atomic.Int64
	requests sync.WaitGroup

	mu      sync.Mutex
	results []result
	direct  []directResult
	fault   faultTimes
}

// Run performs a run and returns its report. The error is a *ConfigError, or a
// *StandinError if the stand-ins cannot be read or told to fail; broken
// promises are not errors but Report.Violations. When ctx ends, the run stops
// sending and still reports.
func Run(ctx context.Context, config Config) (*Report, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	r := &runner{
		config: config, caller: newCaller(config), watch: newEjectionWatch(config.Daemons),
		prefix: fmt.Sprintf("%08x", rand.Uint32()),
	}
	defer r.caller.http.CloseIdleConnections()
	if config.StandinAdmin != "" {
		r.standins = NewStandins(config.StandinAdmin)
		servers, err := r.standins.Servers(ctx)
		if err != nil {
			return nil, err
		}
		r.servers = servers
	}
	if err := r.generate(ctx); err != nil {
		return nil, err
	}
	return r.conclude(context.WithoutCancel(ctx))
}

// generate sends all requests and waits for their ends.
func (r *runner) generate(ctx context.Context) error {
	r.start = time.Now()
	group, sending := errgroup.WithContext(ctx)
	for i, w := range r.config.Workspaces {
		if w.RatePerSecond > 0 {
			group.Go(func() error { r.workspace(ctx, sending, i); return nil })
		}
	}
	if r.config.Fault != nil {
		group.Go(func() error { return r.runFault(sending) })
	}
	stopWatch := r.watch.start(ctx)
	err := group.Wait()
	r.requests.Wait()
	stopWatch()
	return err
}

// workspace starts the requests of one workspace at their intended times. If
// the generator falls behind, it sends late rather than leaving requests out.
func (r *runner) workspace(ctx, sending context.Context, index int) {
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(index)))
	schedule := newArrivals(r.config.Arrivals, r.config.Workspaces[index].RatePerSecond, random, r.start)
	end := r.start.Add(r.config.Duration)
	for n := 0; ; n++ {
		intended := schedule.take()
		if !intended.Before(end) || !sleepUntil(sending, intended) {
			return
		}
		one := result{
			id:        fmt.Sprintf("%s-%d-%d", r.prefix, index, n),
			operation: pick(r.config.Operations, random),
			workspace: index,
			intended:  intended,
			lag:       time.Since(intended),
		}
		withDirect := random.Float64() < r.config.DirectShare
		r.begin(ctx, one, index*entryStride+n, withDirect)
	}
}

// begin starts one request, and a direct call at the same intended time.
func (r *runner) begin(ctx context.Context, one result, number int, withDirect bool) {
	if r.inFlight.Add(1) > int64(r.config.MaxInFlight) {
		r.inFlight.Add(-1)
		one.class = ClassOverflow
		r.record(one)
		return
	}
	r.requests.Go(func() {
		defer r.inFlight.Add(-1)
		r.caller.send(ctx, &one, number%len(r.config.Entries))
		r.record(one)
	})
	if withDirect && len(r.servers) > 0 {
		id, op, intended, started := one.id, r.config.Operations[one.operation], one.intended, one.started()
		r.requests.Go(func() { r.callDirectly(ctx, id, op, intended, started, number) })
	}
}

func (r *runner) record(one result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, one)
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
