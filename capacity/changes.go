package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/standin/platform"
)

// scaled returns TargetSizes divided by d.
func scaled(d int) Sizes {
	t := TargetSizes
	return Sizes{Services: t.Services / d, Servers: t.Servers / d, Routes: t.Routes / d, Workspaces: t.Workspaces / d}
}

func (s Sizes) objects() int { return s.Services + s.Servers + s.Routes + s.Workspaces }

// timedChanges is the number of changes, each of one server, that are timed at
// each size.
const timedChanges = 10

// callTimeout limits a call to the stand-in platform, which at the target scale
// validates the whole first change.
const callTimeout = time.Minute

// fixture is a stand-in platform that holds a configuration.
type fixture struct {
	platform *platform.Platform
	api      objectapi.Store
	store    *configstore.Store
	sizes    Sizes
	epoch    model.Epoch
}

func newFixture(n Sizes) (*fixture, error) {
	p := platform.New(platform.Options{WritesPerSecond: -1, ReadsPerSecond: -1, HostLag: -1})
	api, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: "http://platform", Transport: p.Endpoint.Transport(), Timeout: callTimeout})
	if err != nil {
		return nil, err
	}
	f := &fixture{platform: p, api: api, store: configstore.NewStore(api), sizes: n}
	return f, f.apply(snapshot.Change{ID: "first", Author: "setup", Put: Objects(n)})
}

func (f *fixture) apply(c snapshot.Change) error {
	r, err := f.store.Apply(context.Background(), c, f.epoch)
	f.epoch = r.Epoch
	return err
}

// change returns a change that drains the i-th server.
func (f *fixture) change(i int) snapshot.Change {
	s := Server(i%f.sizes.Servers, f.sizes.Services)
	s.State = snapshot.ServerDraining
	return snapshot.Change{ID: fmt.Sprint("change-", i), Author: "operator@example", Put: snapshot.Objects{Servers: []snapshot.Server{s}}}
}

func (f *fixture) head() ([]byte, error) {
	o, err := f.api.Get(context.Background(), configstore.HeadKey)
	return o.Value, err
}

