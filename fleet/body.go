package fleet

import (
	"bytes"
	"io"
)

// onceBody is a request body that net/http cannot rewind. The transport
// replays a request by itself if the method or an Idempotency-Key header makes
// it look idempotent and its body is absent or can be rewound; retries are the
// pool's decision alone, because an unseen second attempt would break
// at-most-once execution.
type onceBody struct{ r bytes.Reader }

// NewOnceBody returns a body that can be read once, also for empty content.
func NewOnceBody(b []byte) io.ReadCloser {
	o := &onceBody{}
	o.r.Reset(b)
	return o
}

// Read implements io.Reader.
func (o *onceBody) Read(p []byte) (int, error) { return o.r.Read(p) }

// Close implements io.Closer.
func (o *onceBody) Close() error { return nil }
