package configstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// DefaultRemotePullDelay is how long a host that is not a relay waits before it
	// pulls from another data centre. Within that time its own relays usually
	// have the epoch, so that bytes between regions do not grow with the
	// number of hosts.
	DefaultRemotePullDelay = time.Second
	// relayPoll is how often a host looks whether it has become a relay.
	relayPoll = time.Second
	// headTimeout bounds the call for a peer's head, so that a peer that hangs
	// holds up the pulls from others for a short time only. A head of 20 KB
	// crosses a region boundary (30 ms, 30 Mbit/s) in under 100 ms.
	headTimeout = 500 * time.Millisecond
	// pullTimeout bounds a pull of a head and its chunks from one peer.
	pullTimeout = 2 * time.Second
	// askTimeout bounds the question which epoch a peer has.
	askTimeout = time.Second
	// askedPeers is how many peers a fresh host asks for their epoch.
	askedPeers = 5
	// noticeQueue bounds the waiting notices. The oldest is dropped when it is
	// full: heartbeats repeat the epoch.
	noticeQueue = 64
	// minWatchTime keeps a watch that returns at once from being repeated
	// without a pause.
	minWatchTime = 100 * time.Millisecond
	// firstBackoff doubles with each failed call to the object API, up to
	// maxBackoff. A relay is back within that after an outage.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// maxConfirmBackoff is higher because every host that started during an
	// outage makes these calls, not only the relays.
	maxConfirmBackoff = 30 * time.Second
)

// AppliedEpoch reports a new epoch in force. The snapshot's objects have the compact
// form of snapshot.JoinCompact: workspaces at the defaults are left out.
type AppliedEpoch struct {
	Snapshot  *snapshot.Snapshot
	Confirmed bool
}

// FollowerOptions configures a Follower. Store, Holder and Rand are required.
type FollowerOptions struct {
	Store  *Store
	Holder *snapshot.Holder
	// Rand spreads repeated calls over time. The follower owns it.
	Rand *rand.Rand
	// IsRelay says whether this host is now one of the two relays of its data
	// centre. Nil: never.
	IsRelay func() bool
	// Peers returns the live hosts to start from and to read missing chunks
	// from, nearest first. Nil: none.
	Peers func() []Peer
	// OnEpoch is called for each new epoch in force, in order. It must not
	// block and must not call the follower.
	OnEpoch func(AppliedEpoch)
	// RemotePullDelay replaces DefaultRemotePullDelay if it is not zero.
	RemotePullDelay time.Duration
	Logger          telemetry.Logger
	// Scope receives the metrics; nil: none.
	Scope tally.Scope
}

// Follower brings one host to the newest epoch and offers it to others. All
// methods are safe for concurrent use. It implements Source.
type Follower struct {
	options FollowerOptions
	state   state
	notices *kernel.Ring[notice]
	metrics followerMetrics

	randMu sync.Mutex
}

type followerMetrics struct {
	epoch         tally.Gauge
	pulls         tally.Counter
	pullFailures  tally.Counter
	storeFailures tally.Counter
	replays       tally.Counter
	chunks        tally.Counter
	// noticeDepth and noticeDrops are those of the queue of notices.
	noticeDepth tally.Gauge
	noticeDrops tally.Gauge
}

type notice struct {
	peer  Peer
	epoch model.Epoch
	due   time.Time // set by pullQueue
}

var _ Source = (*Follower)(nil)

