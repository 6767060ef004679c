package edge

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/fleet"
)

const (
	// maxPipelined bounds the requests of one connection that are in progress.
	maxPipelined = 32
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4 << 10
	// writeTimeout bounds the writing of one answer.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 20 * time.Second
	// stopWait is how long a connection is read at the end of a planned stop: a
	// request that has arrived by then is still served.
	stopWait = 5 * time.Millisecond
	// lingerTime is how long a closed connection is read, so that the caller's
	// unread bytes do not reset it before the answer has arrived.
	lingerTime = 500 * time.Millisecond
)

// defaultLimits apply until there is a configuration.
var defaultLimits = catalog.Limits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// conn is a caller's connection. One goroutine reads requests, one writes the
// answers in the order of the requests. net/http's server is not used because
// it serves pipelined requests one after the other.
type conn struct {
	node   *Node
	socket net.Conn
	limit  *headerLimit
	reader *bufio.Reader
	queue  chan *pending
	// cancel ends the requests when the caller goes away.
	cancel context.CancelFunc

	mu       sync.Mutex
	inflight int
	// reading is set from the first byte of a request to its last.
	reading bool
	// stopping is set when no further request is waited for.
	stopping bool
	// closing is set once an answer has announced the end of the connection.
	closing bool
}

// pending is a request whose answer has not been written.
type pending struct {
	head  *http.Request
	done  chan *response
	close bool
}

// headerLimit bounds the bytes read for the head of a request.
type headerLimit struct {
	net.Conn
	left int64 // negative: not bounded
}

// errHeaderTooLarge is returned by reads over the bound.
var errHeaderTooLarge = errors.New("request header is too large")

// Read implements net.Conn.
func (h *headerLimit) Read(p []byte) (int, error) {
	if h.left < 0 {
		return h.Conn.Read(p)
	}
	if h.left == 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > h.left {
		p = p[:h.left]
	}
	n, err := h.Conn.Read(p)
	h.left -= int64(n)
	return n, err
}

func (n *Node) serveConn(socket net.Conn) {
	limit := &headerLimit{Conn: socket, left: -1}
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		node: n, socket: socket, limit: limit, reader: bufio.NewReaderSize(limit, readBuffer),
		queue: make(chan *pending, maxPipelined), cancel: cancel,
	}
	n.addConn(c)
	defer n.removeConn(c)
	defer cancel()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.read(ctx)
	}()
	c.write()
	c.finish(finished)
}

