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
		Peers:   d.members.peers,
		OnEpoch: d.configured,
		Logger:  d.log, Scope: d.metrics.Scope,
	})
	d.members.notice = d.follower.ObserveEpoch
}

// hostChanged reacts to a change of the membership view.
func (d *Daemon) hostChanged(x membership.StateChanged) {
	d.recompile()
	if x.To == 0 {
		return
	}
	if err := kernel.Publish(d.bus, TopicHost, HostChanged{Host: x.Host, From: x.From.String(), To: x.To.String()}); err != nil {
		d.log.WithField("event", "event_lost").WithError(err).Warn("control event could not be published")
	}
}

// configured puts a new snapshot in force in both roles.
func (d *Daemon) configured(a configstore.AppliedEpoch) {
	if err := d.compile(a.Snapshot); err != nil {
		// The operator service validates changes; a snapshot that does not
		// compile is kept out, so that the last good one goes on.
		d.log.WithFields(telemetry.Fields{"event": "configuration_refused", "epoch": a.Snapshot.Epoch}).WithError(err).Error("configuration does not compile")
		return
	}
	d.owner.Reconfigure()
	d.members.setEpoch(a.Snapshot.Epoch)
	d.log.WithFields(telemetry.Fields{"event": "configuration_applied", "epoch": a.Snapshot.Epoch, "confirmed": a.Confirmed}).Info("configuration is in force")
	if err := kernel.Publish(d.bus, TopicConfiguration, ConfigurationApplied{Epoch: a.Snapshot.Epoch, Confirmed: a.Confirmed}); err != nil {
		d.log.WithField("event", "event_lost").WithError(err).Warn("control event could not be published")
	}
}

// compile puts the catalogue of a snapshot in force.
func (d *Daemon) compile(s *snapshot.Snapshot) error {
	d.compileMu.Lock()
	defer d.compileMu.Unlock()
	d.regions = d.members.view.Load().Regions
	c, err := compile(s, d.settings.Host, d.members)
	if err == nil {
		d.live.current.Store(c)
	}
	return err
}

// recompile renews the catalogue if the regions of the data centres, which
// order the pools, are known better than when it was compiled.
func (d *Daemon) recompile() {
	d.compileMu.Lock()
	defer d.compileMu.Unlock()
	regions := d.members.view.Load().Regions
	s, current := d.holder.Load(), d.live.current.Load()
	if current == nil || s == nil || s.Epoch != current.epoch || maps.Equal(regions, d.regions) {
		return
	}
	if c, err := compile(s, d.settings.Host, d.members); err == nil {
		d.regions = regions
		d.live.current.Store(c)
	}
}

// TopicConfiguration carries ConfigurationApplied.
const TopicConfiguration kernel.Topic = "configuration.applied"

// ConfigurationApplied says that an epoch is in force on this host.
type ConfigurationApplied struct {
	Epoch     model.Epoch `json:"epoch"`
	Confirmed bool        `json:"confirmed"`
}
