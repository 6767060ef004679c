// Package transfer limits the time of a transfer by its progress instead of by its whole
// duration, so that a large body on a slow link is not discarded and begun anew.
package transfer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

// minProgress is the number of bytes that count as progress after the first ones. A
// sender of single bytes does not keep a transfer alive.
const minProgress = 4 << 10

// Limit bounds the phases of a transfer.
type Limit struct {
	// First is the time until the first bytes of the body.
	First time.Duration
	// Stall is the longest time without further progress.
	Stall time.Duration
}

// ErrStalled is returned for a transfer that exceeded its Limit.
var ErrStalled = errors.New("transfer without progress")

// ErrTooLarge is returned for a body that exceeds its maximum size.
var ErrTooLarge = errors.New("body too large")

// Transfer is one transfer in progress. It is safe for concurrent use.
type Transfer struct {
	limit      Limit
	onProgress func()
	cancel     context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	bytes   int
	counted int
	ended   bool
	expired bool
}

type contextKey struct{}

// Start returns a context that ends when the transfer exceeds its limit. onProgress is
// called after each progress; it may be nil. End must be called.
func Start(ctx context.Context, l Limit, onProgress func()) (context.Context, *Transfer) {
	ctx, cancel := context.WithCancel(ctx)
	t := &Transfer{limit: l, onProgress: onProgress, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(l.First, t.expire)
	return context.WithValue(ctx, contextKey{}, t), t
}

func (t *Transfer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		t.expired = true
		t.cancel()
	}
}

// Interrupt ends the transfer unless bytes have arrived; it reports whether it did.
func (t *Transfer) Interrupt() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bytes > 0 || t.ended {
		return false
	}
	t.cancel()
	return true
}

// Receiving reports whether bytes have arrived and the transfer has not ended.
func (t *Transfer) Receiving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes > 0 && !t.ended
}

// End ends the transfer and returns the error to report for it: ErrStalled if the
// limit was exceeded, else err.
func (t *Transfer) End(err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.timer.Stop()
	t.cancel()
	if err != nil && t.expired {
		return ErrStalled
	}
	return err
}

func (t *Transfer) progress(n int) {
	t.mu.Lock()
	first := t.bytes == 0
	t.bytes += n
	counts := n > 0 && !t.ended && (first || t.bytes-t.counted >= minProgress)
	if counts {
		t.counted = t.bytes
		t.timer.Reset(t.limit.Stall)
	}
	t.mu.Unlock()
	if counts && t.onProgress != nil {
		t.onProgress()
	}
}

// Progress records that n bytes have arrived for the transfer of a context, if it
// belongs to one.
func Progress(ctx context.Context, n int) {
	if t, ok := ctx.Value(contextKey{}).(*Transfer); ok {
		t.progress(n)
	}
}

// ReadAll reads a body of at most max bytes and records the progress for the transfer
// of the context.
func ReadAll(ctx context.Context, r io.Reader, max int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(&progressReader{ctx: ctx, r: r}, max+1))
	if err == nil && int64(len(data)) > max {
		return nil, ErrTooLarge
	}
	return data, err
}

type progressReader struct {
	ctx context.Context
	r   io.Reader
}

// Read implements io.Reader. It reads at most minProgress bytes, because the reader of a
// chunked body returns only when its buffer is full or the chunk ends.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b[:min(len(b), minProgress)])
	Progress(p.ctx, n)
	return n, err
}
