package transfer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a transfer that is ended although it makes progress, against one that
// goes on without, and against a trickle of single bytes that counts as progress.
func TestLimitFollowsProgress(t *testing.T) {
	for _, c := range []struct {
		name     string
		bytes    int
		interval time.Duration
		stalls   bool
	}{
		{"slow", 4 << 10, 900 * time.Millisecond, false},
		{"stalled", 4 << 10, 1100 * time.Millisecond, true},
		{"trickle", 1, 50 * time.Millisecond, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, transfer := Start(t.Context(), Limit{First: 2 * time.Second, Stall: time.Second}, nil)
			time.Sleep(1900 * time.Millisecond)
			g.Expect(transfer.Receiving()).To(BeFalse())
			Progress(ctx, 1)
			for range 40 {
				time.Sleep(c.interval)
				Progress(ctx, c.bytes)
			}
			g.Expect(ctx.Err() != nil).To(Equal(c.stalls), c.name)
			err := transfer.End(ctx.Err())
			g.Expect(errors.Is(err, ErrStalled)).To(Equal(c.stalls), c.name)
		})
	}
}

// Guards against a check that ends a transfer whose body is arriving.
func TestInterruptSparesTheBody(t *testing.T) {
	g := NewWithT(t)
	ctx, transfer := Start(t.Context(), Limit{First: time.Minute, Stall: time.Minute}, nil)
	Progress(ctx, 1)
	g.Expect(transfer.Interrupt()).To(BeFalse())
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	ctx, waiting := Start(t.Context(), Limit{First: time.Minute, Stall: time.Minute}, nil)
	g.Expect(waiting.Interrupt()).To(BeTrue())
	g.Expect(ctx.Err()).To(HaveOccurred())
}

// Guards against a chunked body whose reader returns only once a large buffer is full:
// the transfer would seem to stall.
func TestChunkedBodyMakesProgress(t *testing.T) {
	g := NewWithT(t)
	chunk := strings.Repeat("x", 64<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, chunk)
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, chunk)
	}))
	defer server.Close()
	progress := 0
	ctx, transfer := Start(context.Background(), Limit{First: 10 * time.Second, Stall: 10 * time.Second}, func() { progress++ })
	resp, err := http.Get(server.URL)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	data, err := ReadAll(ctx, resp.Body, 1<<20)
	g.Expect(transfer.End(err)).To(Succeed())
	g.Expect(data).To(HaveLen(2 * len(chunk)))
	g.Expect(progress).To(BeNumerically(">=", 20))
	_, err = ReadAll(ctx, strings.NewReader(chunk), 1000)
	g.Expect(err).To(MatchError(ErrTooLarge))
}
