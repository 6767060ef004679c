package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/tailscale/hujson"
	"golang.org/x/sync/errgroup"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/standin"
	"github.com/agateusher/agateusher/standin/backend"
	"github.com/agateusher/agateusher/telemetry"
)

// backendsCommand is the sub-command "backends".
type backendsCommand struct {
	program *program

	Listen  string `long:"listen" default:"127.0.0.1:0" description:"address of every server; port 0 chooses a free one for each"`
	Admin   string `long:"admin" default:"127.0.0.1:0" description:"address of the administration of all servers"`
	Objects string `long:"objects" description:"take identifiers, slots and connections from this objects file"`

	Count      int    `long:"count" default:"4" description:"number of servers, without --objects"`
	Prefix     string `long:"prefix" default:"server" description:"prefix of their identifiers, without --objects"`
	Service    string `long:"service" description:"service label, without --objects"`
	DataCentre string `long:"data-centre" description:"data centre label, without --objects"`

	Slots        int           `long:"slots" default:"2" description:"slots of a server, without --objects"`
	Connections  int           `long:"connections" default:"400" description:"connection limit of a server, without --objects; 0: none"`
	Queue        int           `long:"queue" default:"0" description:"requests that may wait for a slot; others are shed"`
	QueueWait    time.Duration `long:"queue-wait" default:"0s" description:"longest wait for a slot; 0: no bound"`
	Distribution string        `long:"distribution" default:"exponential" choice:"exponential" choice:"lognormal" choice:"fixed" description:"distribution of service times"`
	Mean         time.Duration `long:"mean" default:"20ms" description:"mean service time"`
	Sigma        float64       `long:"sigma" default:"0.8" description:"spread of the lognormal distribution"`
	ColdStart    time.Duration `long:"cold-start" default:"0s" description:"time after the start during which service times are longer"`
	ColdFactor   float64       `long:"cold-factor" default:"1" description:"factor on service times at the start"`
	ConnectDelay time.Duration `long:"connect-delay" default:"0s" description:"delay of each new connection"`
	ProbeDelay   time.Duration `long:"probe-delay" default:"0s" description:"time that /health and /load take"`
	Health       string        `long:"health" default:"honest" choice:"honest" choice:"lagging" choice:"always-good" choice:"always-bad" description:"truthfulness of /health and /load"`
	HealthLag    time.Duration `long:"health-lag" default:"5s" description:"age of /health and /load with --health=lagging"`
	IgnoreClose  bool          `long:"ignore-close" description:"run requests to their end after their connection closed"`
	CancelDelay  time.Duration `long:"cancel-delay" default:"0s" description:"time that a cancelled request still occupies its slot"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of service times and random faults"`
}

// Execute implements flags.Commander.
func (c *backendsCommand) Execute([]string) error {
	logger, err := c.program.logger()
	if err != nil {
		return err
	}
	options, err := c.options()
	if err != nil {
		return err
	}
	group, err := backend.NewGroup(c.Listen, options)
	if err != nil {
		return err
	}
	admin, err := net.Listen("tcp", c.Admin)
	if err != nil {
		return &backend.ServeError{Address: c.Admin, Err: err}
	}
	if err := c.announce(group, admin); err != nil {
		return err
	}
	logger.WithFields(telemetry.Fields{"servers": len(options), "admin": admin.Addr().String()}).Info("stand-in backend servers started")
	serving, ctx := errgroup.WithContext(c.program.ctx)
	serving.Go(func() error { return group.Serve(ctx) })
	serving.Go(func() error { return group.ServeAdmin(ctx, admin) })
	err = serving.Wait()
	logger.WithField("cause", context.Cause(ctx)).Info("stand-in backend servers stopped")
	return err
}

func (c *backendsCommand) announce(g *backend.Group, admin net.Listener) error {
	for _, l := range g.Listings() {
		if err := c.program.announce(standin.Line{Kind: standin.LineBackend, ID: l.ID, Service: l.Service, DataCentre: l.DataCentre, Address: l.Address}); err != nil {
			return err
		}
	}
	if err := c.program.announce(standin.Line{Kind: standin.LineAdmin, Address: admin.Addr().String()}); err != nil {
		return err
	}
	return c.program.announce(standin.Line{Kind: standin.LineReady})
}

// options returns one set of options for each server.
func (c *backendsCommand) options() ([]backend.Options, error) {
	servers, err := c.servers()
	if err != nil {
		return nil, err
	}
	list := make([]backend.Options, len(servers))
	for i, s := range servers {
		list[i] = backend.Options{
			ID: s.ID, Service: s.Service, DataCentre: s.DataCentre, Slots: s.Slots, Connections: s.Connections,
			QueueLimit: c.Queue, QueueWait: c.QueueWait,
			ServiceTime: backend.Distribution{Kind: backend.DistributionKind(c.Distribution), Mean: c.Mean, Sigma: c.Sigma},
			ColdStart:   c.ColdStart, ColdFactor: c.ColdFactor,
			ConnectDelay: c.ConnectDelay, ProbeDelay: c.ProbeDelay,
			Health: backend.HealthMode(c.Health), HealthLag: c.HealthLag,
			IgnoreClose: c.IgnoreClose, CancelDelay: c.CancelDelay,
			Seed: c.Seed + uint64(i),
		}
	}
	return list, nil
}

func (c *backendsCommand) servers() ([]snapshot.Server, error) {
	if c.Objects == "" {
		servers := make([]snapshot.Server, c.Count)
		for i := range servers {
			servers[i] = snapshot.Server{
				ID:      model.ServerID(fmt.Sprintf("%s-%d", c.Prefix, i+1)),
				Service: model.ServiceName(c.Service), DataCentre: model.DataCentre(c.DataCentre),
				Slots: c.Slots, Connections: c.Connections,
			}
		}
		return servers, nil
	}
	data, err := os.ReadFile(c.Objects)
	if err != nil {
		return nil, fmt.Errorf("objects file: %w", err)
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("objects file %s: %w", c.Objects, err)
	}
	var objects snapshot.Objects
	if err := json.Unmarshal(standard, &objects); err != nil {
		return nil, fmt.Errorf("objects file %s: %w", c.Objects, err)
	}
	return objects.Servers, nil
}