// read reads requests until the connection ends.
func (c *conn) read(ctx context.Context) {
	defer close(c.queue)
	for {
		limits := c.node.limits()
		if !c.awaitRequest(limits.IdleTimeout) {
			return
		}
		p, q := c.readRequest(limits)
		if !c.accept(p) {
			return
		}
		if q == nil {
			// The request cannot be understood; its answer is ready.
			c.awaitEnd()
			return
		}
		go func() { p.done <- c.node.serve(ctx, q) }()
		if p.close {
			c.awaitEnd()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false when
// there will be none; it ends the requests in progress if the caller has gone.
func (c *conn) awaitRequest(idle time.Duration) bool {
	c.limit.left = -1
	last := time.Now()
	for {
		wait, stopping := idle, c.isStopping()
		if stopping {
			wait = stopWait
		}
		_ = c.socket.SetReadDeadline(time.Now().Add(wait))
		if !stopping && c.isStopping() {
			continue // stop may have set its deadline before the line above
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.beginReading()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
			return false
		}
		if stopping || c.isClosing() {
			return false
		}
		if c.busy() {
			last = time.Now()
		} else if time.Since(last) >= idle {
			return false
		}
	}
}

// awaitEnd reads until the caller closes the connection, which ends the requests
// in progress.
func (c *conn) awaitEnd() {
	_ = c.socket.SetReadDeadline(time.Time{})
	for {
		if _, err := c.reader.Peek(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.cancel()
			}
			return
		}
		if _, err := c.reader.Discard(c.reader.Buffered()); err != nil {
			return
		}
	}
}

// readRequest reads a whole request. q is nil if it cannot be understood; the
// answer is then ready in p.
func (c *conn) readRequest(limits catalog.Limits) (p *pending, q *request) {
	p = &pending{done: make(chan *response, 1)}
	_ = c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limit.left = int64(max(limits.MaxHeaderBytes, readBuffer)) + readBuffer
	head, err := http.ReadRequest(c.reader)
	c.limit.left = -1
	if err != nil {
		return c.malformed(p, err), nil
	}
	p.head, p.close = head, head.Close || !head.ProtoAtLeast(1, 1)
	q = &request{method: head.Method, target: head.RequestURI, host: head.Host, header: head.Header}
	q.id, q.patience = c.node.headers.ParseRequest(head.Header)
	_ = c.socket.SetReadDeadline(time.Now().Add(bodyTimeout))
	if strings.EqualFold(head.Header.Get("Expect"), "100-continue") {
		head.Header.Del("Expect")
		if _, err := io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			c.cancel()
		}
	}
	q.body, err = fleet.ReadBody(head.Body, head.ContentLength, limits.MaxBodyBytes)
	if err != nil {
		return c.malformed(p, err), nil
	}
	q.received = time.Now()
	return p, q
}

// malformed answers bytes that are not a request within the limits.
func (c *conn) malformed(p *pending, err error) *pending {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fleet.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isReset(err):
		// The caller went away in the middle of its request.
		c.cancel()
	}
	c.node.log.WithField("event", "request_unreadable").WithField("status", status).WithError(err).Info("a request could not be read")
	p.close = true
	p.done <- c.node.own(nil, status, reasonBadRequest)
	return p
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// beginReading marks the connection as in the middle of a request.
func (c *conn) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.reading = true
	return true
}

// accept queues a request that was read as a whole. It returns false if an
// answer has announced the end of the connection meanwhile: the request then
// counts as not read.
func (c *conn) accept(p *pending) bool {
	c.mu.Lock()
	c.reading = false
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.inflight++
	c.mu.Unlock()
	c.queue <- p
	return true
}

func (c *conn) isStopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inflight > 0
}

// stop makes the connection end after the requests that were read.
func (c *conn) stop() {
	c.mu.Lock()
	c.stopping = true
	if !c.reading {
		_ = c.socket.SetReadDeadline(time.Now())
	}
	c.mu.Unlock()
}

// write writes the answers in order.
func (c *conn) write() {
	for p := range c.queue {
		resp := <-p.done
		last := c.isLast(p)
		if err := c.writeResponse(p, resp, last); err != nil {
			c.cancel()
			c.mu.Lock()
			c.closing = true
			c.mu.Unlock()
			return
		}
		if last {
			return
		}
	}
}

// isLast decides whether an answer announces the end of the connection.
func (c *conn) isLast(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inflight--
	if p.close || (c.inflight == 0 && !c.reading && (c.stopping || c.node.leaving.Load())) {
		c.closing = true
	}
	return c.closing
}

func (c *conn) writeResponse(p *pending, resp *response, last bool) error {
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	out := &http.Response{
		StatusCode: resp.status, ProtoMajor: 1, ProtoMinor: 1, Header: resp.header, Request: p.head,
		ContentLength: int64(len(resp.body)), Body: io.NopCloser(bytes.NewReader(resp.body)), Close: last,
	}
	if len(resp.body) == 0 {
		out.Body = http.NoBody
	}
	w := bufio.NewWriterSize(c.socket, readBuffer)
	if err := out.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// finish closes the connection once the caller has read the last answer.
func (c *conn) finish(read <-chan struct{}) {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTime))
	// Requests that were read but not answered have lost their caller. The
	// reader may wait for room in the queue.
	for range c.queue {
	}
	<-read
	_, _ = io.Copy(io.Discard, c.socket)
	_ = c.socket.Close()
	c.cancel()
}
