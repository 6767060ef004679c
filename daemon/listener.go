package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// maxFleetHeader bounds headers between daemons: the caller's own, once more
// with our prefix, and ours.
const maxFleetHeader = 4

// listener is one HTTP server with its bound address.
type listener struct {
	name   string
	socket net.Listener
	server *http.Server
}

func newListener(name, address string, h http.Handler, lim LimitSettings) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	maxHeader := lim.MaxHeaderBytes
	if name == "fleet" {
		maxHeader *= maxFleetHeader
	}
	return &listener{name: name, socket: socket, server: &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: lim.HeaderTimeout.Std(),
		ReadTimeout:       lim.ReadTimeout.Std(),
		IdleTimeout:       lim.IdleTimeout.Std(),
	}}, nil
}

// run serves until ctx ends. drain has then already waited for the requests.
func (l *listener) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	err := l.server.Serve(l.socket)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// closeIdle makes the server close each connection after its next answer, so
// that clients move away without losing a request.
func (l *listener) closeIdle() { l.server.SetKeepAlivesEnabled(false) }

// shutdown stops accepting and waits for the requests in progress.
func (l *listener) shutdown(ctx context.Context) error { return l.server.Shutdown(ctx) }
