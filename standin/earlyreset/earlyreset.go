// Package earlyreset is a stand-in for a server that answers before it has read the body
// of a request and then resets the connection, and for the moment at which its client is
// told: the reset is reported to a write that is in progress, so that the next read returns
// a plain end of file. On an ordinary connection the order of the two is left to chance.
package earlyreset

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// BodyBytes is the size of a request body whose last part is still being written when
	// the server answers: net/http writes up to 32 KiB at once, and the buffers of the
	// connection hold less.
	BodyBytes = 32 << 10
	// bufferBytes is the size of the buffers of the connection; the kernel doubles it.
	bufferBytes = 2 << 10
	// orderTimeout bounds the wait for the other side of the order that is enforced.
	orderTimeout = 2 * time.Second
)

// Server answers each request once it has read its head and the last part of the body is
// being written, and resets the connection once the client has read the response.
type Server struct {
	response string
	inOrder  bool
	listener net.Listener

	mu    sync.Mutex
	steps map[string]*steps // by the address of the client
	hits  int
}

// steps are closed by the client's end of a connection when the server may go on.
type steps struct{ mayAnswer, mayReset chan struct{} }

// NewServer starts a server on a loopback port that answers with the bytes of response.
func NewServer(response string) (*Server, error) { return newServer(response, false) }

// NewOrderlyServer is like NewServer, but the server ends its side of the connection in order
// and does not read the rest of the request.
func NewOrderlyServer(response string) (*Server, error) { return newServer(response, true) }

func newServer(response string, inOrder bool) (*Server, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		if err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes)
		}); err != nil {
			return err
		}
		return failed
	}}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{response: response, inOrder: inOrder, listener: l, steps: map[string]*steps{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s, nil
}

// Address returns "ip:port".
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *Server) Close() { _ = s.listener.Close() }

// Hits returns on how many connections a reset was reported to a write and the read after
// it returned a plain end of file.
func (s *Server) Hits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hits
}

// stepsOf returns the steps of the connection from the address of a client.
func (s *Server) stepsOf(client net.Addr) *steps {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.steps[client.String()]
	if !ok {
		x = &steps{mayAnswer: make(chan struct{}), mayReset: make(chan struct{})}
		s.steps[client.String()] = x
	}
	return x
}

// await waits until a step may be taken, for orderTimeout at most.
func await(step <-chan struct{}) (taken bool) {
	select {
	case <-step:
		return true
	case <-time.After(orderTimeout):
		return false
	}
}

func (s *Server) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	var head [4]byte
	for string(head[:]) != "\r\n\r\n" {
		copy(head[:], head[1:])
		if _, err := io.ReadFull(c, head[3:]); err != nil {
			return
		}
	}
	x := s.stepsOf(c.RemoteAddr())
	await(x.mayAnswer)
	if _, err := io.WriteString(c, s.response); err != nil {
		return
	}
	if s.inOrder {
		_ = c.CloseWrite()
	}
	await(x.mayReset)
	if !s.inOrder {
		_ = c.SetLinger(0)
	}
}

// Dial opens a connection to the server on which the kernel reports the reset to a write.
func (s *Server) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp := c.(*net.TCPConn)
	if err := tcp.SetWriteBuffer(bufferBytes); err != nil {
		_ = tcp.Close()
		return nil, err
	}
	return &conn{TCPConn: tcp, server: s, steps: s.stepsOf(tcp.LocalAddr()), left: len(s.response), reported: make(chan struct{}), ended: make(chan struct{})}, nil
}

// conn is the client's end of a connection.
type conn struct {
	*net.TCPConn
	server *Server
	steps  *steps
	// left counts the bytes of the response that have not been read.
	left int
	// handed counts the bytes that were handed to Write.
	handed int
	// reported is closed when the kernel has reported the reset to a write, and ended when
	// a read has returned after it.
	reported, ended                     chan struct{}
	answerOnce, reportedOnce, endedOnce sync.Once
}

// Read implements net.Conn. The read after the response waits until the reset was reported
// to a write.
func (c *conn) Read(p []byte) (n int, err error) {
	if c.left > 0 {
		n, err = c.TCPConn.Read(p[:min(len(p), c.left)])
		c.left -= n
		return n, err
	}
	if c.server.inOrder {
		n, err = c.TCPConn.Read(p)
		c.endedOnce.Do(func() {
			close(c.steps.mayReset)
			close(c.ended)
		})
		return n, err
	}
	hit := false
	c.endedOnce.Do(func() {
		close(c.steps.mayReset)
		hit = await(c.reported)
	})
	n, err = c.TCPConn.Read(p)
	if hit {
		if err == io.EOF {
			c.server.mu.Lock()
			c.server.hits++
			c.server.mu.Unlock()
		}
		close(c.ended)
	}
	return n, err
}

// Write implements net.Conn. An error is returned only after the end was read.
func (c *conn) Write(p []byte) (int, error) {
	if c.handed += len(p); c.handed >= BodyBytes {
		c.answerOnce.Do(func() { close(c.steps.mayAnswer) })
	}
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.reportedOnce.Do(func() { close(c.reported) })
		if await(c.ended) {
			// The reader may look at the connection before it is closed for the error.
			time.Sleep(10 * time.Millisecond)
		}
	}
	return n, err
}
