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
	maxPayloadBytes = 2000
	// maxDuplicates is the most copies sent beside a request at the same time.
	maxDuplicates = 3
	// maxRounds is the most times that an operation is sent one after the other.
	maxRounds = 3
	// maxRetryDelay is the longest usual wait before a retry.
	maxRetryDelay = 60 * time.Millisecond
	// maxLongRetryDelay replaces maxRetryDelay for one retry in
	// longRetryDelayOneIn, so that some retries reach an owner that has
	// recovered, stopped or been replaced.
	maxLongRetryDelay   = 1200 * time.Millisecond
	longRetryDelayOneIn = 15
	// maxAbandonDelay is the longest time after which a caller abandons a request.
	maxAbandonDelay = 20 * time.Millisecond
	// entryRetryDelay is the wait after an entry issued no keys or broke the
	// connection of a lookup.
	entryRetryDelay = 5 * time.Millisecond
	// maxLookupTries bounds the requests of one lookup. Like a load balancer, a
	// lookup tries another entry if its entry broke the connection.
	maxLookupTries = 20
)

// Workload is a closed-loop load of keyed, non-idempotent operations and of
// concurrent lookups.
type Workload struct {
	Caller *Caller
	// Entries returns the addresses of the entries that a load balancer would use.
	Entries func() []string
	// Requests to NonIdempotentPath need a key; those to LookupPath are
	// idempotent.
	NonIdempotentPath, LookupPath string
	// KeyBatch is the number of keys that a worker requests at a time.
	KeyBatch int
	// KeyedOperations is the number of operations with a key to send.
	KeyedOperations int
	// KeyedWorkers and LookupWorkers are the numbers of concurrent workers.
	KeyedWorkers, LookupWorkers int
	// MeanPause is the mean of a worker's exponentially distributed pause between
	// two operations; 0: no pause.
	MeanPause time.Duration
	// Deadline is the deadline of the service, recorded for lookups.
	Deadline time.Duration
	Seed     uint64
	// Prefix makes operation IDs unique among several workloads.
	Prefix string

	History           History
	startedOperations atomic.Int64
}

// Run sends all keyed operations, with lookups beside them, and returns when the
// last request has ended. When ctx is cancelled, Run starts no more operations
// and waits for the requests in flight.
func (w *Workload) Run(ctx context.Context) {
	var keyed, lookups sync.WaitGroup
	lookupCtx, stopLookups := context.WithCancel(ctx)
	for i := range w.KeyedWorkers {
		keyed.Go(func() { w.runKeyedWorker(ctx, rand.New(rand.NewPCG(w.Seed, uint64(i)))) })
	}
	for i := range w.LookupWorkers {
		lookups.Go(func() { w.runLookupWorker(lookupCtx, i) })
	}
	keyed.Wait()
	stopLookups()
	lookups.Wait()
}

func (w *Workload) runKeyedWorker(ctx context.Context, random *rand.Rand) {
	var keys []string
	for ctx.Err() == nil {
		if len(keys) == 0 {
			keys, _ = w.Caller.RequestKeys(ctx, w.pickEntry(random), http.MethodPost, w.NonIdempotentPath, w.KeyBatch)
			if len(keys) == 0 {
				sleep(ctx, entryRetryDelay)
				continue
			}
		}
		n := w.startedOperations.Add(1)
		if n > int64(w.KeyedOperations) {
			return
		}
		w.runOperation(ctx, random, fmt.Sprintf("%s-%d", w.Prefix, n), keys[0])
		keys = keys[1:]
		if w.MeanPause > 0 {
			sleep(ctx, time.Duration(random.ExpFloat64()*float64(w.MeanPause)))
		}
	}
}

func (w *Workload) pickEntry(random *rand.Rand) string {
	list := w.Entries()
	return list[random.IntN(len(list))]
}

// runOperation sends one operation in a random pattern: in up to maxRounds
// rounds, each with one or several concurrent copies through random entries.
// Some copies have a changed body, and some are abandoned.
func (w *Workload) runOperation(ctx context.Context, random *rand.Rand, id, key string) {
	o := &Operation{ID: id, Key: key, Bytes: random.IntN(maxPayloadBytes)}
	defer w.History.Add(o)
	target := fmt.Sprintf("%s?cid=%s&bytes=%d", w.NonIdempotentPath, id, o.Bytes)
	for round := range 1 + random.IntN(maxRounds) {
		if round > 0 {
			sleep(ctx, w.randomRetryDelay(random))
		}
		copies := 1
		if random.IntN(3) == 0 {
			copies += random.IntN(maxDuplicates)
		}
		var wg sync.WaitGroup
		for range copies {
			entry, body, changed, abandonAfter := w.pickEntry(random), []byte(id), random.IntN(100) == 0, time.Duration(0)
			if changed {
				body = []byte(id + " changed")
			}
			if random.IntN(10) == 0 {
				abandonAfter = time.Duration(random.Int64N(int64(maxAbandonDelay))) + 1
			}
			wg.Go(func() {
				s := w.Caller.Send(context.WithoutCancel(ctx), entry, http.MethodPost, target, key, body, abandonAfter)
				s.ContentChanged = changed
				o.Add(s)
			})
		}
		wg.Wait()
	}
}

func (w *Workload) randomRetryDelay(random *rand.Rand) time.Duration {
	if random.IntN(longRetryDelayOneIn) == 0 {
		return time.Duration(random.Int64N(int64(maxLongRetryDelay)))
	}
	return time.Duration(random.Int64N(int64(maxRetryDelay)))
}

// runLookupWorker sends lookups one after the other until ctx is cancelled.
func (w *Workload) runLookupWorker(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(w.Seed, uint64(1_000_000+worker)))
	for n := 0; ctx.Err() == nil; n++ {
		o := &Operation{ID: fmt.Sprintf("%s-l%d-%d", w.Prefix, worker, n), Bytes: random.IntN(maxPayloadBytes), Deadline: w.Deadline}
		target := fmt.Sprintf("%s?cid=%s&bytes=%d", w.LookupPath, o.ID, o.Bytes)
		abandonAfter := time.Duration(0)
		if random.IntN(20) == 0 {
			abandonAfter = time.Duration(random.Int64N(int64(maxAbandonDelay))) + 1
		}
		for range maxLookupTries {
			s := w.Caller.Send(context.WithoutCancel(ctx), w.pickEntry(random), http.MethodGet, target, "", nil, abandonAfter)
			o.Add(s)
			if s.Err == nil || s.Abandoned {
				break
			}
			sleep(ctx, entryRetryDelay)
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
