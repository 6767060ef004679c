package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/core/ratelimit"
)

// objectSweep measures one kind of object at several sizes, with few objects of
// the other kinds.
type objectSweep struct {
	name     string
	per      string
	sizes    []int
	sizesFor func(n int) Sizes
}

var sweeps = []objectSweep{
	{"route", "route", []int{1_000, 10_000, 170_000}, func(n int) Sizes { return Sizes{Services: 500, Servers: 500, Routes: n} }},
	{"workspace", "workspace", []int{10_000, 100_000, 710_000}, func(n int) Sizes { return Sizes{Services: 500, Servers: 500, Workspaces: n} }},
	{"server", "server", []int{16_000, 50_000, 160_000}, func(n int) Sizes { return Sizes{Services: n / 32, Servers: n} }},
	{"service", "service", []int{500, 1_500, 5_000}, func(n int) Sizes { return Sizes{Services: n} }},
}

// measureMemory measures the bytes of each object, as stored in the object API,
// compressed, decoded and compiled, the memory and CPU time of keys, and the
// memory of an owner's state.
func measureMemory() ([]Fit, error) {
	var fits []Fit
	for _, s := range sweeps {
		list, err := s.measure()
		if err != nil {
			return nil, err
		}
		fits = append(fits, list...)
	}
	fits = append(fits, keyMemoryFits()...)
	fits = append(fits, keyCPUFits()...)
	return append(fits, ownerFits()...), nil
}

func (s objectSweep) measure() ([]Fit, error) {
	parts := []struct {
		name, mechanism string
		of              func(StateBytes) float64
	}{
		{"encoded", "core/snapshot Split: chunks in the object API and on the wire", func(b StateBytes) float64 { return b.Encoded }},
		{"packed", "configstore packedChunks: chunks kept for peers", func(b StateBytes) float64 { return b.Follower - b.Objects }},
		{"decoded", "core/snapshot JoinCompact: objects of the snapshot", func(b StateBytes) float64 { return b.Objects }},
		{"compiled", "daemon catalog, core/routing Table", func(b StateBytes) float64 { return b.Catalogue }},
		{"head", "configstore Head: names of the chunks", func(b StateBytes) float64 { return b.Head }},
	}
	fits := make([]Fit, len(parts))
	for i, p := range parts {
		fits[i] = Fit{Name: p.name + "." + s.name, Per: s.per, Unit: "bytes", Mechanism: p.mechanism}
	}
	for _, n := range s.sizes {
		b, err := MeasureState(s.sizesFor(n))
		if err != nil {
			return nil, err
		}
		for i, p := range parts {
			fits[i].Points = append(fits[i].Points, Point{float64(n), p.of(b)})
		}
	}
	return fits, nil
}

// heapGrowth returns the bytes of live heap that build's result occupies.
func heapGrowth(build func() any) float64 {
	before := liveHeapBytes()
	kept := build()
	after := liveHeapBytes()
	runtime.KeepAlive(kept)
	return after - before
}

var keyScope = idempotency.Scope{Workspace: "workspace-000001", Route: "route-000004"}

// responseBodyBytes is the size of the recorded response body in the measurements
// of spent keys.
const responseBodyBytes = 512

func newLedger(now time.Time) *idempotency.Ledger {
	limits := idempotency.DefaultLimits
	limits.MaxKeys = 1 << 30
	limits.MaxBytes = 1 << 30
	return idempotency.NewLedger("host-0001", "ABCDEFGHIJKLMNOPQRSTUVWXYZ", idempotency.Secrets{[]byte("0123456789abcdef")}, limits, now)
}

// spend issues n keys and spends each: begins the request and records its response.
func spend(l *idempotency.Ledger, now time.Time, n int) {
	for i := range n {
		keys, err := l.Issue(now.Add(time.Duration(i)*time.Millisecond), keyScope, 1)
		if err != nil {
			panic(err) // the limits are above n
		}
		k, err := idempotency.Decode(keys[0])
		if err == nil {
			_, _, err = l.Begin(now.Add(time.Duration(i)*time.Millisecond), k, keyScope, idempotency.Fingerprint{})
		}
		if err != nil {
			panic(err) // the key was issued a moment before
		}
		l.Complete(k.Sequence, idempotency.Record{
			Outcome: model.Answered, Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, responseBodyBytes),
		})
	}
}

func keyMemoryFits() []Fit {
	now := time.Now()
	issued := Fit{Name: "key.issued", Per: "issued key", Unit: "bytes", Mechanism: "core/idempotency: an unspent key has no record, only a count for each second"}
	spent := Fit{Name: "key.spent", Per: "spent key", Unit: "bytes", Mechanism: fmt.Sprintf("core/idempotency Ledger: mark and response of %d bytes until expiry", responseBodyBytes)}
	text := Fit{Name: "key.text", Per: "key", Unit: "bytes", Mechanism: "core/idempotency Encode: the text of a key"}
	for _, n := range []int{1_000, 10_000, 100_000} {
		issued.Points = append(issued.Points, Point{float64(n), heapGrowth(func() any {
			l := newLedger(now)
			for i := range n {
				_, _ = l.Issue(now.Add(time.Duration(i)*time.Millisecond), keyScope, 1)
			}
			return l
		})})
		spent.Points = append(spent.Points, Point{float64(n), heapGrowth(func() any {
			l := newLedger(now)
			spend(l, now, n)
			return l
		})})
		keys, err := newLedger(now).Issue(now, keyScope, n)
		if err != nil {
			panic(err) // the limits are above n
		}
		bytes := 0
		for _, k := range keys {
			bytes += len(k)
		}
		text.Points = append(text.Points, Point{float64(n), float64(bytes)})
	}
	return []Fit{issued, spent, text}
}

