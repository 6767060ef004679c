package edge

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pipeline"
	"github.com/agateusher/agateusher/edge/callerconn"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/internal/stricthttp"
)

const (
	// connBufferSize is the size of the read and write buffers, in bytes.
	connBufferSize = 4 << 10
	// writeBufferSize is the largest size of the write buffer, in bytes.
	writeBufferSize = 32 << 10
	// writeTimeout bounds one write of a part of a response.
	writeTimeout = 10 * time.Second
	// bodyReadTimeout bounds the reading of a request body, together with
	// slowestBodyRate, in bytes a second: a body of 360 KB takes 36 s at 10 KB/s.
	bodyReadTimeout = 20 * time.Second
	slowestBodyRate = 4 << 10
	// continueCheckInterval is the interval between checks whether a caller that waits
	// for "100 Continue" has got it. Until then bodyReadTimeout does not run.
	continueCheckInterval = time.Second
	// stopReadTimeout is how long connections are still read at the end of a
	// graceful shutdown or of the idle timeout. Requests that have arrived by then are
	// served.
	stopReadTimeout = 5 * time.Millisecond
	// After its write side was closed, a connection is read until nothing has arrived
	// for lingerTimeout, and for maxLingerTime at most.
	lingerTimeout = 500 * time.Millisecond
	maxLingerTime = 5 * time.Second
)

// defaultLimits apply until there is a configuration.
var defaultLimits = catalog.Limits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// limitedReader bounds the bytes that are read for the header of a request.
type limitedReader struct {
	*callerconn.Reader
	remaining int64 // bytes; negative: unlimited
}

// errHeaderTooLarge is returned by reads beyond the limit.
var errHeaderTooLarge = errors.New("request header is too large")

// Read implements io.Reader.
func (h *limitedReader) Read(p []byte) (int, error) {
	if h.remaining < 0 {
		return h.Reader.Read(p)
	}
	if h.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.Reader.Read(p)
	h.remaining -= int64(n)
	return n, err
}

func (n *Node) serveConn(socket net.Conn) {
	link := callerconn.New(socket, callerconn.Options{WriteTimeout: writeTimeout, Linger: lingerTimeout, MaxLinger: maxLingerTime})
	input := &limitedReader{Reader: link.Reader(), remaining: -1}
	ctx, cancelRequests := context.WithCancel(context.Background())
	c := &conn{
		node: n, input: input, reader: bufio.NewReaderSize(input, connBufferSize),
		responses: make(chan *pendingResponse, pipeline.MaxRequests), changed: make(chan struct{}), cancelRequests: cancelRequests,
	}
	n.addConn(c)
	defer n.removeConn(c)
	defer cancelRequests()
	link.Serve(
		func() bool { return n.contain("read-requests", func() { c.readRequests(ctx) }) },
		func(w *callerconn.Writer) bool { return n.contain("write-responses", func() { c.writeResponses(w) }) })
	for p := range c.responses {
		p.discard()
	}
}

// readRequests reads requests until the connection ends and starts a goroutine for
// each of them.
func (c *conn) readRequests(ctx context.Context) {
	defer close(c.responses)
	for {
		if !c.awaitRequest() || !c.waitUntil(ctx, c.pipeline.HasRoom) {
			return
		}
		// Those in force now: the configuration may have changed since the last request.
		limits := c.node.limits()
		p, q, err := c.readHeader(limits)
		if err != nil {
			c.rejectMalformed(p, err)
		}
		if !c.enqueue(p) {
			p.reserved.close()
			return
		}
		if err == nil && c.receive(p, q, limits) {
			go c.answer(ctx, p, q)
		}
		if p.close {
			c.discardUntilClosed()
			return
		}
	}
}

// receive reads the body of a request. It returns false if the request has its response
// already.
func (c *conn) receive(p *pendingResponse, q *request, limits catalog.Limits) bool {
	settled := false
	defer func() {
		if !settled {
			close(p.response) // after a panic; the writing goroutine waits for the response
		}
	}()
	err := c.readBody(p, q, limits)
	if errors.Is(err, errNoMemory) {
		p.close = true
		p.response <- c.node.refuse(q, model.ReasonMemory)
	} else if err != nil {
		c.rejectMalformed(p, err)
	}
	c.finishReading()
	settled = true
	return err == nil
}