// NewFollower returns a follower without a configuration.
func NewFollower(o FollowerOptions) *Follower {
	if o.IsRelay == nil {
		o.IsRelay = func() bool { return false }
	}
	if o.Peers == nil {
		o.Peers = func() []Peer { return nil }
	}
	if o.OnEpoch == nil {
		o.OnEpoch = func(AppliedEpoch) {}
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	o.RemotePullDelay = orDefault(o.RemotePullDelay, DefaultRemotePullDelay)
	return &Follower{
		options: o,
		notices: kernel.NewRing[notice]("config-notices", noticeQueue, kernel.DropOldest),
		metrics: followerMetrics{
			epoch:         o.Scope.Gauge("config_epoch"),
			pulls:         o.Scope.Counter("config_pulls"),
			pullFailures:  o.Scope.Counter("config_pull_failures"),
			storeFailures: o.Scope.Counter("config_store_failures"),
			replays:       o.Scope.Counter("config_replays"),
			chunks:        o.Scope.Counter("config_chunks_fetched"),
			noticeDepth:   o.Scope.Gauge("config_notices_depth"),
			noticeDrops:   o.Scope.Gauge("config_notices_dropped"),
		},
	}
}

// Tasks returns the long-running tasks: one starts the host and watches the
// object API while the host is a relay, the other pulls from peers.
func (f *Follower) Tasks() []kernel.Task {
	return []kernel.Task{
		{Name: "config-watch", Run: f.runWatch},
		{Name: "config-pull", Run: f.runPull},
	}
}

// Status implements Source.
func (f *Follower) Status(context.Context) (Status, error) {
	c, confirmed := f.state.get()
	if c == nil {
		return Status{}, nil
	}
	return Status{Epoch: c.head.Epoch, ChangeID: c.head.ChangeID, Confirmed: confirmed}, nil
}

// Head implements Source.
func (f *Follower) Head(context.Context) ([]byte, error) {
	c, _ := f.state.get()
	if c == nil {
		return nil, ErrNoConfiguration
	}
	return c.raw, nil
}

// Chunk implements Source.
func (f *Follower) Chunk(_ context.Context, name snapshot.ChunkName) ([]byte, error) {
	p, ok := f.state.chunk(name)
	if !ok {
		return nil, &snapshot.ChunkError{Name: name, Err: snapshot.ErrChunkMissing}
	}
	return p.unpack(name)
}

// ObserveEpoch tells the follower which epoch a peer has, from a heartbeat or an
// epoch notice. It does not block. If the peer is ahead, the follower pulls
// from it.
func (f *Follower) ObserveEpoch(p Peer, e model.Epoch) {
	if c, _ := f.state.get(); e > c.epoch() {
		f.notices.Put(context.Background(), notice{peer: p, epoch: e})
	}
}

// DroppedNotices returns how many notices were dropped because too many were
// waiting.
func (f *Follower) DroppedNotices() uint64 { return f.notices.Dropped() }

// MissingChunks returns the chunks that Deliver needs besides the head; none
// if the head is not newer or carries the changes itself. Errors are those of
// Deliver.
func (f *Follower) MissingChunks(head []byte) ([]snapshot.ChunkName, error) {
	h, err := DecodeHead(head)
	if err != nil {
		return nil, err
	}
	if c, _ := f.state.get(); h.Epoch <= c.epoch() {
		return nil, nil
	}
	_, missing, err := f.state.build(head, h, nil)
	return missing, err
}

// Deliver passes on a head and chunks that another host has sent. It makes no
// call. If chunks are missing, it changes nothing and names them. Errors are
// *HeadError or *snapshot.ChunkError.
func (f *Follower) Deliver(head []byte, chunks snapshot.Chunks) (missing []snapshot.ChunkName, err error) {
	h, err := DecodeHead(head)
	if err != nil {
		return nil, err
	}
	if c, _ := f.state.get(); h.Epoch <= c.epoch() {
		return nil, nil
	}
	c, missing, err := f.state.build(head, h, packAll(chunks))
	if err != nil || len(missing) > 0 {
		return missing, err
	}
	f.install(c, false)
	return nil, nil
}

// advance brings the follower to a head, reading missing chunks through get.
// Confirmed means that the head was read from the object API.
func (f *Follower) advance(ctx context.Context, raw []byte, confirmed bool, get chunkGetter) error {
	h, err := DecodeHead(raw)
	if err != nil {
		return err
	}
	if c, _ := f.state.get(); h.Epoch <= c.epoch() {
		return nil
	}
	c, missing, err := f.state.build(raw, h, nil)
	if err != nil {
		return err
	}
	if len(missing) == 0 {
		f.metrics.replays.Inc(1)
		f.install(c, confirmed)
		return nil
	}
	fetched := packedChunks{}
	if err := fetch(ctx, fetched, missing, packing(get)); err != nil {
		return err
	}
	f.metrics.chunks.Inc(int64(len(fetched)))
	if c, missing, err = f.state.build(raw, h, fetched); err != nil {
		return err
	}
	if len(missing) > 0 {
		return &snapshot.ChunkError{Name: missing[0], Err: snapshot.ErrChunkMissing}
	}
	f.install(c, confirmed)
	return nil
}

func (f *Follower) install(c *configuration, confirmed bool) {
	f.state.install(c, confirmed, func(confirmed bool) {
		f.options.Holder.Apply(c.snapshot)
		f.metrics.epoch.Update(float64(c.head.Epoch))
		f.options.OnEpoch(AppliedEpoch{Snapshot: c.snapshot, Confirmed: confirmed})
	})
}

// peerChunk reads a chunk from the first of the peers that has it.
func (f *Follower) peerChunk(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
	failures := []error{&snapshot.ChunkError{Name: name, Err: snapshot.ErrChunkMissing}}
	peers := f.options.Peers()
	for _, p := range peers[:min(len(peers), askedPeers)] {
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		data, err := checkedChunk(askCtx, p.Source, name)
		cancel()
		if err == nil {
			return data, nil
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}

// jitter returns a random duration between half of d and d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	f.randMu.Lock()
	defer f.randMu.Unlock()
	return d/2 + time.Duration(f.options.Rand.Int64N(int64(d/2)+1))
}

func backoff(failures int, limit time.Duration) time.Duration {
	return min(firstBackoff<<min(failures, 12), limit)
}

// storeHead reads the head from the object API, once.
func (f *Follower) storeHead(ctx context.Context) (objectapi.Object, error) {
	return f.options.Store.api.Get(ctx, HeadKey)
}
