package edge

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/agateusher/agateusher/edge/callerconn"
	"github.com/agateusher/agateusher/fleet"
)

// timedBody is the body of a caller's request. Each part of it moves the deadline on.
type timedBody struct {
	io.Reader
	input    *callerconn.Reader
	deadline time.Time
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	b.input.SetDeadline(b.deadline)
	n, err := b.Reader.Read(p)
	b.deadline = b.deadline.Add(time.Duration(n) * time.Second / slowestBodyRate)
	return n, err
}

// setReceiving records whether the body of the request is being read, and whether it is
// known to be large.
func (r *reservation) setReceiving(receiving, large bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receiving, r.large = receiving, large
}

// readRequestBody reads the body of a caller's request, whose length is -1 if it is not
// known. Errors are errNoMemory, fleet.ErrTooLarge and those of the connection.
func readRequestBody(body io.Reader, length, limit int64, r *reservation) ([]byte, error) {
	if length >= 0 {
		limit = min(limit, length)
	}
	r.setReceiving(true, length > smallBodyBytes)
	defer r.setReceiving(false, false)
	data, whole, err := readBody(body, int(limit), r, func() {})
	if err == nil && !whole {
		err = fleet.ErrTooLarge
	}
	return data, err
}

// sentBody is the body of a request to a backend server. It can be read only once, since
// net/http must not repeat a request by itself.
type sentBody struct {
	io.ReadCloser
	left atomic.Int64
}

func newSentBody(data []byte) *sentBody {
	b := &sentBody{ReadCloser: fleet.NewNonReplayableBody(data)}
	b.left.Store(int64(len(data)))
	return b
}

// Read implements io.Reader.
func (b *sentBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left.Add(-int64(n))
	return n, err
}

// succeededEarly reports whether a server answered that it has run a request before it had
// the whole body. The connection then ends, so that the server gets no more of the body.
func succeededEarly(resp *http.Response) bool {
	body, ok := resp.Request.Body.(*sentBody)
	return ok && resp.StatusCode < 300 && body.left.Load() > 0
}
