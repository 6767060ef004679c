// Package callerconn splits the connection of a caller into a side that is read and a side
// that is written. The writing side exists only as the argument of one function, which runs
// on one goroutine. So no other goroutine can write to the connection, and no byte can
// appear inside a response that is in progress.
package callerconn

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options are the time limits of a connection.
type Options struct {
	// WriteTimeout bounds one write of a part of a response.
	WriteTimeout time.Duration
	// After its write side was closed, the connection is read until nothing has
	// arrived for Linger, and for MaxLinger at most. Closing it with unread bytes would
	// reset it before the caller, which may still send a body, has read the response.
	Linger, MaxLinger time.Duration
}

// discardBytes is the size of the buffer for input that is discarded.
const discardBytes = 4 << 10

// Conn is a connection of a caller.
type Conn struct {
	socket  net.Conn
	options Options
	reader  Reader
}

// New returns a connection that owns socket.
func New(socket net.Conn, o Options) *Conn {
	return &Conn{socket: socket, options: o, reader: Reader{socket: socket}}
}

// Reader returns the side that is read.
func (c *Conn) Reader() *Reader { return &c.reader }

// Serve runs read on a goroutine of its own and write on the calling one. When write
// returns, it closes the write side, lets reads fail after Options.Linger, waits for read,
// discards further input and closes the connection. If either returns false, the connection
// is closed at once.
func (c *Conn) Serve(read func() bool, write func(*Writer) bool) {
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		if !read() {
			_ = c.socket.Close()
		}
	}()
	w := &Writer{socket: c.socket, timeout: c.options.WriteTimeout}
	if !write(w) {
		_ = c.socket.Close()
	}
	w.err = net.ErrClosed
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	latest := time.Now().Add(c.options.MaxLinger)
	c.reader.Limit(time.Now().Add(c.options.Linger))
	<-readerDone
	c.discard(latest)
	_ = c.socket.Close()
}

// discard reads until nothing arrives for Options.Linger, and until latest at most.
func (c *Conn) discard(latest time.Time) {
	buffer := make([]byte, discardBytes)
	for time.Now().Before(latest) {
		_ = c.socket.SetReadDeadline(time.Now().Add(c.options.Linger))
		if _, err := c.socket.Read(buffer); err != nil {
			return
		}
	}
}

// Reader is the side of a connection that is read. Its methods but Read are safe for
// concurrent use.
type Reader struct {
	socket net.Conn

	mu       sync.Mutex
	deadline time.Time
	// latest bounds the deadlines; zero: they are not bounded.
	latest time.Time
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) { return r.socket.Read(p) }

// SetDeadline sets the time at which reads fail; zero: never.
func (r *Reader) SetDeadline(t time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.latest.IsZero() && (t.IsZero() || t.After(r.latest)) {
		t = r.latest
	}
	r.deadline = t
	_ = r.socket.SetReadDeadline(t)
}

// Limit makes reads fail at latest or before, whatever deadlines are set later.
func (r *Reader) Limit(latest time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.latest.IsZero() && r.latest.Before(latest) {
		return
	}
	r.latest = latest
	if r.deadline.IsZero() || r.deadline.After(latest) {
		_ = r.socket.SetReadDeadline(latest)
	}
}

// PeerClosed reports whether the other end has closed the connection, or its sending side.
// Unlike Read it does not need the bytes before the end to be read. It does not notice an
// end that the receive window of the connection has kept the peer from sending.
func (r *Reader) PeerClosed() bool {
	s, ok := r.socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	if err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}); err != nil {
		return true // the connection was closed on this side
	}
	return closed
}
