package edge

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/reuse"
	"github.com/agateusher/agateusher/internal/stricthttp"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 2
	// idleConnsPerMiB of the process's memory, between minIdleConns and maxIdleConns,
	// bound the idle connections. One takes about 20 KB, and the smallest host has
	// 2,870 descriptors.
	idleConnsPerMiB = 0.5
	minIdleConns    = 16
	maxIdleConns    = 256
	// maxCarried is the number of requests after which a connection is closed. Their IDs
	// take 8 KB.
	maxCarried = 1000
	// A reused connection whose data is not acknowledged within silentFactor times the
	// limit of a dial is broken by the kernel: its path is silent.
	silentFactor = 2
	// staleFactor times the limit of a dial is how long after the request a reset of a
	// reused connection is taken for that of an idle one rather than a server's failure.
	staleFactor = 3
)

// connReuse says which idle connections a request may be sent on.
type connReuse uint8

const (
	// newConnection: none.
	newConnection connReuse = iota
	// recentConnection: those that were in use a moment ago.
	recentConnection
	// idleConnection: those that the server has probably not closed yet. A failure is
	// repaired by sending the request again.
	idleConnection
)

// Uses of connections to servers, as counted in metrics.
const (
	connOpened = "opened"
	connReused = "reused"
	connStale  = "stale"
)

// serverConns opens connections to backend servers and keeps idle ones. Each is used
// through http.ClientConn, which never opens another connection nor sends a request again
// by itself. It is safe for concurrent use.
type serverConns struct {
	sameRegion, crossRegion *http.Transport
	uses                    *telemetry.CounterVec

	mu   sync.Mutex
	pool *reuse.Pool[balance.ServerKey, *serverConn]
}

func newServerConns(memoryMiB int, uses *telemetry.CounterVec) *serverConns {
	limit := min(max(int(idleConnsPerMiB*float64(memoryMiB)), minIdleConns), maxIdleConns)
	return &serverConns{
		sameRegion: newTransport(newDialer(sameRegionDialTimeout)), crossRegion: newTransport(newDialer(crossRegionDialTimeout)), uses: uses,
		pool: reuse.NewPool[balance.ServerKey, *serverConn](limit, maxIdlePerServer),
	}
}

func newDialer(timeout time.Duration) stricthttp.DialFunc {
	return (&net.Dialer{Timeout: timeout, KeepAlive: -1}).DialContext
}

func newTransport(dial stricthttp.DialFunc) *http.Transport {
	dial = stricthttp.DetectResets(dial)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			watched := &watchedConn{Conn: c}
			if into, ok := ctx.Value(watchedConnKey{}).(**watchedConn); ok {
				*into = watched
			}
			return watched, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: stricthttp.MaxHeadBytes,
	}
}

// watchedConnKey is the key of the context value through which a dial returns its
// connection.
type watchedConnKey struct{}

// watchedConn counts the bytes of a connection.
type watchedConn struct {
	net.Conn
	written, received atomic.Int64
	// reads is odd while a Read is in progress.
	reads atomic.Uint64
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.reads.Add(1)
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	c.reads.Add(1)
	return n, err
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// NetConn returns the connection that c wraps.
func (c *watchedConn) NetConn() net.Conn { return c.Conn }

// control calls f with the file descriptor, if the connection has one and is open.
func (c *watchedConn) control(f func(fd int)) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { f(int(fd)) })
		}
	}
}

// idleState is what is known of a connection that should be idle.
type idleState uint8

const (
	idleClean  idleState = iota
	idleClosed           // closed, or not yet read to the end of the last response
	idleBytes            // the server sent bytes that belong to no request
)

// state checks for bytes that nobody asked for and for the end of the connection, also
// those that the kernel has received and nobody has read.
func (c *watchedConn) state(receivedBefore int64) idleState {
	before := c.reads.Load()
	state := idleClosed
	c.control(func(fd int) {
		var b [1]byte
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = idleBytes
		case err == unix.EAGAIN:
			state = idleClean
		}
	})
	switch {
	case state == idleBytes || c.received.Load() != receivedBefore:
		return idleBytes
	case before%2 == 0 || c.reads.Load() != before:
		return idleClosed
	}
	return state
}

// silence returns the time since the kernel received the last bytes. A process that was
// frozen meanwhile has read them later.
func (c *watchedConn) silence() (since time.Duration) {
	c.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}

