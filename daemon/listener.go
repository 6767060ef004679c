package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// fleetHeaderFactor multiplies the header limit on the fleet listener, since a
// forwarded request has the caller's headers, each with a name prefix added, and
// the daemon's own.
const fleetHeaderFactor = 4

// httpServer is an HTTP server with its bound listener.
type httpServer struct {
	name     string
	listener net.Listener
	server   *http.Server
}

func newHTTPServer(name, address string, h http.Handler, lim LimitSettings) (*httpServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	maxHeader := lim.MaxHeaderBytes
	if name == "fleet" {
		maxHeader *= fleetHeaderFactor
	}
	return &httpServer{name: name, listener: listener, server: &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: lim.HeaderTimeout.Std(),
		ReadTimeout:       lim.ReadTimeout.Std(),
		IdleTimeout:       lim.IdleTimeout.Std(),
	}}, nil
}

// run serves until ctx ends. By then drain has waited for the requests in
// progress.
func (l *httpServer) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	err := l.server.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// disableKeepAlives makes the server close each connection after its next
// response, so that clients reconnect elsewhere without losing a request.
func (l *httpServer) disableKeepAlives() { l.server.SetKeepAlivesEnabled(false) }

// shutdown stops accepting and waits for the requests in progress.
func (l *httpServer) shutdown(ctx context.Context) error { return l.server.Shutdown(ctx) }
