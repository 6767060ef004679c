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

// peakChanges is how many changes a daemon applies while its heap is watched.
const peakChanges = 20

// tightGC is a GOGC value that trades CPU for a smaller heap.
const tightGC = 25

// measurePeaks returns the heap of a daemon that applies changes, with what
// the collector has not freed yet, at Go's default GOGC and at tightGC.
func measurePeaks() ([]Fit, error) {
	var fits []Fit
	for _, percent := range []int{100, tightGC} {
		heap := Fit{Name: fmt.Sprintf("peak.%d", percent), Per: "object", Unit: "bytes", Mechanism: fmt.Sprintf("Go collector with GOGC=%d: largest heap while changes of servers are applied", percent)}
		cpu := Fit{Name: fmt.Sprintf("peak.%d.cpu", percent), Per: "object", Unit: "CPU s/change", Mechanism: "follower, catalogue and collector together"}
		for _, d := range []int{100, 10, 1} {
			n := scaled(d)
			peak, used, err := peakOf(n, percent)
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

// changingDaemon is the configuration state of a daemon, with no copy of the
// chunks besides its own.
type changingDaemon struct {
	follower  *configstore.Follower
	holder    *snapshot.Holder
	manifest  snapshot.Manifest
	catalogue entry.Catalog
	sizes     Sizes
}

func newChangingDaemon(n Sizes) (*changingDaemon, error) {
	e, err := encode(Objects(n), 1)
	if err != nil {
		return nil, err
	}
	d := &changingDaemon{manifest: e.manifest, sizes: n}
	if d.follower, d.holder, err = newFollower(e); err != nil {
		return nil, err
	}
	d.catalogue, err = compile(d.holder.Load())
	return d, err
}

// nextHead returns the head that follows by a change of one server.
func (d *changingDaemon) nextHead(i int) ([]byte, error) {
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

// apply brings the daemon to a head and returns the heap in use then.
func (d *changingDaemon) apply(head []byte, want model.Epoch) (float64, error) {
	if _, err := d.follower.Deliver(head, nil); err != nil {
		return 0, err
	}
	if have := d.holder.Epoch(); have != want {
		return 0, &NotInForceError{Epoch: want, Have: have}
	}
	var err error
	d.catalogue, err = compile(d.holder.Load())
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), err
}

// peakOf returns the largest heap above that of an empty process, and the CPU
// seconds of a change.
func peakOf(n Sizes, percent int) (peak, cpu float64, err error) {
	defer debug.SetGCPercent(debug.SetGCPercent(percent))
	empty := heapBytes()
	d, err := newChangingDaemon(n)
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
