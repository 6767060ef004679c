package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/internal/stricthttp"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
	"github.com/agateusher/agateusher/transfer"
)

// pullLimit bounds a pull from another daemon, whose host may be small and busy.
var pullLimit = transfer.Limit{First: time.Second, Stall: time.Second}

const (
	// pullQueueSize is the capacity of the ring of daemons to pull from. When it
	// is full, new entries are dropped, since any daemon in it has newer content.
	pullQueueSize = 4
	// maxPullBytes bounds a response. Daemons of older versions do not compress.
	maxPullBytes = 16 << 20
)

// puller fetches configuration and servers from daemons that have newer versions.
type puller struct {
	node    *Node
	queue   *kernel.Ring[string]
	client  *http.Client
	results *telemetry.CounterVec
	// pulling is set during a pull from a daemon whose heartbeat announced newer
	// content.
	pulling atomic.Bool
	// crossing is set while content is fetched from another region.
	crossing atomic.Bool
}

func newPuller(n *Node) *puller {
	return &puller{
		node: n, queue: kernel.NewRing[string]("pulls", pullQueueSize, kernel.DropNewest),
		results: telemetry.NewCounterVec(n.metrics.Scope, "pulls", "result", ""),
		client:  &http.Client{Transport: stricthttp.NewTransport(&http.Transport{DialContext: (&net.Dialer{Timeout: crossRegionDialTimeout}).DialContext, DisableKeepAlives: true})},
	}
}

// enqueue requests a pull from the daemon at an address. It never blocks.
func (p *puller) enqueue(address string) { p.queue.Offer(address) }

func (p *puller) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-p.queue.Items():
			p.pulling.Store(true)
			p.node.contain("pull", func() {
				if p.pull(ctx, address, false) == nil {
					p.discardQueued()
				}
			})
			p.pulling.Store(false)
		}
	}
}

const (
	// maxFirstContentAge is the age of the last confirmation by the store up to which
	// a daemon without content uses that of another daemon. Older content may name
	// servers that have left and routes that were withdrawn.
	maxFirstContentAge = 1500 * time.Millisecond
	// firstContentWait is how long after the start older content is not used, so that
	// the store is asked first. After that the store counts as away.
	firstContentWait = 1200 * time.Millisecond
)

// mustConfirm reports whether a snapshot is too old to be the first content of this
// daemon while the store has not been asked.
func (n *Node) mustConfirm(s catalog.Snapshot) bool {
	if v := n.view.Load(); v != nil && v.Complete() {
		return false
	}
	old := (s.Config != nil && s.ConfigAge > maxFirstContentAge) || (s.Revision != 0 && s.ServerAge > maxFirstContentAge)
	return old && time.Since(n.started) < firstContentWait
}

// bootstrapInterval is the interval between the requests for content to the seeds. After
// bootstrapDelayMax, when others may read the store, it doubles up to
// bootstrapIntervalMax.
const (
	bootstrapInterval    = 80 * time.Millisecond
	bootstrapIntervalMax = 640 * time.Millisecond
)

