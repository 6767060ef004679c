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
	// Encoded is the size of all chunks as stored in the object API.
	Encoded float64 `json:"encoded"`
	// Chunks is the number of chunks.
	Chunks float64 `json:"chunks"`
	// Head is the size of the head.
	Head float64 `json:"head"`
	// Follower is the memory of the configuration follower: the objects, the
	// chunks that it keeps for peers, and the head.
	Follower float64 `json:"follower"`
	// Objects is the part of Follower for decoded objects, which leave out
	// workspaces with default settings.
	Objects float64 `json:"objects"`
	// Catalogue is the memory of the compiled form for the request path.
	Catalogue float64 `json:"catalogue"`
}

// Total returns the memory of the follower and the catalogue.
func (s StateBytes) Total() float64 { return s.Follower + s.Catalogue }

// liveHeapBytes returns the size of the live heap. It collects twice because
// finalizers and sync.Pool keep memory for one collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// encodedConfiguration is a configuration as hosts receive it.
type encodedConfiguration struct {
	head     []byte
	manifest snapshot.Manifest
	chunks   snapshot.Chunks
}

func encode(o snapshot.Objects, epoch model.Epoch) (encodedConfiguration, error) {
	m, c, err := snapshot.Split(o, nil)
	if err != nil {
		return encodedConfiguration{}, err
	}
	head, err := json.Marshal(configstore.Head{
		Epoch: epoch, ChangeID: "first", Author: "setup", Chunks: m,
		Changes: []configstore.AcceptedChange{{Epoch: epoch, ID: "first", Author: "setup"}},
	})
	return encodedConfiguration{head: head, manifest: m, chunks: c}, err
}

// clone returns a head and chunks that share no memory with e, like data received
// over a connection.
func (e encodedConfiguration) clone() (head []byte, chunks snapshot.Chunks) {
	chunks = make(snapshot.Chunks, len(e.chunks))
	for name, data := range e.chunks {
		chunks[name] = bytes.Clone(data)
	}
	return bytes.Clone(e.head), chunks
}

func (e encodedConfiguration) bytes() float64 {
	n := 0
	for _, data := range e.chunks {
		n += len(data)
	}
	return float64(n)
}

// newFollower returns a follower without peers that has applied the configuration.
func newFollower(e encodedConfiguration) (*configstore.Follower, *snapshot.Holder, error) {
	holder := &snapshot.Holder{}
	f := configstore.NewFollower(configstore.FollowerOptions{Holder: holder, Rand: rand.New(rand.NewPCG(1, 2))})
	head, chunks := e.clone()
	_, err := f.Deliver(head, chunks)
	return f, holder, err
}

// singleRegion places all data centres in one region.
type singleRegion struct{}

// Region implements daemon.RegionLocator.
func (singleRegion) Region(model.DataCentre) model.Region { return "region-0" }

var measuredHost = daemon.HostSettings{ID: "host-0", DataCentre: dataCentre(0), Region: "region-0"}

func compile(s *snapshot.Snapshot) (entry.Catalog, error) {
	return daemon.CompileCatalog(s, measuredHost, singleRegion{})
}

// MeasureState builds the configuration state of one daemon and returns the bytes
// that each part adds to the live heap.
func MeasureState(n Sizes) (StateBytes, error) {
	e, err := encode(Objects(n), 1)
	if err != nil {
		return StateBytes{}, err
	}
	s := StateBytes{Encoded: e.bytes(), Chunks: float64(len(e.chunks)), Head: float64(len(e.head))}
	if s.Objects, err = objectBytes(e); err != nil {
		return StateBytes{}, err
	}
	before := liveHeapBytes()
	follower, holder, err := newFollower(e)
	if err != nil {
		return StateBytes{}, err
	}
	after := liveHeapBytes()
	catalogue, err := compile(holder.Load())
	if err != nil {
		return StateBytes{}, err
	}
	s.Follower, s.Catalogue = after-before, liveHeapBytes()-after
	runtime.KeepAlive(catalogue)
	_, err = follower.Status(context.Background())
	runtime.KeepAlive(e)
	return s, err
}

func objectBytes(e encodedConfiguration) (float64, error) {
	before := liveHeapBytes()
	o, err := snapshot.JoinCompact(e.manifest, func(name snapshot.ChunkName) ([]byte, error) { return e.chunks[name], nil })
	if err != nil {
		return 0, err
	}
	after := liveHeapBytes()
	runtime.KeepAlive(o)
	runtime.KeepAlive(e)
	return after - before, nil
}