// chunks reads all chunks that the encoded head names.
func (f *fixture) chunks(raw []byte) (snapshot.Chunks, error) {
	h, err := configstore.DecodeHead(raw)
	if err != nil {
		return nil, err
	}
	c := snapshot.Chunks{}
	for _, name := range h.Chunks.Names() {
		if c[name], err = f.store.Chunk(context.Background(), name); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// changeTotals are the costs at one size. writerCPU, followerCPU, compileCPU,
// storeCalls and bytesWritten are sums over timedChanges changes.
type changeTotals struct {
	writerCPU, followerCPU, compileCPU, startCPU time.Duration
	headBytes                                    int
	storeHeapBytes                               float64
	storeCalls                                   int64
	bytesWritten                                 int64
}

// measureChanges measures the cost of a change at the writer and at a daemon, and
// that of a daemon's start, at 1/100, 1/10 and all of the target's objects.
func measureChanges() ([]Fit, error) {
	writer := Fit{Name: "change.writer.cpu", Per: "object", Unit: "CPU s/change", Mechanism: "configstore Store.Apply in usher-api: validate, re-encode changed chunks"}
	daemon := Fit{Name: "change.daemon.cpu", Per: "object", Unit: "CPU s/change", Mechanism: "configstore Follower: snapshot.Patch, CompactAfter"}
	compiled := Fit{Name: "change.compile.cpu", Per: "object", Unit: "CPU s/change", Mechanism: "daemon compile: routing.Compile and catalogue, all of it for each epoch"}
	start := Fit{Name: "start.cpu", Per: "object", Unit: "CPU s", Mechanism: "configstore Follower: pack and decode all chunks, compile"}
	head := Fit{Name: "change.head", Per: "object", Unit: "bytes", Mechanism: "configstore Head with 10 changes in it: read whole by each host for each change"}
	calls := Fit{Name: "change.calls", Per: "object", Unit: "store calls/change", Mechanism: "configstore Store.Apply: read head, write chunks, write head"}
	chunk := Fit{Name: "change.chunk", Per: "object", Unit: "bytes written/change", Mechanism: "configstore Store.Apply: the chunk of the changed server and the head"}
	memory := Fit{Name: "writer.memory", Per: "object", Unit: "bytes", Mechanism: "configstore Store in usher-api: all objects and the plain chunks that it loaded last"}
	for _, d := range []int{100, 10, 1} {
		x, n, err := changeCosts(scaled(d))
		if err != nil {
			return nil, err
		}
		objects := float64(n.objects())
		each := func(t time.Duration) Point { return Point{objects, t.Seconds() / timedChanges} }
		writer.Points = append(writer.Points, each(x.writerCPU))
		daemon.Points = append(daemon.Points, each(x.followerCPU))
		compiled.Points = append(compiled.Points, each(x.compileCPU))
		start.Points = append(start.Points, Point{objects, x.startCPU.Seconds()})
		head.Points = append(head.Points, Point{objects, float64(x.headBytes)})
		memory.Points = append(memory.Points, Point{objects, x.storeHeapBytes})
		calls.Points = append(calls.Points, Point{objects, float64(x.storeCalls) / timedChanges})
		chunk.Points = append(chunk.Points, Point{objects, float64(x.bytesWritten) / timedChanges})
	}
	inline, err := inlineFit()
	return []Fit{writer, daemon, compiled, start, head, calls, chunk, memory, inline}, err
}

// storeHeapBytes returns the live heap of a Store that has loaded the
// configuration, as in usher-api.
func (f *fixture) storeHeapBytes() (float64, error) {
	var err error
	held := heapGrowth(func() any {
		s := configstore.NewStore(f.api)
		var loaded configstore.Loaded
		loaded, err = s.Load(context.Background())
		return [2]any{s, loaded}
	})
	return held, err
}

// inlineFit measures the encoded size of changes of one server, as heads carry
// them.
func inlineFit() (Fit, error) {
	f := Fit{Name: "change.inline", Per: "change", Unit: "bytes", Mechanism: "configstore AcceptedChange.Change: a change of one server in the head"}
	fixture := fixture{sizes: TargetSizes}
	for _, n := range []int{10, 100, 1_000} {
		bytes := 0
		for i := range n {
			data, err := json.Marshal(fixture.change(i))
			if err != nil {
				return f, err
			}
			bytes += len(data)
		}
		f.Points = append(f.Points, Point{float64(n), float64(bytes)})
	}
	return f, nil
}

func changeCosts(n Sizes) (x changeTotals, _ Sizes, err error) {
	f, err := newFixture(n)
	if err != nil {
		return x, n, err
	}
	if x.storeHeapBytes, err = f.storeHeapBytes(); err != nil {
		return x, n, err
	}
	raw, err := f.head()
	if err != nil {
		return x, n, err
	}
	chunks, err := f.chunks(raw)
	if err != nil {
		return x, n, err
	}
	holder := &snapshot.Holder{}
	follower := configstore.NewFollower(configstore.FollowerOptions{Holder: holder})
	x.startCPU, err = cpuOf(func() error {
		if _, err := follower.Deliver(raw, chunks); err != nil {
			return err
		}
		_, err := compile(holder.Load())
		return err
	})
	for i := 0; i < timedChanges && err == nil; i++ {
		err = f.changeOnce(&x, follower, holder, i)
	}
	return x, n, err
}

// changeOnce applies one change, delivers the new head to the follower and adds
// the costs to x. Returns an *EpochNotAppliedError if the follower doesn't apply
// it.
func (f *fixture) changeOnce(x *changeTotals, follower *configstore.Follower, holder *snapshot.Holder, i int) error {
	before := f.platform.Calls()
	t, err := cpuOf(func() error { return f.apply(f.change(i)) })
	if err != nil {
		return err
	}
	after := f.platform.Calls()
	x.writerCPU += t
	x.storeCalls += after.Total() - before.Total()
	x.bytesWritten += after.ValueBytesIn - before.ValueBytesIn
	raw, err := f.head()
	if err != nil {
		return err
	}
	x.headBytes = len(raw)
	if t, err = cpuOf(func() error { _, err := follower.Deliver(raw, nil); return err }); err != nil {
		return err
	}
	x.followerCPU += t
	if holder.Epoch() != f.epoch {
		return &EpochNotAppliedError{Epoch: f.epoch, Applied: holder.Epoch()}
	}
	t, err = cpuOf(func() error { _, err := compile(holder.Load()); return err })
	x.compileCPU += t
	return err
}

// EpochNotAppliedError reports a host that has not applied an epoch that it
// received.
type EpochNotAppliedError struct{ Epoch, Applied model.Epoch }

// Error implements error.
func (e *EpochNotAppliedError) Error() string {
	return fmt.Sprintf("epoch %s is not applied; the host runs epoch %s", e.Epoch, e.Applied)
}
