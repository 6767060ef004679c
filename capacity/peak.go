package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/entry"
)

// peakChanges is the number of changes that are applied while the heap is read.
const peakChanges = 20

// lowGCPercent is a GOGC value that trades CPU for a smaller heap.
const lowGCPercent = 25

// measurePeaks measures the largest heap, garbage included, and the CPU time while
// a daemon's configuration state applies changes, at Go's default GOGC and at
// lowGCPercent.
func measurePeaks() ([]Fit, error) {
	var fits []Fit
	for _, percent := range []int{100, lowGCPercent} {
		heap := Fit{Name: fmt.Sprintf("peak.%d", percent), Per: "object", Unit: "bytes", Mechanism: fmt.Sprintf("Go collector with GOGC=%d: largest heap while changes of servers are applied", percent)}
		cpu := Fit{Name: fmt.Sprintf("peak.%d.cpu", percent), Per: "object", Unit: "CPU s/change", Mechanism: "follower, catalogue and collector together"}
		for _, d := range []int{100, 10, 1} {
			n := scaled(d)
			peak, used, err := peakHeap(n, percent)
			if err != nil {
				return nil, err
			}
			heap.Points = append(heap.Points, Point{float64(n.objects()), peak})
			cpu.Points = append(cpu.Points, Point{float64(n.objects()), used})
		}
		fits = append(fits, heap, cpu)
	}
	return fits, nil
}

// configurationState is the configuration state of a daemon. It holds no second
// copy of the chunks, which would add to the heap.
type configurationState struct {
	follower  *configstore.Follower
	holder    *snapshot.Holder
	manifest  snapshot.Manifest
	catalogue entry.Catalog
	sizes     Sizes
}

func newConfigurationState(n Sizes) (*configurationState, error) {
	e, err := encode(Objects(n), 1)
	if err != nil {
		return nil, err
	}
	d := &configurationState{manifest: e.manifest, sizes: n}
	if d.follower, d.holder, err = newFollower(e); err != nil {
		return nil, err
	}
	d.catalogue, err = compile(d.holder.Load())
	return d, err
}

// nextHead returns the encoded next head, which carries a change of one server.
func (d *configurationState) nextHead(i int) ([]byte, error) {
	s := Server(i, d.sizes.Services)
	s.State = snapshot.ServerDraining
	c := snapshot.Change{ID: fmt.Sprint("change-", i), Author: "operator@example", Put: snapshot.Objects{Servers: []snapshot.Server{s}}}
	get := func(name snapshot.ChunkName) ([]byte, error) { return d.follower.Chunk(context.Background(), name) }
	m, _, err := snapshot.Patch(d.manifest, get, c)
	if err != nil {
		return nil, err
	}
	d.manifest = m
	epoch := d.holder.Epoch() + 1
	return json.Marshal(configstore.Head{
		Epoch: epoch, ChangeID: c.ID, Author: c.Author, Chunks: m,
		Changes: []configstore.AcceptedChange{{Epoch: epoch, ID: c.ID, Author: c.Author, Change: &c}},
	})
}

// apply delivers a head, compiles the catalogue and returns the heap in use. The
// error is an *EpochNotAppliedError if the epoch is not want afterwards.
func (d *configurationState) apply(head []byte, want model.Epoch) (float64, error) {
	if _, err := d.follower.Deliver(head, nil); err != nil {
		return 0, err
	}
	if have := d.holder.Epoch(); have != want {
		return 0, &EpochNotAppliedError{Epoch: want, Applied: have}
	}
	var err error
	d.catalogue, err = compile(d.holder.Load())
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), err
}

// peakHeap returns the largest heap above that at the start, in bytes, and the mean
// CPU seconds of a change.
func peakHeap(n Sizes, percent int) (peak, cpu float64, err error) {
	defer debug.SetGCPercent(debug.SetGCPercent(percent))
	empty := liveHeapBytes()
	d, err := newConfigurationState(n)
	if err != nil {
		return 0, 0, err
	}
	runtime.GC()
	for i := range peakChanges {
		head, err := d.nextHead(i)
		if err != nil {
			return 0, 0, err
		}
		used, err := cpuOf(func() error {
			heap, err := d.apply(head, d.holder.Epoch()+1)
			peak = max(peak, heap-empty)
			return err
		})
		if err != nil {
			return 0, 0, err
		}
		cpu += used.Seconds() / peakChanges
	}
	runtime.KeepAlive(d)
	return peak, cpu, nil
}
