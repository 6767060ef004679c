package fleet

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// countingConn counts the bytes written to it, so that a failed exchange is
// known to have sent nothing.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn. Bytes count before they are written, since a
// failed write may have passed on a part.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// TransportOptions bounds the connections of a transport.
type TransportOptions struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// MaxConnsPerHost bounds connections to one address; zero: no bound.
	MaxConnsPerHost int
	// MaxIdlePerHost bounds idle connections to one address.
	MaxIdlePerHost int
}

// NewTransport returns an HTTP transport whose exchanges can be watched with
// WatchSend. Responses are not decompressed and proxies from the environment
// are ignored.
func NewTransport(o TransportOptions) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		IdleConnTimeout:     o.IdleTimeout,
		MaxConnsPerHost:     o.MaxConnsPerHost,
		MaxIdleConnsPerHost: o.MaxIdlePerHost,
		DisableCompression:  true,
	}
}

// SendWatch tells whether any byte of one exchange may have left this process.
type SendWatch struct {
	conn   atomic.Pointer[countingConn]
	before atomic.Int64
	// earlier is set if an earlier connection of the exchange sent something.
	earlier atomic.Bool
}

// WatchSend returns a context for one request of a transport made by
// NewTransport, and its watch.
func WatchSend(ctx context.Context) (context.Context, *SendWatch) {
	w := &SendWatch{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn}), w
}

// Sent reports whether any byte may have been sent. A connection of another
// type counts as sent, to stay on the safe side.
func (w *SendWatch) Sent() bool {
	if w.earlier.Load() {
		return true
	}
	c := w.conn.Load()
	return c != nil && c.written.Load() > w.before.Load()
}

func (w *SendWatch) gotConn(info httptrace.GotConnInfo) {
	if w.Sent() {
		w.earlier.Store(true)
	}
	c, ok := info.Conn.(*countingConn)
	if !ok {
		w.earlier.Store(true)
		return
	}
	w.before.Store(c.written.Load())
	w.conn.Store(c)
}
