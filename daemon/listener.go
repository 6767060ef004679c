package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// fleetHeaderFactor multiplies the header limit on the fleet listener, since a
// forwarded request has the caller's headers, each with a name prefix added, and
// the daemon's own.
const fleetHeaderFactor = 4

const (
	// unusedConnGrace is how long a connection may wait for its first request once
	// the server shuts down. A client that opened it for a request sends it at once;
	// others opened it ahead and keep it idle.
	unusedConnGrace = 300 * time.Millisecond
	// unusedConnPoll is the interval between checks for such connections.
	unusedConnPoll = 20 * time.Millisecond
)

// httpServer is an HTTP server with its bound listener.
type httpServer struct {
	name     string
	listener net.Listener
	server   *http.Server

	mu sync.Mutex
	// unused has the connections without a request so far, and when they were
	// accepted.
	unused map[net.Conn]time.Time
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
	l := &httpServer{name: name, listener: listener, unused: map[net.Conn]time.Time{}}
	l.server = &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: lim.HeaderTimeout.Std(),
		ReadTimeout:       lim.ReadTimeout.Std(),
		IdleTimeout:       lim.IdleTimeout.Std(),
		ConnState:         l.trackUnused,
	}
	return l, nil
}

// trackUnused implements http.Server.ConnState.
func (l *httpServer) trackUnused(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateNew {
		l.unused[c] = time.Now()
	} else {
		delete(l.unused, c)
	}
}

// closeUnused closes the connections that have waited for their first request for
// longer than unusedConnGrace.
func (l *httpServer) closeUnused(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, accepted := range l.unused {
		if now.Sub(accepted) > unusedConnGrace {
			_ = c.Close()
		}
	}
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

// shutdown stops accepting and waits for the requests in progress. net/http would
// wait up to 5 s for the first request of each connection.
func (l *httpServer) shutdown(ctx context.Context) error {
	done := make(chan struct{})
	defer close(done)
	go func() {
		ticker := time.NewTicker(unusedConnPoll)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				l.closeUnused(now)
			}
		}
	}()
	return l.server.Shutdown(ctx)
}
