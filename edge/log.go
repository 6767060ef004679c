package edge

import (
	"context"
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
)

// logLines is the size of the ring of lines; the newest are dropped when full.
const logLines = 512

// lineWriter passes log lines to a goroutine, so that no request waits for the
// output.
type lineWriter struct {
	ring *kernel.Ring[[]byte]
	out  io.Writer
}

func newLineWriter(out io.Writer) *lineWriter {
	return &lineWriter{ring: kernel.NewRing[[]byte]("log", logLines, kernel.DropNewest), out: out}
}

// Write implements io.Writer. It never blocks.
func (w *lineWriter) Write(line []byte) (int, error) {
	w.ring.Offer(append([]byte(nil), line...))
	return len(line), nil
}

func (w *lineWriter) run(ctx context.Context) error {
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

func (w *lineWriter) print(line []byte) {
	// There is nowhere to report a failure of the log's own output.
	_, _ = w.out.Write(line)
}

// flush writes the lines that wait.
func (w *lineWriter) flush() {
	for {
		select {
		case line := <-w.ring.Items():
			w.print(line)
		default:
			return
		}
	}
}

// requestLog bounds the lines about requests and counts those left out.
type requestLog struct {
	log     telemetry.Logger
	limiter *rate.Limiter
	// skipped counts the lines left out since the last one.
	skipped atomic.Uint64
	// leftOut counts all lines that were left out.
	leftOut atomic.Uint64
}

// requestBurst is how many lines may be written at once.
const requestBurst = 200

func newRequestLog(log telemetry.Logger, perSecond float64) *requestLog {
	return &requestLog{log: log, limiter: rate.NewLimiter(rate.Limit(perSecond), requestBurst)}
}

// write adds a line. Lines about failures may use the whole burst, others only
// its upper half.
func (r *requestLog) write(failed bool, message string, fields telemetry.Fields) {
	if !failed && r.limiter.Tokens() < requestBurst/2 || !r.limiter.Allow() {
		r.skipped.Add(1)
		r.leftOut.Add(1)
		return
	}
	if n := r.skipped.Swap(0); n > 0 {
		fields["skipped"] = n
	}
	r.log.WithFields(fields).Info(message)
}