// bootstrap asks the seeds of the region for the first content until there is content
// from anywhere. Daemons of the data centre that have content are asked when their
// heartbeats arrive. Seeds of other regions are asked only if the store fails and this
// daemon may read for its region.
func (n *Node) bootstrap(ctx context.Context) error {
	foreign := map[string]bool{}
	interval := bootstrapInterval
	for i := 0; len(n.settings.Seeds) > 0; i++ {
		if v := n.view.Load(); v != nil && v.Complete() {
			break
		}
		if seeds := *n.seeds.Load(); len(seeds) > 0 {
			seed := seeds[i%len(seeds)]
			lastResort := foreign[seed] && n.follower.StoreFailing() && n.follower.MayStart()
			if seed != n.settings.Listeners.Admin && (lastResort || !foreign[seed]) && !n.puller.pulling.Load() {
				n.contain("bootstrap", func() {
					foreign[seed] = errors.Is(n.puller.pull(ctx, seed, lastResort), errOtherRegion) || foreign[seed]
				})
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
		if time.Since(n.started) > bootstrapDelayMax {
			interval = min(bootstrapIntervalMax, 2*interval)
		}
	}
	<-ctx.Done()
	return nil
}

// discardQueued drops the daemons queued during a successful pull. Their next heartbeats
// queue them again if their content is still newer.
func (p *puller) discardQueued() {
	for {
		select {
		case <-p.queue.Items():
		default:
			return
		}
	}
}

var (
	// errOtherRegion is returned by a pull from a daemon of another region.
	errOtherRegion = errors.New("the daemon is of another region")
	// errNotConfirmed is returned for content that is too old to be the first one.
	errNotConfirmed = errors.New("the content is old and the store has not been asked")
	// errUnexpectedStatus is wrapped by errors about a response other than 200.
	errUnexpectedStatus = errors.New("unexpected status")
)

// pull fetches what has changed since this daemon's versions. If the other daemon
// knows only changes to another version by now, it fetches the whole content. Content
// that is sent over the link between regions is asked for only with anyRegion.
func (p *puller) pull(ctx context.Context, address string, anyRegion bool) error {
	if anyRegion {
		p.crossing.Store(true)
		defer p.crossing.Store(false)
	}
	has := p.node.cache.Versions()
	for range 2 {
		startedAt := time.Now()
		snapshot, err := p.get(ctx, address, has, anyRegion)
		if err == nil {
			p.node.dropUndecoded(&snapshot)
		}
		if err == nil && p.node.mustConfirm(snapshot) {
			p.node.follower.Demand()
			err = errNotConfirmed
		}
		if err != nil {
			p.recordFailure(address, err)
			return err
		}
		before := p.node.cache.Versions()
		merged := p.node.cache.Merge(startedAt, snapshot)
		after := p.node.cache.Versions()
		if after.Epoch != before.Epoch {
			p.node.log.WithFields(telemetry.Fields{"event": "config_applied", "epoch": after.Epoch, "revision": after.Revision, "from": address, "difference": snapshot.ConfigSince != 0}).Info("configuration in force")
		}
		if merged {
			p.results.Inc("merged", "")
			return nil
		}
		has = catalog.Versions{}
	}
	return nil
}

// recordFailure counts and logs a pull that brought nothing.
func (p *puller) recordFailure(address string, err error) {
	result, log := "failed", p.node.log.WithFields(telemetry.Fields{"event": "pull_failed", "peer": address}).WithError(err)
	switch {
	case errors.Is(err, catalog.ErrDamaged):
		result = "damaged"
		log.Warn("content from another daemon is damaged and was discarded")
	case errors.Is(err, errOtherRegion), errors.Is(err, errNotConfirmed), errors.Is(err, errUnexpectedStatus):
		result = "refused"
		log.Debug("another daemon has no content for this one")
	default:
		log.Info("cannot fetch newer content from another daemon")
	}
	p.results.Inc(result, "")
}

// get fetches content. Its time is limited by its progress.
func (p *puller) get(ctx context.Context, address string, has catalog.Versions, anyRegion bool) (catalog.Snapshot, error) {
	query := url.Values{
		epochParameter: {strconv.FormatUint(uint64(has.Epoch), 10)}, revisionParameter: {strconv.FormatUint(uint64(has.Revision), 10)},
		formParameter: {encodedForm},
	}
	if !anyRegion {
		query.Set(regionParameter, string(p.node.settings.Host.Region))
	}
	data, err := p.request(ctx, address, catalogPath+"?"+query.Encode())
	if err != nil {
		return catalog.Snapshot{}, err
	}
	return catalog.Decode(data)
}

// hosts fetches the list of hosts from a daemon.
func (p *puller) hosts(ctx context.Context, address string) (sentHosts, error) {
	data, err := p.request(ctx, address, hostsPath)
	if err != nil {
		return sentHosts{}, err
	}
	out := sentHosts{receivedAt: time.Now()}
	return out, json.Unmarshal(data, &out.list)
}

func (p *puller) request(ctx context.Context, address, path string) ([]byte, error) {
	ctx, t := transfer.Start(ctx, pullLimit, nil)
	data, err := p.do(ctx, "http://"+address+path)
	return data, t.End(err)
}

func (p *puller) do(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case statusOtherRegion:
		return nil, errOtherRegion
	default:
		return nil, fmt.Errorf("%s: %w %d", url, errUnexpectedStatus, resp.StatusCode)
	}
	data, err := transfer.ReadAll(ctx, resp.Body, maxPullBytes)
	p.node.metrics.Scope.Counter("content_received_bytes").Inc(int64(len(data)))
	return data, err
}
