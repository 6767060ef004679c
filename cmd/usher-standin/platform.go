package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/agateusher/agateusher/standin"
	"github.com/agateusher/agateusher/standin/backend"
	"github.com/agateusher/agateusher/standin/platform"
	"github.com/agateusher/agateusher/telemetry"
)

// platformStopTimeout limits the graceful stop; pending watches would last longer.
const platformStopTimeout = 500 * time.Millisecond

// platformCommand is the sub-command "platform". It announces its address with
// one standin.Line of kind LinePlatform, then one of kind LineReady.
type platformCommand struct {
	program *program

	Listen     string        `long:"listen" default:"127.0.0.1:0" description:"address of the object API, the host list and their administration"`
	Writes     float64       `long:"writes" default:"300" description:"object writes per second; negative: no limit"`
	Reads      float64       `long:"reads" default:"2000" description:"object reads per second; negative: no limit"`
	WatchLimit time.Duration `long:"watch-limit" default:"30s" description:"longest wait of a watch"`
	HostLag    time.Duration `long:"host-lag" default:"5s" description:"delay until a change of the host list is visible"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	logger, err := c.program.logger()
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return &backend.ServeError{Address: c.Listen, Err: err}
	}
	if err := c.program.announce(standin.Line{Kind: standin.LinePlatform, Address: ln.Addr().String()}); err != nil {
		return err
	}
	if err := c.program.announce(standin.Line{Kind: standin.LineReady}); err != nil {
		return err
	}
	logger.WithFields(telemetry.Fields{"address": ln.Addr().String()}).Info("stand-in platform started")
	err = c.serve(ln)
	logger.WithField("cause", context.Cause(c.program.ctx)).Info("stand-in platform stopped")
	return err
}

func (c *platformCommand) serve(ln net.Listener) error {
	handler := platform.New(platform.Options{
		WritesPerSecond: c.Writes, ReadsPerSecond: c.Reads, WatchLimit: c.WatchLimit, HostLag: c.HostLag,
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(ln) }()
	select {
	case err := <-failed:
		return &backend.ServeError{Address: c.Listen, Err: err}
	case <-c.program.ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), platformStopTimeout)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		_ = server.Close()
	}
	return nil
}
