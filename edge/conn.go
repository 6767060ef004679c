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
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
)

const (
	// maxPipelinedRequests bounds the unanswered requests of one connection.
	maxPipelinedRequests = 32
	// connBufferSize is the size of the read and write buffers, in bytes.
	connBufferSize = 4 << 10
	// writeBufferSize is the largest size of the write buffer, in bytes.
	writeBufferSize = 32 << 10
	// writeTimeout bounds one write of a part of a response.
	writeTimeout = 10 * time.Second
	// bodyReadTimeout bounds the reading of a request body.
	bodyReadTimeout = 20 * time.Second
	// stopReadTimeout is how long connections are still read at the end of a
	// graceful shutdown. Requests that have arrived by then are served.
	stopReadTimeout = 5 * time.Millisecond
	// lingerTimeout is how long a connection is read after its write side was
	// closed. Closing it with unread bytes would reset it before the caller has
	// received the response.
	lingerTimeout = 500 * time.Millisecond
)

// defaultLimits apply until there is a configuration.
var defaultLimits = catalog.Limits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// conn is a caller's connection. One goroutine reads requests, another writes the
// responses in the order of the requests. The server of net/http is not used
// because it handles pipelined requests one after the other.
type conn struct {
	node        *Node
	socket      net.Conn
	headerLimit *limitedConn
	reader      *bufio.Reader
	responses   chan *pendingResponse
	// cancelRequests cancels the requests when the caller disconnects.
	cancelRequests context.CancelFunc

	mu       sync.Mutex
	inflight int // requests whose responses have not been written
	// reading is set while a request is being read.
	reading bool
	// stopping is set when the connection stops waiting for further requests.
	stopping bool
	// closing is set once a response with "Connection: close" is due or a write
	// has failed.
	closing bool
}

// pendingResponse is the response to a request that has been read. It has not been
// written yet.
type pendingResponse struct {
	httpRequest *http.Request
	response    chan *response
	close       bool // close the connection after this response
	// reserved is the memory of the request's bodies.
	reserved *reservation
}

// discard releases what belongs to a response that will not be written.
func (p *pendingResponse) discard() {
	p.reserved.close()
	go func() { (<-p.response).close() }()
}

// limitedConn bounds the bytes that are read for the header of a request.
type limitedConn struct {
	net.Conn
	remaining int64 // bytes; negative: unlimited
}

// errHeaderTooLarge is returned by reads beyond the limit.
var errHeaderTooLarge = errors.New("request header is too large")

// Read implements net.Conn.
func (h *limitedConn) Read(p []byte) (int, error) {
	if h.remaining < 0 {
		return h.Conn.Read(p)
	}
	if h.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.Conn.Read(p)
	h.remaining -= int64(n)
	return n, err
}

func (n *Node) serveConn(socket net.Conn) {
	headerLimit := &limitedConn{Conn: socket, remaining: -1}
	ctx, cancelRequests := context.WithCancel(context.Background())
	c := &conn{
		node: n, socket: socket, headerLimit: headerLimit, reader: bufio.NewReaderSize(headerLimit, connBufferSize),
		responses: make(chan *pendingResponse, maxPipelinedRequests), cancelRequests: cancelRequests,
	}
	n.addConn(c)
	defer n.removeConn(c)
	defer cancelRequests()
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		if !n.contain("read-requests", func() { c.readRequests(ctx) }) {
			_ = socket.Close()
		}
	}()
	if !n.contain("write-responses", c.writeResponses) {
		_ = socket.Close()
	}
	c.lingerAndClose(readerDone)
}

// readRequests reads requests until the connection ends and starts a goroutine for
// each of them.
func (c *conn) readRequests(ctx context.Context) {
	defer close(c.responses)
	for {
		limits := c.node.limits()
		if !c.awaitRequest(limits.IdleTimeout) {
			return
		}
		p, q := c.readRequest(limits)
		if !c.enqueue(p) {
			p.reserved.close()
			return
		}
		if q == nil {
			// The request is malformed; p has its response already.
			c.discardUntilClosed()
			return
		}
		go c.answer(ctx, p, q)
		if p.close {
			c.discardUntilClosed()
			return
		}
	}
}

// answer sets the response to a request.
func (c *conn) answer(ctx context.Context, p *pendingResponse, q *request) {
	var resp *response
	if !c.node.contain("request", func() { resp = c.node.handleRequest(ctx, q) }) {
		// A server may have run the request.
		resp = c.node.localResponse(q, http.StatusBadGateway, model.ReasonInternal)
	}
	p.response <- resp
}

// awaitRequest waits for the first byte of a request. It returns false if the
// connection is to be closed, and cancels the requests in progress if the caller
// has disconnected.
func (c *conn) awaitRequest(idleTimeout time.Duration) bool {
	c.headerLimit.remaining = -1
	lastActive := time.Now()
	for {
		wait, stopping := idleTimeout, c.isStopping()
		if stopping {
			wait = stopReadTimeout
		}
		_ = c.socket.SetReadDeadline(time.Now().Add(wait))
		if !stopping && c.isStopping() {
			continue // stop may have set its read deadline before it was overwritten above
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.beginRequest()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancelRequests()
			return false
		}
		if stopping || c.isClosing() {
			return false
		}
		if c.hasInflight() {
			lastActive = time.Now()
		} else if time.Since(lastActive) >= idleTimeout {
			return false
		}
	}
}

