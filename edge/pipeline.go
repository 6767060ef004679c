package edge

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agateusher/agateusher/core/pipeline"
	"github.com/agateusher/agateusher/edge/callerconn"
)

// disconnectCheckInterval is the interval between checks whether the caller has
// disconnected, while its connection is not read. Nothing may be sent for a caller half a
// second after it disconnected.
const disconnectCheckInterval = 100 * time.Millisecond

// conn is a caller's connection. One goroutine reads requests, another writes the
// responses in the order of the requests. The server of net/http is not used
// because it handles pipelined requests one after the other.
type conn struct {
	node      *Node
	input     *limitedReader
	reader    *bufio.Reader
	responses chan *pendingResponse
	// cancelRequests cancels the requests when the caller disconnects.
	cancelRequests context.CancelFunc

	mu sync.Mutex
	// pipeline holds the requests whose responses have not been written. It is closed
	// once a response with "Connection: close" is due or a write has failed.
	pipeline pipeline.Pipeline
	// changed is closed, and replaced, when the pipeline has changed.
	changed chan struct{}
	// reading is set while a request is being read, and receiving is the request while its
	// body is.
	reading   bool
	receiving *request
	// stopping is set when the connection stops waiting for further requests.
	stopping bool
	// idle is set while the reading goroutine waits for the first byte of a request.
	idle bool
}

// pendingResponse is the response to a request whose header has been read. It has not
// been written yet.
type pendingResponse struct {
	number      pipeline.Number
	httpRequest *http.Request
	// response receives the response. It is closed without one if the request is
	// dropped because its connection closes.
	response chan *response
	close    bool // close the connection after this response
	// continued is closed when the caller need not wait for "100 Continue" any longer;
	// nil: it does not wait.
	continued chan struct{}
	// bodyBegun is set when a caller that might wait for "100 Continue" has begun to
	// send the body.
	bodyBegun atomic.Bool
	// reserved is the memory of the request's bodies.
	reserved *reservation
}

// discard releases what belongs to a response that will not be written.
func (p *pendingResponse) discard() {
	p.reserved.close()
	go func() { (<-p.response).close() }()
}

// beginRequest records that a request is being read. It returns false if the
// connection is closing.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pipeline.Closing() {
		return false
	}
	c.reading = true
	return true
}

// enqueue queues the response to a request whose header has been read. It returns false
// if the connection began to close meanwhile; the request then counts as not read.
func (c *conn) enqueue(p *pendingResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	number, ok := c.pipeline.Add()
	if !ok {
		return false
	}
	p.number = number
	c.responses <- p // does not block: the pipeline had room
	return true
}

// finishReading records that a request has been read.
func (c *conn) finishReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.receiving = false, nil
}

// beginBody records that the body of a request is being read.
func (c *conn) beginBody(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = q
	c.limitReading()
}

// limitReading bounds the reading of a request during a planned stop: one that would be
// refused is not read to its end. c.mu must be held.
func (c *conn) limitReading() {
	t := c.node.stopTimes.Load()
	if !c.stopping || t == nil {
		return
	}
	timeout := time.Duration(0)
	if c.receiving != nil {
		timeout = c.node.requestTimeout(c.receiving)
	}
	c.input.Limit(t.latest(timeout))
}

// awaitTurn waits until a request may be forwarded. It returns false if it must not be
// forwarded, because the connection closes or the caller has disconnected.
func (c *conn) awaitTurn(ctx context.Context, p *pendingResponse) bool {
	decision := pipeline.Wait
	return c.waitUntil(ctx, func() bool {
		decision = c.pipeline.Forward(p.number, c.node.bodyMemory.scarce())
		return decision != pipeline.Wait
	}) && decision == pipeline.Forwarded
}

// waitUntil calls ready, under the lock, until it returns true. It returns false if the
// caller disconnects meanwhile, and cancels the requests in progress.
func (c *conn) waitUntil(ctx context.Context, ready func() bool) bool {
	for {
		c.mu.Lock()
		ok, changed := ready(), c.changed
		c.mu.Unlock()
		if ok {
			return true
		}
		if c.input.PeerClosed() {
			c.cancelRequests()
			return false
		}
		timer := time.NewTimer(disconnectCheckInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
		timer.Stop()
	}
}

// mayStream reports whether a response that is too long for the usual buffer may be
// streamed; see pipeline.Stream.
func (c *conn) mayStream(p *pendingResponse, force bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed, exposed := c.pipeline.Stream(p.number, force)
	if allowed && exposed > 0 {
		c.node.metrics.Scope.Counter("streams_with_requests_behind").Inc(1)
	}
	return allowed
}

func (c *conn) isStopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipeline.Closing()
}

func (c *conn) hasInflight() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipeline.Len() > 0
}

// stop closes the connection once the requests that were read are answered. A request that
// is not read in time is answered that it has not run.
func (c *conn) stop() {
	c.mu.Lock()
	c.stopping = true
	c.limitReading()
	if !c.reading {
		c.input.SetDeadline(time.Now())
	}
	c.mu.Unlock()
}

// wakeIdle makes the reading goroutine look at the idle timeout again, if it waits for a
// request.
func (c *conn) wakeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.input.SetDeadline(time.Now())
	}
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

// writeResponses writes the responses in the order of the requests.
func (c *conn) writeResponses(w *callerconn.Writer) {
	for p := range c.responses {
		resp, err := awaitResponse(w, p)
		if resp == nil || err != nil {
			// Only this request ends: those ahead of it have been answered, and none
			// was read behind it.
			c.finish(p, true)
			p.discard()
			return
		}
		last := c.decideClose(p)
		err = c.writeResponse(w, p, resp, last)
		resp.close()
		p.reserved.close()
		c.finish(p, err != nil)
		if err != nil {
			c.cancelRequests()
			return
		}
		if last {
			return
		}
	}
}

// awaitResponse waits for the response to a request. If the caller waits for "100
// Continue", it is written first. An error is that of the write. The response is nil if
// the request was dropped.
func awaitResponse(w *callerconn.Writer, p *pendingResponse) (*response, error) {
	if p.continued != nil {
		select {
		case resp := <-p.response:
			return resp, nil
		default:
		}
		if !p.bodyBegun.Load() {
			if err := w.WriteContinue(); err != nil {
				return nil, err
			}
		}
		close(p.continued)
	}
	return <-p.response, nil
}

// decideClose reports whether the response to p carries "Connection: close". No further
// request is then forwarded.
func (c *conn) decideClose(p *pendingResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.close || (c.pipeline.Len() == 1 && !c.reading && (c.stopping || c.node.draining.Load())) {
		c.pipeline.Close()
	}
	return c.pipeline.Closing()
}

// finish removes p from the requests in progress. If its response could not be written
// whole, no further request is forwarded.
func (c *conn) finish(p *pendingResponse, failed bool) {
	c.mu.Lock()
	if failed {
		c.pipeline.Close()
	}
	c.pipeline.Done(p.number)
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
}

func (c *conn) writeResponse(w *callerconn.Writer, p *pendingResponse, resp *response, last bool) error {
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
	err := w.WriteResponse(out, min(max(connBufferSize, len(resp.body)+connBufferSize), writeBufferSize))
	if err != nil && resp.rest != nil && !p.httpRequest.ProtoAtLeast(1, 1) {
		// The end of the connection ends an HTTP/1.0 response: only a reset shows
		// that it is not whole.
		w.Reset()
	}
	return err
}
