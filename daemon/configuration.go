package daemon

import (
	"maps"
	mathrand "math/rand/v2"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/membership"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
)

func (d *Daemon) setFollower() {
	d.follower = configstore.NewFollower(configstore.FollowerOptions{
		Store: configstore.NewStore(d.store), Holder: &d.holder,
		Rand:    mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		IsRelay: d.members.isRelay,
		Peers:   d.members.configPeers,
		OnEpoch: d.applyConfiguration,
		Logger:  d.log, Scope: d.metrics.Scope,
	})
	d.members.onPeerEpoch = d.follower.ObserveEpoch
}

// hostChanged updates the catalogue and publishes HostChanged after a change of
// the membership view.
func (d *Daemon) hostChanged(x membership.StateChanged) {
	d.recompile()
	if x.To == 0 {
		return
	}
	if err := kernel.Publish(d.bus, TopicHost, HostChanged{Host: x.Host, From: x.From.String(), To: x.To.String()}); err != nil {
		d.log.WithField("event", "event_lost").WithError(err).Warn("control event could not be published")
	}
}

// applyConfiguration puts a new snapshot into effect in the entry and the owner.
func (d *Daemon) applyConfiguration(a configstore.AppliedEpoch) {
	if err := d.compile(a.Snapshot); err != nil {
		// The operator service validates changes. If a snapshot still doesn't
		// compile, the last valid one stays in effect.
		d.log.WithFields(telemetry.Fields{"event": "configuration_refused", "epoch": a.Snapshot.Epoch}).WithError(err).Error("configuration does not compile; keeping the last valid one")
		return
	}
	d.owner.Reconfigure()
	d.members.setEpoch(a.Snapshot.Epoch)
	d.log.WithFields(telemetry.Fields{"event": "configuration_applied", "epoch": a.Snapshot.Epoch, "confirmed": a.Confirmed}).Info("configuration applied")
	if err := kernel.Publish(d.bus, TopicConfiguration, ConfigurationApplied{Epoch: a.Snapshot.Epoch, Confirmed: a.Confirmed}); err != nil {
		d.log.WithField("event", "event_lost").WithError(err).Warn("control event could not be published")
	}
}

// compile compiles a snapshot and puts its catalogue into effect.
func (d *Daemon) compile(s *snapshot.Snapshot) error {
	d.compileMu.Lock()
	defer d.compileMu.Unlock()
	d.compiledRegions = d.members.view.Load().Regions
	c, err := compile(s, d.settings.Host, d.members)
	if err == nil {
		d.live.current.Store(c)
	}
	return err
}

// recompile rebuilds the catalogue if the known regions of the data centres,
// which determine the order of the pools, have changed since it was compiled.
func (d *Daemon) recompile() {
	d.compileMu.Lock()
	defer d.compileMu.Unlock()
	regions := d.members.view.Load().Regions
	s, current := d.holder.Load(), d.live.current.Load()
	if current == nil || s == nil || s.Epoch != current.epoch || maps.Equal(regions, d.compiledRegions) {
		return
	}
	if c, err := compile(s, d.settings.Host, d.members); err == nil {
		d.compiledRegions = regions
		d.live.current.Store(c)
	}
}

// TopicConfiguration carries ConfigurationApplied.
const TopicConfiguration kernel.Topic = "configuration.applied"

// ConfigurationApplied reports that an epoch is in effect on this host.
type ConfigurationApplied struct {
	Epoch     model.Epoch `json:"epoch"`
	Confirmed bool        `json:"confirmed"`
}