// setSilentLimit sets after how long without an acknowledgement the kernel breaks the
// connection; zero: its default.
func (c *watchedConn) setSilentLimit(d time.Duration) {
	c.control(func(fd int) {
		// Without the option, the path's silence is noticed by the hedge and the deadline.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// serverConn is a connection to a backend server.
type serverConn struct {
	*http.ClientConn
	socket *watchedConn
	server balance.ServerKey
	// dialTimeout is the limit of a dial to the server.
	dialTimeout time.Duration
	// reused is set from the second request on; idle is the time before the present one.
	reused bool
	idle   time.Duration
	// written and received are the bytes before the present request, at sentAt.
	written, received int64
	sentAt            time.Time
	silentLimit       time.Duration
	// carried has the hashes of the IDs of the requests so far.
	carried []uint64
	// dirty is set if bytes that belong to no request were found.
	dirty bool
}

// get returns a connection for one request with an ID: an idle one that it may be sent on, or
// a new one. An earlier attempt of the request was on another connection: there, a late
// duplicate of the earlier response has the same ID as the one to this attempt.
func (s *serverConns) get(ctx context.Context, server balance.Server, crossRegion bool, r connReuse, id model.RequestID) (*serverConn, error) {
	hash := xxhash.Sum64String(string(id))
	c := s.takeIdle(server.Key, r, hash)
	if c == nil {
		var err error
		if c, err = s.open(ctx, server, crossRegion); err != nil {
			s.drop(server.Key)
			return nil, err
		}
	}
	c.carried = append(c.carried, hash)
	c.written, c.received, c.sentAt = c.socket.written.Load(), c.socket.received.Load(), time.Now()
	return c, nil
}

func (s *serverConns) open(ctx context.Context, server balance.Server, crossRegion bool) (*serverConn, error) {
	transport, timeout := s.sameRegion, sameRegionDialTimeout
	if crossRegion {
		transport, timeout = s.crossRegion, crossRegionDialTimeout
	}
	c := &serverConn{server: server.Key, dialTimeout: timeout}
	var err error
	if c.ClientConn, err = transport.NewClientConn(context.WithValue(ctx, watchedConnKey{}, &c.socket), "http", server.Address); err != nil {
		return nil, err
	}
	s.uses.Inc(connOpened, "")
	return c, nil
}

// takeIdle returns an idle connection that is open, has nothing unread and did not carry the
// request whose ID has the hash; nil if there is none.
func (s *serverConns) takeIdle(key balance.ServerKey, r connReuse, hash uint64) *serverConn {
	if r == newConnection {
		return nil
	}
	s.mu.Lock()
	now := time.Now()
	maxIdle := reuse.MaxIdle(r == idleConnection)
	c, idle, ok, closing := s.pool.Take(now, key, r == idleConnection, func(c *serverConn) bool {
		return !slices.Contains(c.carried, hash) && c.checkIdle(maxIdle)
	})
	for _, x := range closing {
		if x.dirty {
			closing = append(closing, s.pool.Distrust(now, key)...)
			break
		}
	}
	s.mu.Unlock()
	closeConns(closing)
	if !ok {
		return nil
	}
	c.reused, c.idle = true, idle
	stricthttp.ExpectHead(c.socket)
	limit := time.Duration(0)
	if r == idleConnection {
		limit = silentFactor * c.dialTimeout
	}
	if limit != c.silentLimit {
		c.socket.setSilentLimit(limit)
		c.silentLimit = limit
	}
	s.uses.Inc(connReused, "")
	return c
}

// checkIdle reports whether a request may be sent on an idle connection, and reserves it.
func (c *serverConn) checkIdle(maxIdle time.Duration) bool {
	state := c.socket.state(c.received)
	c.dirty = state == idleBytes
	return state == idleClean && c.socket.silence() < maxIdle && c.Reserve() == nil
}

// release keeps the connection for later requests if its response was read to the end,
// the request was sent whole, and neither side ends the connection; otherwise it closes
// it. keepAlive is how long the server announces to keep it; negative: not announced.
func (s *serverConns) release(c *serverConn, keepAlive time.Duration) {
	if c.Available() == 0 || len(c.carried) >= maxCarried {
		_ = c.Close()
		return
	}
	c.received = c.socket.received.Load()
	s.mu.Lock()
	closing := s.pool.Put(time.Now(), c.server, c, reuse.KeepAlive(keepAlive))
	s.mu.Unlock()
	closeConns(closing)
}

// fail closes a connection without a usable response and returns the verdict on the
// attempt. resend is set if nothing was sent, so that the request may be sent on a new
// connection, whatever its type.
func (s *serverConns) fail(ctx context.Context, c *serverConn) (v Verdict, resend bool) {
	_ = c.Close()
	v = classifyError(ctx)
	if !c.reused {
		return v, false
	}
	silent := c.socket.received.Load() == c.received
	switch {
	case v != ConnectionLost:
		if silent {
			s.drop(c.server)
		}
		return v, false
	case !silent || time.Since(c.sentAt) > staleFactor*c.dialTimeout:
		return v, false
	}
	s.uses.Inc(connStale, "")
	s.mu.Lock()
	closing := s.pool.Failed(time.Now(), c.server, c.idle)
	s.mu.Unlock()
	closeConns(closing)
	return StaleConnection, c.socket.written.Load() == c.written
}

// distrust closes the connections to a server that sent a response to another request.
func (s *serverConns) distrust(c *serverConn) {
	s.mu.Lock()
	closing := s.pool.Distrust(time.Now(), c.server)
	s.mu.Unlock()
	closeConns(append(closing, c))
}

// clear closes all idle connections.
func (s *serverConns) clear() {
	s.mu.Lock()
	closing := s.pool.Clear()
	s.mu.Unlock()
	closeConns(closing)
}

// drop closes the idle connections to a server.
func (s *serverConns) drop(key balance.ServerKey) {
	s.mu.Lock()
	closing := s.pool.Drop(key)
	s.mu.Unlock()
	closeConns(closing)
}

// expire closes the connections that have been idle for too long.
func (s *serverConns) expire(now time.Time) {
	s.mu.Lock()
	closing := s.pool.Expire(now)
	s.mu.Unlock()
	closeConns(closing)
}

// warm returns the servers with an idle connection that a request may be sent on.
func (s *serverConns) warm(r connReuse) []balance.ServerKey {
	if r == newConnection {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Warm(time.Now(), r == idleConnection)
}

// count returns the number of idle connections.
func (s *serverConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Len()
}

func closeConns(list []*serverConn) {
	for _, c := range list {
		_ = c.Close()
	}
}
