package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/telemetry"
)

// hostListInterval is the time between reads of the platform's host list.
const hostListInterval = time.Second

// hostView is one version of the host list.
type hostView struct {
	hosts   map[model.HostID]objectapi.Host
	live    map[model.DataCentre][]model.HostID
	regions map[model.DataCentre]model.Region
}

// hostList follows the platform's host list.
type hostList struct {
	store   objectapi.Store
	log     telemetry.Logger
	current atomic.Pointer[hostView]
}

func newHostList(store objectapi.Store, log telemetry.Logger) *hostList {
	l := &hostList{store: store, log: log}
	l.current.Store(&hostView{})
	return l
}

func (l *hostList) run(ctx context.Context) error {
	for {
		l.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(hostListInterval):
		}
	}
}

func (l *hostList) refresh(ctx context.Context) {
	hosts, err := l.store.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			l.log.WithField("event", "host_list_failed").WithError(err).Warn("cannot read the host list; keeping the last one")
		}
		return
	}
	v := &hostView{hosts: map[model.HostID]objectapi.Host{}, live: map[model.DataCentre][]model.HostID{}, regions: map[model.DataCentre]model.Region{}}
	for _, h := range hosts {
		v.hosts[h.ID] = h
		v.regions[h.DataCentre] = h.Region
		if h.State == objectapi.HostLive {
			v.live[h.DataCentre] = append(v.live[h.DataCentre], h.ID)
		}
	}
	l.current.Store(v)
}

// Owners implements entry.Directory.
func (l *hostList) Owners(id model.PoolID, n int) []fleet.Peer {
	v := l.current.Load()
	ranked := ranking.Top(id.String(), v.live[id.DataCentre], n)
	list := make([]fleet.Peer, len(ranked))
	for i, h := range ranked {
		list[i] = fleet.Peer{Host: h, Address: v.hosts[h].FleetAddress}
	}
	return list
}

// Peer implements entry.Directory.
func (l *hostList) Peer(id model.HostID) (fleet.Peer, model.DataCentre, bool) {
	h, ok := l.current.Load().hosts[id]
	return fleet.Peer{Host: id, Address: h.FleetAddress}, h.DataCentre, ok
}

// Successor implements entry.Directory.
func (l *hostList) Successor(model.Incarnation) (model.HostID, bool) { return "", false }

// Region implements Locator.
func (l *hostList) Region(dc model.DataCentre) model.Region { return l.current.Load().regions[dc] }
