package fleet

import (
	"bytes"
	"io"
)

// nonReplayableBody is a request body that net/http cannot rewind. The transport
// of net/http retries a request on its own if the method or an Idempotency-Key
// header makes it look idempotent and its body is absent or can be rewound. Only
// the pool may retry, because a second attempt that it does not know of would
// break at-most-once execution.
type nonReplayableBody struct{ r bytes.Reader }

// NewNonReplayableBody returns a body that can be read only once, even if b is empty.
func NewNonReplayableBody(b []byte) io.ReadCloser {
	o := &nonReplayableBody{}
	o.r.Reset(b)
	return o
}

// Read implements io.Reader.
func (o *nonReplayableBody) Read(p []byte) (int, error) { return o.r.Read(p) }

// Close implements io.Closer.
func (o *nonReplayableBody) Close() error { return nil }
