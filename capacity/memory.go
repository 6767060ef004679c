package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"runtime"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/daemon"
	"github.com/agateusher/agateusher/entry"
)

// StateBytes is the memory of a daemon's configuration state in bytes.
type StateBytes struct {
	// Encoded is the size of all chunks as they are in the object API.
	Encoded float64 `json:"encoded"`
	// Chunks is the number of chunks.
	Chunks float64 `json:"chunks"`
	// Head is the size of the head.
	Head float64 `json:"head"`
	// Follower is what the configuration follower holds: the objects, the
	// chunks that it keeps for peers, and the head.
	Follower float64 `json:"follower"`
	// Objects is the decoded part of it, without workspaces at the defaults.
	Objects float64 `json:"objects"`
	// Catalogue is the compiled form for the request path.
	Catalogue float64 `json:"catalogue"`
}

// Total is all that the daemon holds.
func (s StateBytes) Total() float64 { return s.Follower + s.Catalogue }

// heapBytes returns the live heap. Two collections also free what finalizers
// and pools keep for one.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// encoded is a configuration as hosts receive it.
type encoded struct {
	head     []byte
	manifest snapshot.Manifest
	chunks   snapshot.Chunks
}

func encode(o snapshot.Objects, epoch model.Epoch) (encoded, error) {
	m, c, err := snapshot.Split(o, nil)
	if err != nil {
		return encoded{}, err
	}
	head, err := json.Marshal(configstore.Head{
		Epoch: epoch, ChangeID: "first", Author: "setup", Chunks: m,
		Changes: []configstore.AcceptedChange{{Epoch: epoch, ID: "first", Author: "setup"}},
	})
	return encoded{head: head, manifest: m, chunks: c}, err
}

// copied returns data that shares no memory with e, as if it had come over a
// connection.
func (e encoded) copied() (head []byte, chunks snapshot.Chunks) {
	chunks = make(snapshot.Chunks, len(e.chunks))
	for name, data := range e.chunks {
		chunks[name] = bytes.Clone(data)
	}
	return bytes.Clone(e.head), chunks
}

func (e encoded) bytes() float64 {
	n := 0
	for _, data := range e.chunks {
		n += len(data)
	}
	return float64(n)
}

// newFollower returns a follower without peers that runs the configuration.
func newFollower(e encoded) (*configstore.Follower, *snapshot.Holder, error) {
	holder := &snapshot.Holder{}
	f := configstore.NewFollower(configstore.FollowerOptions{Holder: holder, Rand: rand.New(rand.NewPCG(1, 2))})
	head, chunks := e.copied()
	_, err := f.Deliver(head, chunks)
	return f, holder, err
}

// oneRegion places all data centres in one region.
type oneRegion struct{}

// Region implements daemon.RegionLocator.
func (oneRegion) Region(model.DataCentre) model.Region { return "region-0" }

var measuredHost = daemon.HostSettings{ID: "host-0", DataCentre: dataCentre(0), Region: "region-0"}

func compile(s *snapshot.Snapshot) (entry.Catalog, error) {
	return daemon.CompileCatalog(s, measuredHost, oneRegion{})
}

// MeasureState builds the configuration state of one daemon and returns what
// each part adds to the live heap.
func MeasureState(n Sizes) (StateBytes, error) {
	e, err := encode(Objects(n), 1)
	if err != nil {
		return StateBytes{}, err
	}
	s := StateBytes{Encoded: e.bytes(), Chunks: float64(len(e.chunks)), Head: float64(len(e.head))}
	if s.Objects, err = objectBytes(e); err != nil {
		return StateBytes{}, err
	}
	before := heapBytes()
	follower, holder, err := newFollower(e)
	if err != nil {
		return StateBytes{}, err
	}
	after := heapBytes()
	catalogue, err := compile(holder.Load())
	if err != nil {
		return StateBytes{}, err
	}
	s.Follower, s.Catalogue = after-before, heapBytes()-after
	runtime.KeepAlive(catalogue)
	_, err = follower.Status(context.Background())
	runtime.KeepAlive(e)
	return s, err
}

func objectBytes(e encoded) (float64, error) {
	before := heapBytes()
	o, err := snapshot.JoinCompact(e.manifest, func(name snapshot.ChunkName) ([]byte, error) { return e.chunks[name], nil })
	if err != nil {
		return 0, err
	}
	after := heapBytes()
	runtime.KeepAlive(o)
	runtime.KeepAlive(e)
	return after - before, nil
}