// answer sets the response to a request.
func (c *conn) answer(ctx context.Context, p *pendingResponse, q *request) {
	if !c.awaitTurn(ctx, p) {
		close(p.response)
		return
	}
	var resp *response
	if !c.node.contain("request", func() { resp = c.node.handleRequest(ctx, q) }) {
		// A server may have run the request.
		resp = c.node.localResponse(q, http.StatusBadGateway, model.ReasonInternal)
	}
	p.response <- resp
}

// awaitRequest waits for the first byte of a request. It returns false if the
// connection is to be closed, and cancels the requests in progress if the caller
// has disconnected. The idle timeout may change meanwhile.
func (c *conn) awaitRequest() bool {
	c.input.remaining = -1
	c.setIdle(true)
	defer c.setIdle(false)
	lastActive := time.Now()
	for {
		idleTimeout, stopping := c.node.limits().IdleTimeout, c.isStopping()
		// A request that has arrived by the end of the timeout is still read.
		wait := max(stopReadTimeout, idleTimeout-time.Since(lastActive))
		if stopping {
			wait = stopReadTimeout
		}
		c.input.SetDeadline(time.Now().Add(wait))
		if (!stopping && c.isStopping()) || idleTimeout != c.node.limits().IdleTimeout {
			continue // stop or wakeIdle may have set the deadline before it was overwritten above
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
	c.input.SetDeadline(time.Time{})
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

// readHeader reads the header of a request. p is returned with an error too.
func (c *conn) readHeader(limits catalog.Limits) (p *pendingResponse, q *request, err error) {
	p = &pendingResponse{response: make(chan *response, 1), reserved: c.node.bodyMemory.newReservation()}
	c.input.SetDeadline(time.Now().Add(limits.HeaderTimeout))
	c.input.remaining = int64(max(limits.MaxHeaderBytes, connBufferSize)) + connBufferSize
	httpRequest, err := http.ReadRequest(c.reader)
	c.input.remaining = -1
	if err == nil {
		err = stricthttp.CheckFieldNames(httpRequest.Header)
	}
	if err != nil {
		return p, nil, err
	}
	p.httpRequest, p.close = httpRequest, httpRequest.Close || !httpRequest.ProtoAtLeast(1, 1)
	q = &request{method: httpRequest.Method, target: httpRequest.RequestURI, host: httpRequest.Host, header: httpRequest.Header, reserved: p.reserved}
	q.stream = func(force bool) bool { return c.mayStream(p, force) }
	q.id, q.callerTimeout = c.node.headers.ParseRequest(httpRequest.Header)
	if httpRequest.ContentLength > limits.MaxBodyBytes {
		return p, q, fleet.ErrTooLarge
	}
	if strings.EqualFold(httpRequest.Header.Get("Expect"), "100-continue") {
		httpRequest.Header.Del("Expect")
		if httpRequest.ContentLength != 0 && httpRequest.ProtoAtLeast(1, 1) {
			p.continued = make(chan struct{})
		}
	}
	return p, q, nil
}

// readBody reads the body of a request.
func (c *conn) readBody(p *pendingResponse, q *request, limits catalog.Limits) (err error) {
	if p.httpRequest.ContentLength != 0 {
		c.beginBody(q)
	}
	if p.continued != nil {
		if err := c.awaitBody(p); err != nil {
			return err
		}
	}
	if p.httpRequest.ContentLength != 0 {
		input := &timedBody{Reader: p.httpRequest.Body, input: c.input.Reader, deadline: time.Now().Add(bodyReadTimeout)}
		q.body, err = readRequestBody(input, p.httpRequest.ContentLength, limits.MaxBodyBytes, p.reserved)
	}
	q.received = time.Now()
	return err
}

// awaitBody waits for the first byte of the body of a request with "Expect:
// 100-continue".
func (c *conn) awaitBody(p *pendingResponse) error {
	var continuedAt time.Time
	for {
		checkAt := time.Now().Add(continueCheckInterval)
		c.input.SetDeadline(checkAt)
		_, err := c.reader.Peek(1)
		if err == nil {
			p.bodyBegun.Store(true)
			return nil
		}
		// Reads fail before checkAt once the connection or the daemon is closing.
		if !errors.Is(err, os.ErrDeadlineExceeded) || time.Now().Before(checkAt) {
			return err
		}
		select {
		case <-p.continued:
			if continuedAt.IsZero() {
				continuedAt = time.Now()
			} else if time.Since(continuedAt) >= bodyReadTimeout {
				return err
			}
		default:
		}
	}
}

// rejectMalformed sets the response to input that is not a valid request within
// the limits.
func (c *conn) rejectMalformed(p *pendingResponse, err error) {
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
}

func isNetError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}
