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
	// silenceCheckAfter is how long a forwarded request waits before its owner
	// is pinged. It is above the usual time of a lookup, so that pings cost
	// nothing in normal work.
	silenceCheckAfter = 150 * time.Millisecond
	// pingTimeout bounds a ping; the hop inside a data centre takes 1 ms. With
	// silenceCheckAfter it keeps the detection of a silent owner under 500 ms.
	pingTimeout = 250 * time.Millisecond
	// pingInterval is the time between pings of one owner.
	pingInterval = 200 * time.Millisecond
)

// errOwnerSilent is the cause of a forward that was given up because its owner
// answers no pings.
var errOwnerSilent = errors.New("owner answers no pings")

// fleetOwner does forwarded requests.
type fleetOwner interface {
	Do(ctx context.Context, q *fleet.Request) fleet.Response
	IssueKeys(q fleet.KeysRequest) fleet.KeysResponse
}

// peers forwards requests to owners and keeps the list of owners that are
// suspected because they refused connections or answer no pings. A suspect
// stays out until a ping succeeds.
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

// order puts suspects last, so that they are used only if nothing else is left.
func (p *peers) order(list []fleet.Peer) []fleet.Peer {
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

// usable says whether a host is not suspected.
func (p *peers) usable(id model.HostID) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return !p.suspects[id]
}

// forward passes a request to an owner. With watch, it gives up when the owner
// answers no pings.
func (p *peers) forward(ctx context.Context, to fleet.Peer, q *fleet.Request, watch bool) (fleet.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if watch {
		timer := time.AfterFunc(silenceCheckAfter, func() { p.watchOwner(ctx, cancel, to) })
		defer timer.Stop()
	}
	r, err := p.client.Forward(ctx, to, q)
	if err == nil {
		return r, nil
	}
	if errors.Is(context.Cause(ctx), errOwnerSilent) || !fleet.IsSent(err) && ctx.Err() == nil {
		p.suspect(to, err)
	}
	return r, err
}

// watchOwner pings the owner until ctx ends, and cancels it when a ping fails.
func (p *peers) watchOwner(ctx context.Context, cancel context.CancelCauseFunc, to fleet.Peer) {
	for ctx.Err() == nil {
		if err := p.ping(to); err != nil {
			cancel(errOwnerSilent)
			return
		}
		sleep(ctx, pingInterval)
	}
}

// ping shares one ping between all requests that wait for the same owner.
func (p *peers) ping(to fleet.Peer) error {
	_, err, _ := p.pings.Do(string(to.Host), func() (any, error) {
		ctx, cancel := context.WithTimeout(p.ctx, pingTimeout)
		defer cancel()
		return nil, p.client.Ping(ctx, to)
	})
	return err
}

// suspect keeps requests away from an owner until it answers a ping.
func (p *peers) suspect(to fleet.Peer, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspects[to.Host] || p.ctx.Err() != nil {
		return
	}
	p.suspects[to.Host] = true
	p.scope.Counter("owner_suspected").Inc(1)
	p.log.WithFields(telemetry.Fields{"event": "owner_suspected", "owner": to.Host}).WithError(cause).Warn("owner is unreachable; using the next host in rank")
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
	p.log.WithFields(telemetry.Fields{"event": "owner_recovered", "owner": to.Host}).Info("owner answers again")
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
