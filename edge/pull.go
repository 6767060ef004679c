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
	// pullTimeout bounds a pull inside the data centre.
	pullTimeout = 600 * time.Millisecond
	// pullWaiting is the size of the ring of daemons to pull from; the newest
	// are dropped when full, since any of them will do.
	pullWaiting = 4
)

// puller fetches the content of daemons that have newer content.
type puller struct {
	node   *Node
	wanted *kernel.Ring[string]
	client *http.Client
}

func newPuller(n *Node) *puller {
	return &puller{node: n, wanted: kernel.NewRing[string]("pulls", pullWaiting, kernel.DropNewest), client: &http.Client{
		Timeout:   pullTimeout,
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: nearDialTimeout}).DialContext, DisableKeepAlives: true},
	}}
}

// want asks for the content of the daemon at an address.
func (p *puller) want(address string) { p.wanted.Offer(address) }

func (p *puller) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-p.wanted.Items():
			p.pull(address)
			p.discardWaiting()
		}
	}
}

// discardWaiting forgets daemons that were named while a pull was made: their
// next heartbeat names them again if they are still ahead.
func (p *puller) discardWaiting() {
	for {
		select {
		case <-p.wanted.Items():
		default:
			return
		}
	}
}

func (p *puller) pull(address string) {
	var e catalog.Snapshot
	began := time.Now()
	if err := p.get(address, catalogPath, &e); err != nil {
		p.node.log.WithFields(telemetry.Fields{"event": "pull_failed", "peer": address}).WithError(err).Info("newer content could not be fetched")
		return
	}
	before, _ := p.node.keeper.Versions()
	p.node.keeper.Merge(began, e)
	after, revision := p.node.keeper.Versions()
	if after != before {
		p.node.log.WithFields(telemetry.Fields{"event": "config_applied", "epoch": after, "revision": revision, "from": address}).Info("configuration in force")
	}
}

// errStatus is wrapped for an answer that is not a success.
var errStatus = errors.New("unexpected status")

func (p *puller) get(address, path string, out any) error {
	resp, err := p.client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: %w %d", address, path, errStatus, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
