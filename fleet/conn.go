package fleet

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/agateusher/agateusher/internal/stricthttp"
)

// countingConn counts the bytes written to it, which shows whether a failed
// exchange has sent nothing.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn. Bytes are counted before they are written, since a
// failed write may have sent some of them.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// NetConn returns the connection that c wraps.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

// TransportOptions limits the connections of a transport.
type TransportOptions struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// MaxConnsPerHost limits connections to one address; zero means no limit.
	MaxConnsPerHost int
	// MaxIdlePerHost limits idle connections to one address.
	MaxIdlePerHost int
	// MaxHeadBytes limits the head of a response; zero: stricthttp.MaxHeadBytes.
	MaxHeadBytes int64
}

// NewTransport returns an HTTP transport whose exchanges can be tracked with
// WatchSend. It does not decompress responses and ignores proxies configured in
// the environment.
func NewTransport(o TransportOptions) *stricthttp.Transport {
	return newTransport(o, (&net.Dialer{Timeout: o.DialTimeout}).DialContext)
}

func newTransport(o TransportOptions, dial stricthttp.DialFunc) *stricthttp.Transport {
	dial = stricthttp.DetectResets(dial)
	if o.MaxHeadBytes == 0 {
		o.MaxHeadBytes = stricthttp.MaxHeadBytes
	}
	return &stricthttp.Transport{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		IdleConnTimeout:        o.IdleTimeout,
		MaxConnsPerHost:        o.MaxConnsPerHost,
		MaxIdleConnsPerHost:    o.MaxIdlePerHost,
		MaxResponseHeaderBytes: o.MaxHeadBytes,
		DisableCompression:     true,
	}}
}

// SendWatch records whether any byte of one exchange may have left this process.
type SendWatch struct {
	conn atomic.Pointer[countingConn]
	// writtenBefore is the byte count of conn when the exchange got it.
	writtenBefore atomic.Int64
	// sentEarlier is set if an earlier connection of the exchange sent something
	// or a connection does not count its bytes.
	sentEarlier atomic.Bool
}

// WatchSend returns a context for one request of a transport made by
// NewTransport, and the SendWatch of that request.
func WatchSend(ctx context.Context) (context.Context, *SendWatch) {
	w := &SendWatch{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn}), w
}

// Sent reports whether any byte may have been sent. It returns true if the request
// used a connection that does not count its bytes.
func (w *SendWatch) Sent() bool {
	if w.sentEarlier.Load() {
		return true
	}
	c := w.conn.Load()
	return c != nil && c.written.Load() > w.writtenBefore.Load()
}

func (w *SendWatch) gotConn(info httptrace.GotConnInfo) {
	if w.Sent() {
		w.sentEarlier.Store(true)
	}
	c, ok := info.Conn.(*countingConn)
	if !ok {
		w.sentEarlier.Store(true)
		return
	}
	w.writtenBefore.Store(c.written.Load())
	w.conn.Store(c)
}
