package apiserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/operator"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// writeGrace is left for writing the error of a call that timed out. A
	// caller that reads its response more slowly than that is cut off.
	writeGrace = 5 * time.Second
	// maxHeaderBytes is far above the headers of a call, some 500 bytes.
	maxHeaderBytes = 32 << 10
)

// errStopping: the server no longer wants calls.
var errStopping = errors.New("the server is stopping")

// StopError reports calls that were still running when the stop timeout ended
// and were interrupted.
type StopError struct {
	Timeout time.Duration
	Err     error
}

// Error implements error.
func (e *StopError) Error() string {
	return fmt.Sprintf("calls still running after %s were interrupted: %v", e.Timeout, e.Err)
}

// Unwrap returns the cause.
func (e *StopError) Unwrap() error { return e.Err }

// Server is one run of usher-api. Use NewServer.
type Server struct {
	settings Settings
	log      telemetry.Logger
	listener net.Listener
	http     *http.Server
	api      *objectapi.Client
	fleet    *operator.AdminFleet
	stopping atomic.Bool
}

// NewServer opens the listener. The object API is not needed for that: calls
// that need it fail with a typed error until it can be reached.
func NewServer(s Settings, log telemetry.Logger) (*Server, error) {
	api, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: s.Platform.URL, Timeout: s.Platform.Timeout.Std()})
	if err != nil {
		return nil, err
	}
	hosts := hostLister(s.Hosts, api)
	reports, err := newReports(s.Report, api, hosts)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.Listener)
	if err != nil {
		return nil, fmt.Errorf("operator listener: %w", err)
	}
	v := &Server{settings: s, log: log, listener: listener, api: api}
	v.fleet = operator.NewAdminFleet(hosts, s.Hosts.AdminTimeout.Std())
	v.http = &http.Server{
		Handler:           operator.NewHandler(v.options(reports)),
		ReadHeaderTimeout: s.Limits.HeaderTimeout.Std(),
		ReadTimeout:       s.Limits.ReadTimeout.Std(),
		IdleTimeout:       s.Limits.IdleTimeout.Std(),
		WriteTimeout:      max(s.Limits.CallTimeout, s.Limits.ReportTimeout).Std() + writeGrace,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return v, nil
}

func (v *Server) options(reports operator.Reports) operator.Options {
	return operator.Options{
		Store:           operator.NewConfigStore(configstore.NewStore(v.api)),
		Fleet:           v.fleet,
		Reports:         reports,
		CheckLayout:     checkLayout,
		Tokens:          v.settings.Tokens,
		Log:             v.log,
		MaxRequestBytes: v.settings.Limits.MaxRequestBytes,
		CallTimeout:     v.settings.Limits.CallTimeout.Std(),
		ReportTimeout:   v.settings.Limits.ReportTimeout.Std(),
		Ready:           v.ready,
	}
}

// ready does not depend on the object API: without it calls fail with a typed
// error, which tells operators more than a missing server.
func (v *Server) ready(context.Context) error {
	if v.stopping.Load() {
		return errStopping
	}
	return nil
}

// Address returns the address that the server listens on.
func (v *Server) Address() string { return v.listener.Addr().String() }

// Run serves until ctx ends and then stops gracefully: it says that it is not
// ready, goes on accepting calls for the notice time, and waits for the last
// call. It returns a *StopError if calls had to be interrupted.
func (v *Server) Run(ctx context.Context) error {
	v.log.WithFields(telemetry.Fields{"event": "listening", "address": v.Address()}).Info("usher-api started")
	failed := make(chan error, 1)
	go func() { failed <- v.http.Serve(v.listener) }()
	collectCtx, stopCollecting := context.WithCancel(ctx)
	collecting := v.collect(collectCtx)
	defer func() {
		stopCollecting()
		<-collecting
	}()
	select {
	case err := <-failed:
		return fmt.Errorf("operator listener: %w", err)
	case <-ctx.Done():
	}
	return v.stop()
}

// collect removes the chunks that changes leave behind, until ctx ends. It runs
// here because daemons only read the configuration.
func (v *Server) collect(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	duty := configstore.NewCollector(configstore.NewStore(v.api), configstore.CollectorOptions{Logger: v.log}).Task()
	go func() {
		defer close(done)
		// The collector logs its failures and goes on.
		_ = duty.Run(ctx)
	}()
	return done
}

func (v *Server) stop() error {
	v.stopping.Store(true)
	v.log.WithField("event", "stopping").Info("usher-api is stopping")
	time.Sleep(v.settings.Stop.Notice.Std())
	timeout := v.settings.Stop.Timeout.Std()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := v.http.Shutdown(ctx)
	if err != nil {
		// Shutdown's own error says enough about the cause.
		_ = v.http.Close()
		err = &StopError{Timeout: timeout, Err: err}
	}
	v.fleet.Close()
	v.api.Close()
	v.log.WithField("event", "stopped").Info("usher-api stopped")
	return err
}
