// Package stricthttp makes clients of net/http refuse responses that are broken and that
// net/http accepts.
package stricthttp

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DetectResets returns a DialFunc whose connections do not end with io.EOF after a reset.
// The kernel reports a reset once. If a write in progress gets the report, reads return a
// plain end of file, and a part of a response without a length looks whole.
func DetectResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// conn is a connection of DetectResets. It also scans the heads of responses, for CheckHead.
type conn struct {
	net.Conn
	// writing is held during a write, and protects writeErr, the first error of one.
	writing  sync.Mutex
	writeErr error
	head     headScanner
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.head.scan(p[:n])
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// endError returns the error of a read that returned io.EOF: io.EOF if the peer ended the
// connection in order, else that of the write.
func (c *conn) endError() error {
	if !c.writing.TryLock() {
		if !c.broken() {
			return io.EOF
		}
		// The write in progress has been given its error, or is about to be.
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	// The error is EPIPE if the peer reset the connection after its orderly end.
	if c.writeErr == nil || errors.Is(c.writeErr, unix.EPIPE) {
		return io.EOF
	}
	return c.writeErr
}

// broken reports whether the connection has ended in both directions, as it has after a
// reset. It returns true if that is not known.
func (c *conn) broken() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	broken := true
	if err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd)}}
		n, err := unix.Poll(fds, 0)
		broken = err != nil || (n > 0 && fds[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0)
	}); err != nil {
		return true
	}
	return broken
}
