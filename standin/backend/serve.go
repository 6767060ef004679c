package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// shutdownTimeout limits a graceful stop. Requests stalled by a fault would
// otherwise never end.
const shutdownTimeout = 2 * time.Second

// ServeError reports that a server could not listen or serve.
type ServeError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ServeError) Error() string { return fmt.Sprintf("serve on %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Err }

// Serve accepts connections up to the limit until ctx ends, then waits up to
// shutdownTimeout for requests in progress and returns nil. It closes ln. Errors
// are *ServeError.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	limited := &limitedListener{Listener: ln, server: s}
	return serveUntil(ctx, limited, s)
}

// serveUntil serves handler on ln until ctx ends and stops gracefully.
func serveUntil(ctx context.Context, ln net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(ln) }()
	select {
	case err := <-failed:
		return &ServeError{Address: ln.Addr().String(), Err: err}
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(stop); err != nil {
		_ = server.Close()
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return &ServeError{Address: ln.Addr().String(), Err: err}
	}
	return nil
}

// limitedListener closes connections over the server's limit.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limit := int64(l.server.options.Connections)
		if open := l.server.openConnections.Add(1); limit > 0 && open > limit {
			l.server.openConnections.Add(-1)
			l.server.refusedConnections.Add(1)
			_ = conn.Close()
			continue
		}
		var once sync.Once
		release := func() { once.Do(func() { l.server.openConnections.Add(-1) }) }
		return &countedConn{Conn: conn, delay: l.server.options.ConnectDelay, release: release}, nil
	}
}
