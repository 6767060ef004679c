package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// pingDelay is how long a forwarded request waits for its response before the
	// owner is pinged. It is longer than a lookup usually takes, so that normal
	// traffic causes no pings.
	pingDelay = 150 * time.Millisecond
	// pingTimeout limits a ping; a hop within a data centre takes 1 ms. With
	// pingDelay it keeps the detection of an unresponsive owner under 500 ms.
	pingTimeout = 250 * time.Millisecond
	// pingInterval is the time between pings of one owner.
	pingInterval = 200 * time.Millisecond
)

// errOwnerUnresponsive is the cancellation cause of a forwarded request whose
// owner did not answer a ping.
var errOwnerUnresponsive = errors.New("owner did not answer a ping")

// localOwner executes the requests for pools that this host owns.
type localOwner interface {
	Do(ctx context.Context, q *fleet.Request) fleet.Response
	IssueKeys(q fleet.KeysRequest) fleet.KeysResponse
}

// peers forwards requests to owners and records as suspects the owners to which
// a connection, a ping or a request for keys failed. An owner stays suspect
// until a ping succeeds.
type peers struct {
	client *fleet.Client
	log    telemetry.Logger
	scope  telemetry.Scope
	pings  singleflight.Group

	mu       sync.RWMutex
	suspects map[model.HostID]bool

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

func newPeers(client *fleet.Client, log telemetry.Logger, scope telemetry.Scope) *peers {
	ctx, stop := context.WithCancel(context.Background())
	return &peers{client: client, log: log, scope: scope, suspects: map[model.HostID]bool{}, ctx: ctx, stop: stop}
}

// suspectsLast moves suspects to the end of the list, so that they are used only
// if no other host is left.
func (p *peers) suspectsLast(list []fleet.Peer) []fleet.Peer {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if len(p.suspects) == 0 {
		return list
	}
	ordered := make([]fleet.Peer, 0, len(list))
	var last []fleet.Peer
	for _, x := range list {
		if p.suspects[x.Host] {
			last = append(last, x)
		} else {
			ordered = append(ordered, x)
		}
	}
	return append(ordered, last...)
}

// isUsable reports whether a host is not suspected.
func (p *peers) isUsable(id model.HostID) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return !p.suspects[id]
}

// forward forwards a request to an owner. If watch is set, the owner is pinged
// while the request waits, and the request is cancelled if a ping fails.
func (p *peers) forward(ctx context.Context, to fleet.Peer, q *fleet.Request, watch bool) (fleet.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if watch {
		timer := time.AfterFunc(pingDelay, func() { p.watchOwner(ctx, cancel, to) })
		defer timer.Stop()
	}
	r, err := p.client.Forward(ctx, to, q)
	if err == nil {
		return r, nil
	}
	if errors.Is(context.Cause(ctx), errOwnerUnresponsive) || !fleet.IsSent(err) && ctx.Err() == nil {
		p.suspect(to, err)
	}
	return r, err
}

// watchOwner pings the owner until ctx ends, and cancels ctx if a ping fails.
func (p *peers) watchOwner(ctx context.Context, cancel context.CancelCauseFunc, to fleet.Peer) {
	for ctx.Err() == nil {
		if err := p.ping(to); err != nil {
			cancel(errOwnerUnresponsive)
			return
		}
		sleep(ctx, pingInterval)
	}
}

// ping pings an owner. Requests that wait for the same owner share one ping.
func (p *peers) ping(to fleet.Peer) error {
	_, err, _ := p.pings.Do(string(to.Host), func() (any, error) {
		ctx, cancel := context.WithTimeout(p.ctx, pingTimeout)
		defer cancel()
		return nil, p.client.Ping(ctx, to)
	})
	return err
}

// suspect marks an owner as a suspect until it answers a ping.
func (p *peers) suspect(to fleet.Peer, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspects[to.Host] || p.ctx.Err() != nil {
		return
	}
	p.suspects[to.Host] = true
	p.scope.Counter("owner_suspected").Inc(1)
	p.log.WithFields(telemetry.Fields{"event": "owner_suspected", "owner": to.Host}).WithError(cause).Warn("owner is unreachable; requests go to the next host in rank")
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.awaitRecovery(to)
	}()
}

func (p *peers) awaitRecovery(to fleet.Peer) {
	for p.ctx.Err() == nil && p.ping(to) != nil {
		sleep(p.ctx, pingInterval)
	}
	p.mu.Lock()
	delete(p.suspects, to.Host)
	p.mu.Unlock()
	p.log.WithFields(telemetry.Fields{"event": "owner_recovered", "owner": to.Host}).Info("owner answers pings again")
}

func (p *peers) close() {
	p.stop()
	p.wg.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
