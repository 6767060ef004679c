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
	// MaxMessageBytes limits one message; the largest is a chunk of 1 MB in base64
	// with its envelope.
	MaxMessageBytes = 1500 << 10
	// maxHandshakeBytes limits a message before authentication.
	maxHandshakeBytes = 4 << 10
	// handshakeTimeout limits the time to authenticate.
	handshakeTimeout = 2 * time.Second
	// writeTimeout limits one write; a message of MaxMessageBytes takes 0.4 s on an
	// idle link of 30 Mbit/s.
	writeTimeout = 5 * time.Second
	// serverIdleTimeout is how long a connection stays open on which nothing
	// arrives; clientIdleTimeout is shorter, so that clients close first and lose
	// no request.
	serverIdleTimeout = 2 * time.Minute
	clientIdleTimeout = time.Minute
)

// counters count the bytes and messages that this daemon exchanges with peers.
type counters struct {
	bytesIn, bytesOut, messagesIn, messagesOut tally.Counter
}

func newCounters(s telemetry.Scope) *counters {
	return &counters{
		bytesIn: s.Counter("peer_bytes_in"), bytesOut: s.Counter("peer_bytes_out"),
		messagesIn: s.Counter("peer_messages_in"), messagesOut: s.Counter("peer_messages_out"),
	}
}

// limitedConn limits the bytes of a message and the time of each read and write,
// and counts the bytes in both directions.
type limitedConn struct {
	net.Conn
	counters     *counters
	idleTimeout  time.Duration
	messageLimit atomic.Int64
	messageBytes int64 // bytes read of the current message; used by the reader only
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	// The limit may rise while a read waits, because a client's handshake ends in
	// another goroutine.
	limit := c.messageLimit.Load()
	if c.messageBytes >= limit {
		return 0, ErrTooLarge
	}
	if limit == MaxMessageBytes {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.idleTimeout))
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), limit-c.messageBytes)])
	c.messageBytes += int64(n)
	c.counters.bytesIn.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *limitedConn) Write(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	c.counters.bytesOut.Inc(int64(n))
	return n, err
}

// liftHandshakeLimits replaces the limits of the handshake by those of an
// authenticated connection.
func (c *limitedConn) liftHandshakeLimits() { c.messageLimit.Store(MaxMessageBytes) }

// stream is the object stream of a limitedConn. It counts messages.
type stream struct {
	jsonrpc2.ObjectStream
	conn *limitedConn
}

func newStream(c net.Conn, n *counters, idle time.Duration) (*stream, *limitedConn) {
	b := &limitedConn{Conn: c, counters: n, idleTimeout: idle}
	b.messageLimit.Store(maxHandshakeBytes)
	_ = c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	return &stream{ObjectStream: jsonrpc2.NewBufferedStream(b, jsonrpc2.VarintObjectCodec{}), conn: b}, b
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	s.conn.messageBytes = 0
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

// discardLogger discards the log lines of the jsonrpc2 library; failures are
// returned as typed errors instead.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