// keyCPUFits measures the CPU time that keys take in the ledger, without network
// calls.
func keyCPUFits() []Fit {
	issue := Fit{Name: "key.issue.cpu", Per: "issued key", Unit: "CPU s", Mechanism: "core/idempotency Issue: a MAC and its text"}
	spent := Fit{Name: "key.spend.cpu", Per: "spent key", Unit: "CPU s", Mechanism: "core/idempotency Decode, Begin and Complete, with the issue"}
	now := time.Now()
	for _, n := range []int{10_000, 30_000, 100_000} {
		l := newLedger(now)
		used, _ := cpuOf(func() error { _, err := l.Issue(now, keyScope, n); return err })
		issue.Points = append(issue.Points, Point{float64(n), used.Seconds()})
		l = newLedger(now)
		used, _ = cpuOf(func() error { spend(l, now, n); return nil })
		spent.Points = append(spent.Points, Point{float64(n), used.Seconds()})
	}
	return []Fit{issue, spent}
}

// ownerFits measures the memory of an owner for each server of its pools, and for
// each waiting, formerly active and rate-limited workspace.
func ownerFits() []Fit {
	servers := Fit{Name: "owner.server", Per: "server", Unit: "bytes", Mechanism: "core/pool, core/detector: state of a server that has answered 20 requests"}
	for _, n := range []int{50, 200, 1_000} {
		servers.Points = append(servers.Points, Point{float64(n), heapGrowth(func() any { return poolAfterRequests(n, 20*n, 1) })})
	}
	queued := Fit{Name: "owner.queued", Per: "waiting request of its own workspace", Unit: "bytes", Mechanism: "core/pool, core/fairqueue: a waiting request and its workspace"}
	past := Fit{Name: "owner.workspace", Per: "workspace that was active", Unit: "bytes", Mechanism: "core/pool, core/fairqueue: what stays of a workspace whose requests are over"}
	limited := Fit{Name: "owner.limited", Per: "rate-limited workspace", Unit: "bytes", Mechanism: "core/ratelimit: token buckets of a workspace"}
	for _, n := range []int{1_000, 10_000, 100_000} {
		queued.Points = append(queued.Points, Point{float64(n), heapGrowth(func() any { return poolWithQueue(n) })})
		past.Points = append(past.Points, Point{float64(n), heapGrowth(func() any { return poolAfterRequests(8, n, n) })})
		limited.Points = append(limited.Points, Point{float64(n), heapGrowth(func() any {
			l, now := ratelimit.New(1), time.Now()
			for i := range n {
				l.Allow(now, workspaceID(i), 100, "", 0)
			}
			return l
		})})
	}
	return []Fit{servers, queued, past, limited}
}

func workspaceID(i int) model.WorkspaceID {
	return model.WorkspaceID(fmt.Sprintf("workspace-%06d", i))
}

func newPool(servers, queue int, now time.Time) *pool.Pool {
	cfg := pool.Config{
		Detector: detector.NewSequential(detector.Ridemark()), Plan: floor.Plan, Limits: floor.Limits{Share: 0.5, MinServers: 1},
		QueueLimit: queue, Readmission: pool.Readmission{RampTime: -1},
	}
	for i := range servers {
		cfg.Servers = append(cfg.Servers, pool.Server{ID: model.ServerID(fmt.Sprintf("server-%06d", i)), Slots: 2})
	}
	return pool.New(cfg, now)
}

func request(i int, w model.WorkspaceID, now time.Time) pool.Request {
	return pool.Request{ID: model.RequestID(fmt.Sprint("r", i)), Workspace: w, Repeatable: true, Arrival: now, Deadline: now.Add(time.Hour)}
}

// poolAfterRequests returns a pool that has answered the given number of requests,
// spread over the given number of workspaces.
func poolAfterRequests(servers, requests, workspaces int) *pool.Pool {
	now := time.Now()
	p := newPool(servers, 1000, now)
	for i := range requests {
		now = now.Add(100 * time.Microsecond)
		for _, d := range p.Submit(now, request(i, workspaceID(i%workspaces), now)) {
			if d, ok := d.(pool.Dispatch); ok {
				p.Finish(now.Add(50*time.Microsecond), pool.AttemptResult{Attempt: d.Attempt, Kind: pool.Answered, Latency: 50 * time.Microsecond})
			}
		}
	}
	return p
}

// poolWithQueue returns a pool in which n requests wait, each of another workspace.
func poolWithQueue(n int) *pool.Pool {
	now := time.Now()
	p := newPool(1, n+2, now)
	for i := range n + 2 {
		p.Submit(now, request(i, workspaceID(i), now))
	}
	return p
}
