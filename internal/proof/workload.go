package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the workload's random choices.
const (
	maxBytes      = 2000
	maxDuplicates = 3
	maxRepeats    = 3
	// maxPause is the longest wait before a caller repeats a request.
	maxPause = 60 * time.Millisecond
	// longPause is sometimes waited instead, so that a repetition meets an owner
	// that has recovered, stopped or been replaced.
	longPause = 1200 * time.Millisecond
	// longPauseOneIn pauses is long.
	longPauseOneIn = 15
	// maxStay is the longest stay of a caller that goes away.
	maxStay = 20 * time.Millisecond
	// retryPause is the wait after a request that no entry accepted.
	retryPause = 5 * time.Millisecond
	// lookupTries bounds how often a lookup moves on to another entry because
	// its entry broke the connection, as a load balancer would.
	lookupTries = 20
)

// Workload is a closed-loop load of operations that must not repeat, and of
// lookups beside them.
type Workload struct {
	Caller *Caller
	// Entries returns the entries that the load balancer knows as usable.
	Entries func() []string
	// NonIdempotentPath must not be repeated; LookupPath may.
	NonIdempotentPath, LookupPath string
	// KeyBatch is the number of keys that a caller asks for at a time.
	KeyBatch int
	// KeyedOperations is the number of operations with a key.
	KeyedOperations int
	// KeyedWorkers and LookupWorkers are the numbers of concurrent callers of each kind.
	KeyedWorkers, LookupWorkers int
	// MeanPause is the mean pause of a worker between two operations.
	MeanPause time.Duration
	// Deadline is the service's.
	Deadline time.Duration
	Seed     uint64
	// Prefix keeps the identifiers of several workloads apart.
	Prefix string

	History History
	started atomic.Int64
}

// Run sends all operations and returns when the last one ended. When ctx ends, it
// begins no more operations and waits for the requests under way.
func (w *Workload) Run(ctx context.Context) {
	var keyed, lookups sync.WaitGroup
	lookupCtx, stopLookups := context.WithCancel(ctx)
	for i := range w.KeyedWorkers {
		keyed.Go(func() { w.work(ctx, rand.New(rand.NewPCG(w.Seed, uint64(i)))) })
	}
	for i := range w.LookupWorkers {
		lookups.Go(func() { w.look(lookupCtx, i) })
	}
	keyed.Wait()
	stopLookups()
	lookups.Wait()
}

func (w *Workload) work(ctx context.Context, random *rand.Rand) {
	var keys []string
	for ctx.Err() == nil {
		if len(keys) == 0 {
			keys, _ = w.Caller.RequestKeys(ctx, w.pick(random), http.MethodPost, w.NonIdempotentPath, w.KeyBatch)
			if len(keys) == 0 {
				sleep(ctx, retryPause)
				continue
			}
		}
		n := w.started.Add(1)
		if n > int64(w.KeyedOperations) {
			return
		}
		w.operate(ctx, random, fmt.Sprintf("%s-%d", w.Prefix, n), keys[0])
		keys = keys[1:]
		if w.MeanPause > 0 {
			sleep(ctx, time.Duration(random.ExpFloat64()*float64(w.MeanPause)))
		}
	}
}

func (w *Workload) pick(random *rand.Rand) string {
	list := w.Entries()
	return list[random.IntN(len(list))]
}

// operate sends one operation in a random pattern: once or several times at
// once, through any entries, and again later.
func (w *Workload) operate(ctx context.Context, random *rand.Rand, id, key string) {
	o := &Operation{ID: id, Key: key, Bytes: random.IntN(maxBytes)}
	defer w.History.Add(o)
	target := fmt.Sprintf("%s?cid=%s&bytes=%d", w.NonIdempotentPath, id, o.Bytes)
	for round := range 1 + random.IntN(maxRepeats) {
		if round > 0 {
			sleep(ctx, w.pauseOf(random))
		}
		copies := 1
		if random.IntN(3) == 0 {
			copies += random.IntN(maxDuplicates)
		}
		var wg sync.WaitGroup
		for range copies {
			entry, body, changed, leave := w.pick(random), []byte(id), random.IntN(100) == 0, time.Duration(0)
			if changed {
				body = []byte(id + " changed")
			}
			if random.IntN(10) == 0 {
				leave = time.Duration(random.Int64N(int64(maxStay))) + 1
			}
			wg.Go(func() {
				s := w.Caller.Send(context.WithoutCancel(ctx), entry, http.MethodPost, target, key, body, leave)
				s.ContentChanged = changed
				o.Add(s)
			})
		}
		wg.Wait()
	}
}

func (w *Workload) pauseOf(random *rand.Rand) time.Duration {
	if random.IntN(longPauseOneIn) == 0 {
		return time.Duration(random.Int64N(int64(longPause)))
	}
	return time.Duration(random.Int64N(int64(maxPause)))
}

// look sends lookups one after the other.
func (w *Workload) look(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(w.Seed, uint64(1_000_000+worker)))
	for n := 0; ctx.Err() == nil; n++ {
		o := &Operation{ID: fmt.Sprintf("%s-l%d-%d", w.Prefix, worker, n), Bytes: random.IntN(maxBytes), Deadline: w.Deadline}
		target := fmt.Sprintf("%s?cid=%s&bytes=%d", w.LookupPath, o.ID, o.Bytes)
		leave := time.Duration(0)
		if random.IntN(20) == 0 {
			leave = time.Duration(random.Int64N(int64(maxStay))) + 1
		}
		for range lookupTries {
			s := w.Caller.Send(context.WithoutCancel(ctx), w.pick(random), http.MethodGet, target, "", nil, leave)
			o.Add(s)
			if s.Err == nil || s.Abandoned {
				break
			}
			sleep(ctx, retryPause)
		}
		w.History.Add(o)
		if w.MeanPause > 0 {
			sleep(ctx, time.Duration(random.ExpFloat64()*float64(w.MeanPause)))
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
