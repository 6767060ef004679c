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

// entryStride offsets the first entry of each workspace, so that the workspaces
// do not all start at the same entry.
const entryStride = 7

// runner holds the state of one run.
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
// *StandinError if the stand-ins cannot be read or their faults cannot be
// set. Violated guarantees are not errors; they are listed in
// Report.Violations. When ctx ends, the run stops sending and still returns a
// report.
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
	return r.buildReport(context.WithoutCancel(ctx))
}

// generate sends all requests and waits for them to end.
func (r *runner) generate(ctx context.Context) error {
	r.start = time.Now()
	group, sendCtx := errgroup.WithContext(ctx)
	for i, w := range r.config.Workspaces {
		if w.RatePerSecond > 0 {
			group.Go(func() error { r.runWorkspace(ctx, sendCtx, i); return nil })
		}
	}
	if r.config.Fault != nil {
		group.Go(func() error { return r.runFault(sendCtx) })
	}
	stopSampling := r.watch.start(ctx)
	err := group.Wait()
	r.requests.Wait()
	stopSampling()
	return err
}

// runWorkspace starts the requests of one workspace at their intended times. If
// the generator falls behind, it sends requests late rather than skipping them.
func (r *runner) runWorkspace(ctx, sendCtx context.Context, index int) {
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(index)))
	schedule := newArrivals(r.config.Arrivals, r.config.Workspaces[index].RatePerSecond, random, r.start)
	end := r.start.Add(r.config.Duration)
	for n := 0; ; n++ {
		intended := schedule.pop()
		if !intended.Before(end) || !sleepUntil(sendCtx, intended) {
			return
		}
		res := result{
			id:        fmt.Sprintf("%s-%d-%d", r.prefix, index, n),
			operation: pick(r.config.Operations, random),
			workspace: index,
			intended:  intended,
			lag:       time.Since(intended),
		}
		withDirect := random.Float64() < r.config.DirectShare
		r.startRequest(ctx, res, index*entryStride+n, withDirect)
	}
}

// startRequest starts one request and, if withDirect is set, a direct call at the
// same intended time. Beyond MaxInFlight it only records an overflow.
func (r *runner) startRequest(ctx context.Context, res result, seq int, withDirect bool) {
	if r.inFlight.Add(1) > int64(r.config.MaxInFlight) {
		r.inFlight.Add(-1)
		res.class = ClassOverflow
		r.record(res)
		return
	}
	r.requests.Go(func() {
		defer r.inFlight.Add(-1)
		r.caller.send(ctx, &res, seq%len(r.config.Entries))
		r.record(res)
	})
	if withDirect && len(r.servers) > 0 {
		id, op, intended, started := res.id, r.config.Operations[res.operation], res.intended, res.started()
		r.requests.Go(func() { r.callDirectly(ctx, id, op, intended, started, seq) })
	}
}

func (r *runner) record(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// sleepUntil waits until t and reports whether ctx was still active.
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
