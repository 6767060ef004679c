package peerrpc

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"

	"github.com/agateusher/agateusher/telemetry"
)

const (
	// MaxMessage bounds one message in bytes: a chunk of 1 MB in base64 with
	// its envelope.
	MaxMessage = 1500 << 10
	// maxHandshake bounds a message before authentication.
	maxHandshake = 4 << 10
	// handshakeTimeout bounds the time to authenticate.
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds one write; a message of MaxMessage takes 0.4 s on a
	// free 30 Mbit/s link.
	writeTimeout = 5 * time.Second
	// serverIdle closes a connection on which nothing arrives; clientIdle is
	// shorter, so that clients close first and lose no request.
	serverIdle = 2 * time.Minute
	clientIdle = time.Minute
)

// counters count the control traffic of this daemon.
type counters struct {
	bytesIn, bytesOut, messagesIn, messagesOut tally.Counter
}

func newCounters(s telemetry.Scope) *counters {
	return &counters{
		bytesIn: s.Counter("peer_bytes_in"), bytesOut: s.Counter("peer_bytes_out"),
		messagesIn: s.Counter("peer_messages_in"), messagesOut: s.Counter("peer_messages_out"),
	}
}

// boundedConn bounds the bytes of a message and the time of each read and
// write, and counts both directions.
type boundedConn struct {
	net.Conn
	counters *counters
	idle     time.Duration
	limit    atomic.Int64
	taken    int64 // bytes of the message being read; used by the reader alone
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	// The limit may rise while a read waits: the handshake ends elsewhere.
	limit := c.limit.Load()
	if c.taken >= limit {
		return 0, ErrTooLarge
	}
	if limit == MaxMessage {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.idle))
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), limit-c.taken)])
	c.taken += int64(n)
	c.counters.bytesIn.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	c.counters.bytesOut.Inc(int64(n))
	return n, err
}

// authenticated lifts the bounds of the handshake.
func (c *boundedConn) authenticated() { c.limit.Store(MaxMessage) }

// stream is the object stream of a bounded connection.
type stream struct {
	jsonrpc2.ObjectStream
	conn *boundedConn
}

func newStream(c net.Conn, n *counters, idle time.Duration) (*stream, *boundedConn) {
	b := &boundedConn{Conn: c, counters: n, idle: idle}
	b.limit.Store(maxHandshake)
	_ = c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	return &stream{ObjectStream: jsonrpc2.NewBufferedStream(b, jsonrpc2.VarintObjectCodec{}), conn: b}, b
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	s.conn.taken = 0
	err := s.ObjectStream.ReadObject(v)
	if err == nil {
		s.conn.counters.messagesIn.Inc(1)
	}
	return err
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error {
	err := s.ObjectStream.WriteObject(v)
	if err == nil {
		s.conn.counters.messagesOut.Inc(1)
	}
	return err
}

// quiet discards the library's own log lines; failures are returned as typed
// errors instead.
type quiet struct{}

// Printf implements jsonrpc2.Logger.
func (quiet) Printf(string, ...any) {}
