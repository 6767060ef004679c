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
	// writeGrace is added to the call timeouts to form the server's write
	// timeout, so that there is time to send the error of a call that timed out.
	// The connection of a caller that reads its response more slowly is closed.
	writeGrace = 5 * time.Second
	// maxHeaderBytes is far more than a call needs: its headers have about 500
	// bytes.
	maxHeaderBytes = 32 << 10
)

// errStopping is reported by the ready endpoint during shutdown.
var errStopping = errors.New("the server is stopping")

// StopError reports that calls were interrupted because they were still running
// when the stop timeout expired.
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

// Server runs usher-api once. Use NewServer to create one.
type Server struct {
	settings Settings
	log      telemetry.Logger
	listener net.Listener
	http     *http.Server
	api      *objectapi.Client
	fleet    *operator.AdminFleet
	stopping atomic.Bool
}

// NewServer creates a server and opens its listener. The object API need not be
// reachable: calls that use it fail with a typed error until it is.
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

// ready returns an error during shutdown only. It ignores failures of the object
// API, because the typed error of a call tells operators more than a server that
// is not ready.
func (v *Server) ready(context.Context) error {
	if v.stopping.Load() {
		return errStopping
	}
	return nil
}

// Address returns the address that the server listens on.
func (v *Server) Address() string { return v.listener.Addr().String() }

// Run serves until ctx is done and then shuts down gracefully: it reports that it
// is not ready, continues to accept calls for the notice period, and waits for the
// running calls. It returns a *StopError if it had to interrupt calls.
func (v *Server) Run(ctx context.Context) error {
	v.log.WithFields(telemetry.Fields{"event": "listening", "address": v.Address()}).Info("usher-api started")
	failed := make(chan error, 1)
	go func() { failed <- v.http.Serve(v.listener) }()
	collectorCtx, stopCollector := context.WithCancel(ctx)
	collectorDone := v.startCollector(collectorCtx)
	defer func() {
		stopCollector()
		<-collectorDone
	}()
	select {
	case err := <-failed:
		return fmt.Errorf("operator listener: %w", err)
	case <-ctx.Done():
	}
	return v.stop()
}

// startCollector starts the garbage collection of configuration chunks that are no
// longer in use. It runs until ctx is done; the returned channel is closed when it
// has stopped. It runs in usher-api because daemons only read the configuration.
func (v *Server) startCollector(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	task := configstore.NewCollector(configstore.NewStore(v.api), configstore.CollectorOptions{Logger: v.log}).Task()
	go func() {
		defer close(done)
		// The collector logs its failures and continues.
		_ = task.Run(ctx)
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
		// The error of Shutdown is returned; that of Close adds nothing to it.
		_ = v.http.Close()
		err = &StopError{Timeout: timeout, Err: err}
	}
	v.fleet.Close()
	v.api.Close()
	v.log.WithField("event", "stopped").Info("usher-api stopped")
	return err
}
