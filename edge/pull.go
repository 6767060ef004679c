package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// pullTimeout bounds a pull from another daemon.
	pullTimeout = 600 * time.Millisecond
	// pullQueueSize is the capacity of the ring of daemons to pull from. When it
	// is full, new entries are dropped, since any daemon in it has newer content.
	pullQueueSize = 4
)

// puller fetches configuration and servers from daemons that have newer versions.
type puller struct {
	node   *Node
	queue  *kernel.Ring[string]
	client *http.Client
}

func newPuller(n *Node) *puller {
	return &puller{node: n, queue: kernel.NewRing[string]("pulls", pullQueueSize, kernel.DropNewest), client: &http.Client{
		Timeout:   pullTimeout,
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: crossRegionDialTimeout}).DialContext, DisableKeepAlives: true},
	}}
}

// enqueue requests a pull from the daemon at an address. It never blocks.
func (p *puller) enqueue(address string) { p.queue.Offer(address) }

func (p *puller) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-p.queue.Items():
			p.node.contain("pull", func() { p.pull(address) })
			p.discardQueued()
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

// bootstrapInterval is the interval between requests for the first content.
const bootstrapInterval = 80 * time.Millisecond

// bootstrap asks the seeds for the first content, and for their hosts, until there is
// content from anywhere.
func (n *Node) bootstrap(ctx context.Context) error {
	ticker := time.NewTicker(bootstrapInterval)
	defer ticker.Stop()
	for i := 0; len(n.settings.Seeds) > 0 && !n.settings.isSeed(); i++ {
		seeds := *n.seeds.Load()
		if v := n.view.Load(); v != nil && v.Complete() {
			break
		}
		if len(seeds) > 0 {
			n.puller.enqueue(seeds[i%len(seeds)])
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	<-ctx.Done()
	return nil
}

// discardQueued drops the daemons queued during a pull. Their next heartbeats queue
// them again if their content is still newer.
func (p *puller) discardQueued() {
	for {
		select {
		case <-p.queue.Items():
		default:
			return
		}
	}
}

// pull fetches what has changed since this daemon's versions. If the other daemon
// knows only changes to another version by now, it fetches the whole content.
func (p *puller) pull(address string) {
	has := p.node.cache.Versions()
	for range 2 {
		var snapshot catalog.Snapshot
		startedAt := time.Now()
		path := fmt.Sprintf("%s?%s=%d&%s=%d", catalogPath, epochParameter, has.Epoch, revisionParameter, has.Revision)
		if err := p.get(address, path, &snapshot); err != nil {
			p.node.log.WithFields(telemetry.Fields{"event": "pull_failed", "peer": address}).WithError(err).Info("cannot fetch newer content from another daemon")
			return
		}
		p.node.dropUndecoded(&snapshot)
		if p.node.mustConfirm(snapshot) {
			p.node.follower.Demand()
			return
		}
		before := p.node.cache.Versions()
		merged := p.node.cache.Merge(startedAt, snapshot)
		after := p.node.cache.Versions()
		if after.Epoch != before.Epoch {
			p.node.log.WithFields(telemetry.Fields{"event": "config_applied", "epoch": after.Epoch, "revision": after.Revision, "from": address}).Info("configuration in force")
		}
		if merged {
			return
		}
		has = catalog.Versions{}
	}
}

// errUnexpectedStatus is wrapped by errors about a response other than 200.
var errUnexpectedStatus = errors.New("unexpected status")

func (p *puller) get(address, path string, out any) error {
	resp, err := p.client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: %w %d", address, path, errUnexpectedStatus, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
