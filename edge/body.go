package edge

import (
	"context"
	"errors"
	"io"
	"sync"
)

const (
	// bodyMemoryShare is the share of the process's memory that the buffered
	// bodies of requests and responses may use together.
	bodyMemoryShare = 0.25
	// unreservedBytes of a body are buffered without a reservation, so that small
	// exchanges work while large ones use up the memory.
	unreservedBytes = 8 << 10
	// Request bodies of more than smallBodyBytes use at most largeBodyShare of the
	// memory for bodies, so that many slow uploads leave room for other requests.
	smallBodyBytes = 32 << 10
	largeBodyShare = 0.75
	// bodyChunkBytes is the unit in which memory for a body is reserved and read.
	bodyChunkBytes = 16 << 10
	// A response is buffered as long as the host's link takes responseBufferMillis
	// to transfer it, within these bounds, and streamed beyond. Up to then an
	// idempotent request can be retried if its response is cut; beyond, a thin
	// link would delay the response by too much.
	responseBufferMillis   = 50
	minResponseBufferBytes = 64 << 10
	maxResponseBufferBytes = 256 << 10
	// progressBytes of a body have to arrive to count as progress. A server in
	// trouble may send single bytes without end.
	progressBytes = 4 << 10
	// maxResponseBytes bounds the body of a streamed response.
	maxResponseBytes = 64 << 20
	// megabit is the unit of link capacities, in bits.
	megabit = 1e6
)

// Errors of bodies.
var (
	errNoMemory        = errors.New("the memory for bodies is in use")
	errResponseTooLong = errors.New("response body exceeds the limit")
)

// responseBufferBytes returns how much of a response is buffered before it is
// streamed, on a host whose link has the given capacity in Mbit/s; zero: not known.
func responseBufferBytes(linkMbps float64) int {
	if linkMbps <= 0 {
		return maxResponseBufferBytes
	}
	bytes := linkMbps * megabit / 8 * responseBufferMillis / 1000
	return int(min(max(bytes, minResponseBufferBytes), maxResponseBufferBytes))
}

// bodyMemory bounds the bytes of the bodies that a daemon buffers. It is safe for
// concurrent use.
type bodyMemory struct {
	mu          sync.Mutex
	used, limit int64
}

func newBodyMemory(processBytes int64) *bodyMemory {
	m := &bodyMemory{}
	m.setProcessBytes(processBytes)
	return m
}

// setProcessBytes changes the memory of the process that the limit is a share of.
func (m *bodyMemory) setProcessBytes(processBytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = int64(bodyMemoryShare * float64(processBytes))
}

// scarce reports whether more than half of the memory is in use.
func (m *bodyMemory) scarce() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used > m.limit/2
}

// inUse returns the bytes that are reserved.
func (m *bodyMemory) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// reservation is the memory of one request: its body and the bodies of its
// responses. It is safe for concurrent use.
type reservation struct {
	memory *bodyMemory

	mu     sync.Mutex
	bytes  int64
	closed bool
	// receiving is set while the body of the request is being read, and large if it is
	// known to be large.
	receiving, large bool
}

func (m *bodyMemory) newReservation() *reservation { return &reservation{memory: m} }

// grow reserves further bytes. It returns false if the limit does not allow it or
// the reservation is closed.
func (r *reservation) grow(bytes int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	limit := r.memory.limit
	if r.receiving && (r.large || r.bytes >= smallBodyBytes) {
		limit = int64(largeBodyShare * float64(limit))
	}
	if r.closed || r.memory.used+int64(bytes) > limit {
		return false
	}
	r.memory.used += int64(bytes)
	r.bytes += int64(bytes)
	return true
}

// close returns the reserved bytes. Later calls have no effect.
func (r *reservation) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.closed = true
	r.memory.used -= r.bytes
	r.bytes = 0
}

// readBody reads at most limit bytes of a body and reserves memory for them. whole
// is set if the body ended within the limit. errNoMemory means that a part was read
// and the memory for more is not available.
func readBody(body io.Reader, limit int, r *reservation, progress func()) (data []byte, whole bool, err error) {
	return continueBody(nil, unreservedBytes, body, limit, r, progress)
}

// continueBody is like readBody for a body of which data was read already, with memory
// for reserved bytes.
func continueBody(data []byte, reserved int, body io.Reader, limit int, r *reservation, progress func()) (_ []byte, whole bool, err error) {
	reported := len(data)
	for {
		if len(data) == limit {
			// The body may end here.
			var probe [1]byte
			n, err := io.ReadFull(body, probe[:])
			if errors.Is(err, io.EOF) {
				return data, true, nil
			}
			return append(data, probe[:n]...), false, err
		}
		room := min(limit, reserved) - len(data)
		if room == 0 {
			if !r.grow(bodyChunkBytes) {
				return data, false, errNoMemory
			}
			reserved += bodyChunkBytes
			continue
		}
		data = growSlice(data, room, limit)
		n, err := body.Read(data[len(data) : len(data)+room])
		data = data[:len(data)+n]
		if len(data)-reported >= progressBytes {
			reported = len(data)
			progress()
		}
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
	}
}

// growSlice returns data with room for more bytes. Its capacity at least doubles, up to
// limit bytes.
func growSlice(data []byte, room, limit int) []byte {
	if cap(data)-len(data) >= room {
		return data
	}
	grown := make([]byte, len(data), max(len(data)+room, min(2*cap(data), limit)))
	copy(grown, data)
	return grown
}

// bodyStream is the part of a response's body that was not buffered. Close ends the
// attempt.
type bodyStream struct {
	body io.ReadCloser
	ctx  context.Context
	// cancel ends the attempt. It is nil while the attempt is still one of the
	// request's active ones.
	cancel context.CancelFunc
	// read counts the bytes of the whole body so far.
	read int64
	// failed is called once if the server does not deliver the rest.
	failed func(error)
	once   sync.Once
}

// Read implements io.Reader.
func (s *bodyStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	s.read += int64(n)
	if s.read > maxResponseBytes {
		err = errResponseTooLong
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(s.ctx.Err(), context.Canceled) {
		s.once.Do(func() { s.failed(err) })
	}
	return n, err
}

// Close implements io.Closer.
func (s *bodyStream) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	return s.body.Close()
}
