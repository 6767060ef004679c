package edge

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
)

// logRingSize is the capacity of the ring of log lines. When it is full, new lines
// are dropped.
const logRingSize = 512

// asyncWriter writes log lines from a goroutine of its own, so that requests do not
// wait for the output.
type asyncWriter struct {
	ring *kernel.Ring[[]byte]
	out  io.Writer
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	return &asyncWriter{ring: kernel.NewRing[[]byte]("log", logRingSize, kernel.DropNewest), out: out}
}

// Write implements io.Writer. It never blocks.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.ring.Offer(append([]byte(nil), line...))
	return len(line), nil
}

func (w *asyncWriter) run(ctx context.Context) error {
	for {
		select {
		case line := <-w.ring.Items():
			w.print(line)
		case <-ctx.Done():
			w.flush()
			return nil
		}
	}
}

func (w *asyncWriter) print(line []byte) {
	// A failure of the log output cannot be reported anywhere.
	_, _ = w.out.Write(line)
}

// flush writes the lines in the ring.
func (w *asyncWriter) flush() {
	for {
		select {
		case line := <-w.ring.Items():
			w.print(line)
		default:
			return
		}
	}
}

// requestLog limits the rate of log lines about requests and counts those left out.
type requestLog struct {
	log     telemetry.Logger
	limiter *rate.Limiter
	// skippedSinceLine counts the lines left out since the last line written.
	skippedSinceLine atomic.Uint64
	// skippedTotal counts all lines left out.
	skippedTotal atomic.Uint64
}

// requestLogBurst is the number of lines that may be written at once.
const requestLogBurst = 200

func newRequestLog(log telemetry.Logger, perSecond float64) *requestLog {
	return &requestLog{log: log, limiter: rate.NewLimiter(rate.Limit(perSecond), requestLogBurst)}
}

// write writes a line. Lines about failed requests may use the whole burst, others
// only half of it, so that failures are still logged when there are many lines.
func (r *requestLog) write(failed bool, message string, fields telemetry.Fields) {
	if !failed && r.limiter.Tokens() < requestLogBurst/2 || !r.limiter.Allow() {
		r.skippedSinceLine.Add(1)
		r.skippedTotal.Add(1)
		return
	}
	if n := r.skippedSinceLine.Swap(0); n > 0 {
		fields["skipped"] = n
	}
	r.log.WithFields(fields).Info(message)
}

// describeReadError returns the text of an error about a caller's request up to the
// first part of the request that it quotes, which may be a key.
func describeReadError(err error) string {
	text := strings.TrimPrefix(err.Error(), "http: ")
	if i := strings.IndexAny(text, "\":"); i >= 0 {
		text = text[:i]
	}
	return strings.TrimSpace(text)
}

// LibraryLog is the output of the standard library's log. It leaves out the lines of
// net/http about bytes on idle connections, because they contain the bytes, which may be
// part of a caller's response.
type LibraryLog struct{ io.Writer }

// Write implements io.Writer.
func (l LibraryLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("Unsolicited response received on idle HTTP channel")) {
		return len(line), nil
	}
	return l.Writer.Write(line)
}