// discardUntilClosed discards input until the caller closes the connection, then
// cancels the requests in progress.
func (c *conn) discardUntilClosed() {
	_ = c.socket.SetReadDeadline(time.Time{})
	for {
		if _, err := c.reader.Peek(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.cancelRequests()
			}
			return
		}
		if _, err := c.reader.Discard(c.reader.Buffered()); err != nil {
			return
		}
	}
}

// readRequest reads a request with its body. If the request is malformed, q is nil
// and p has the response.
func (c *conn) readRequest(limits catalog.Limits) (p *pendingResponse, q *request) {
	p = &pendingResponse{response: make(chan *response, 1), reserved: c.node.bodyMemory.newReservation()}
	_ = c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.headerLimit.remaining = int64(max(limits.MaxHeaderBytes, connBufferSize)) + connBufferSize
	httpRequest, err := http.ReadRequest(c.reader)
	c.headerLimit.remaining = -1
	if err != nil {
		return c.rejectMalformed(p, err), nil
	}
	p.httpRequest, p.close = httpRequest, httpRequest.Close || !httpRequest.ProtoAtLeast(1, 1)
	q = &request{method: httpRequest.Method, target: httpRequest.RequestURI, host: httpRequest.Host, header: httpRequest.Header, reserved: p.reserved}
	q.id, q.callerTimeout = c.node.headers.ParseRequest(httpRequest.Header)
	_ = c.socket.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	if strings.EqualFold(httpRequest.Header.Get("Expect"), "100-continue") {
		httpRequest.Header.Del("Expect")
		if _, err := io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			c.cancelRequests()
		}
	}
	q.body, err = readRequestBody(httpRequest, limits.MaxBodyBytes, p.reserved)
	if errors.Is(err, errNoMemory) {
		p.close = true
		p.response <- c.node.refuse(q, model.ReasonMemory)
		return p, nil
	}
	if err != nil {
		return c.rejectMalformed(p, err), nil
	}
	q.received = time.Now()
	return p, q
}

// rejectMalformed sets the response to input that is not a valid request within
// the limits.
func (c *conn) rejectMalformed(p *pendingResponse, err error) *pendingResponse {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fleet.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetError(err):
		// The caller disconnected in the middle of its request.
		c.cancelRequests()
	}
	c.node.log.WithField("event", "request_unreadable").WithField("status", status).WithField("error", describeReadError(err)).Info("cannot read a request of a caller")
	p.close = true
	p.response <- c.node.localResponse(nil, status, reasonBadRequest)
	return p
}

func isNetError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// beginRequest records that a request is being read. It returns false if the
// connection is closing.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.reading = true
	return true
}

// enqueue queues the response to a request that has been read. It returns false if
// the connection began to close meanwhile; the request is then dropped as if it had
// not been read.
func (c *conn) enqueue(p *pendingResponse) bool {
	c.mu.Lock()
	c.reading = false
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.inflight++
	c.mu.Unlock()
	c.responses <- p
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

func (c *conn) hasInflight() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inflight > 0
}

// stop closes the connection once the requests that were read are answered.
func (c *conn) stop() {
	c.mu.Lock()
	c.stopping = true
	if !c.reading {
		_ = c.socket.SetReadDeadline(time.Now())
	}
	c.mu.Unlock()
}

// writeResponses writes the responses in the order of the requests.
func (c *conn) writeResponses() {
	for p := range c.responses {
		resp := <-p.response
		last := c.decideClose(p)
		err := c.writeResponse(p, resp, last)
		resp.close()
		p.reserved.close()
		if err != nil {
			c.cancelRequests()
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

// decideClose removes p from the requests in progress and reports whether its
// response carries "Connection: close".
func (c *conn) decideClose(p *pendingResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inflight--
	if p.close || (c.inflight == 0 && !c.reading && (c.stopping || c.node.draining.Load())) {
		c.closing = true
	}
	return c.closing
}

// callerWriter writes to a caller's connection. Each write has a timeout of its own.
type callerWriter struct{ net.Conn }

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.Conn.Write(p)
}

func (c *conn) writeResponse(p *pendingResponse, resp *response, last bool) error {
	out := &http.Response{
		StatusCode: resp.status, ProtoMajor: 1, ProtoMinor: 1, Header: resp.header, Request: p.httpRequest,
		ContentLength: resp.length, Body: io.NopCloser(bytes.NewReader(resp.body)), Close: last,
	}
	switch {
	case resp.rest != nil:
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(resp.body), resp.rest))
		if resp.length < 0 && p.httpRequest.ProtoAtLeast(1, 1) {
			// Otherwise the end of the connection ends the response, and one that
			// was cut looks whole.
			out.TransferEncoding = []string{"chunked"}
		}
	case len(resp.body) == 0:
		out.Body = http.NoBody
	}
	w := bufio.NewWriterSize(callerWriter{c.socket}, min(max(connBufferSize, len(resp.body)+connBufferSize), writeBufferSize))
	err := out.Write(w)
	if err == nil {
		return w.Flush()
	}
	if resp.rest != nil && !p.httpRequest.ProtoAtLeast(1, 1) {
		// The end of the connection ends an HTTP/1.0 response: only a reset shows
		// that it is not whole.
		if tcp, ok := c.socket.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
	return err
}

// lingerAndClose closes the write side, discards input for up to lingerTimeout and
// closes the connection.
func (c *conn) lingerAndClose(readerDone <-chan struct{}) {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	// The caller of the remaining requests has disconnected. The queue is drained
	// because the reader may be blocked on it.
	for p := range c.responses {
		p.discard()
	}
	<-readerDone
	_, _ = io.Copy(io.Discard, c.socket)
	_ = c.socket.Close()
	c.cancelRequests()
}
