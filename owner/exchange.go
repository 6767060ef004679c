package owner

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// cancelTimeout bounds the wait for a server's confirmation; the pool
	// holds the slot for at most as long anyway.
	cancelTimeout = 2 * time.Second
	// The header that marks a 503 as shed unrun if the service names none.
	defaultShedName  = "X-Request-Not-Run"
	defaultShedValue = "true"
)

// backends holds what an exchange needs to know of a pool's servers. It is
// replaced as a whole when the configuration changes.
type backends struct {
	addresses  map[model.ServerID]string
	cancelPath string
	// shedName and shedValue are the header that marks a 503 as shed unrun.
	shedName, shedValue string
}

func newBackends(s *snapshot.Service, servers []snapshot.Server) *backends {
	b := &backends{addresses: make(map[model.ServerID]string, len(servers)), cancelPath: s.CancelPath}
	b.shedName, b.shedValue = parseShedHeader(s.ShedHeader)
	for _, x := range servers {
		b.addresses[x.ID] = x.Address
	}
	return b
}

// parseShedHeader reads a service's shedHeader, "Name: value" or "Name" with the
// value "true".
func parseShedHeader(text string) (name, value string) {
	name, value, ok := strings.Cut(text, ":")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	if name == "" {
		name = defaultShedName
	}
	if !ok || value == "" {
		value = defaultShedValue
	}
	return name, value
}

// httpExchange performs attempts over HTTP/1.1.
type httpExchange struct {
	transport   http.RoundTripper
	tracing     *telemetry.Tracing
	maxResponse int64
	backends    atomic.Pointer[backends]
}

func (x *httpExchange) attempt(ctx context.Context, server model.ServerID, c *call, d pool.Dispatch) attemptEnd {
	b := x.backends.Load()
	address, ok := b.addresses[server]
	if !ok {
		return failed(pool.FailedBeforeSend)
	}
	ctx, span := x.tracing.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("agateusher.server", string(server)),
		attribute.String("agateusher.request_id", string(c.request.ID)),
		attribute.Bool("agateusher.hedge", d.Hedge)))
	defer span.End()
	end := x.send(ctx, address, b, c.request, d.Deadline)
	span.SetAttributes(attribute.String("agateusher.result", end.result.Kind.String()))
	return end
}

func (x *httpExchange) send(ctx context.Context, address string, b *backends, q *fleet.Request, deadline time.Time) attemptEnd {
	ctx, watch := fleet.WatchSend(ctx)
	r, err := newServerRequest(ctx, address, q, deadline)
	if err != nil {
		return failed(pool.FailedBeforeSend)
	}
	x.tracing.Propagator.Inject(ctx, propagation.HeaderCarrier(r.Header))
	resp, err := x.transport.RoundTrip(r)
	if err != nil {
		return failed(classify(ctx, err, watch.Sent()))
	}
	defer resp.Body.Close()
	return x.receive(ctx, resp, b, q)
}

func newServerRequest(ctx context.Context, address string, q *fleet.Request, deadline time.Time) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+address+q.Target, nil)
	if err != nil {
		return nil, err
	}
	r.Header = q.Header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	r.Host = q.Authority
	r.Body, r.ContentLength = fleet.NewNonReplayableBody(q.Body), int64(len(q.Body))
	r.Header.Set(fleet.HeaderRequestID, string(q.ID))
	r.Header.Set(fleet.HeaderWorkspace, string(q.Workspace))
	r.Header.Set(fleet.HeaderBudget, strconv.FormatInt(time.Until(deadline).Microseconds(), 10))
	if q.Key != "" {
		r.Header.Set(fleet.HeaderKey, q.Key)
	}
	return r, nil
}

// receive reads the whole answer. The connection is reused only after a whole
// answer, since the transport closes it if the body is closed early.
func (x *httpExchange) receive(ctx context.Context, resp *http.Response, b *backends, q *fleet.Request) attemptEnd {
	// The answer to another request says nothing about this one, so this comes
	// before the header that says "not run".
	if echo := resp.Header.Get(fleet.HeaderRequestID); echo != "" && echo != string(q.ID) {
		return failed(pool.FailedAfterSend)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(b.shedName) == b.shedValue {
		return failed(pool.Shed)
	}
	length := resp.ContentLength
	if q.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		length = 0
	}
	body, err := fleet.ReadBody(resp.Body, length, x.maxResponse)
	if err != nil {
		return failed(classifyBody(ctx, err))
	}
	return attemptEnd{
		result: pool.AttemptResult{Kind: pool.Answered, ServerError: resp.StatusCode >= http.StatusInternalServerError},
		response: &fleet.Response{
			Outcome: model.Answered, Status: resp.StatusCode, Header: fleet.EndToEnd(resp.Header), Body: body,
		},
	}
}

// cancel deletes the request at the server. Only 200 confirms that it does not
// occupy a slot: a 404 may come from a DELETE that overtook its own request.
func (x *httpExchange) cancel(ctx context.Context, server model.ServerID, id model.RequestID) bool {
	b := x.backends.Load()
	address, ok := b.addresses[server]
	if !ok || b.cancelPath == "" {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	path := strings.ReplaceAll(b.cancelPath, "{id}", string(id))
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	resp, err := x.transport.RoundTrip(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, x.maxResponse))
	return resp.StatusCode == http.StatusOK
}

func failed(kind pool.ResultKind) attemptEnd {
	return attemptEnd{result: pool.AttemptResult{Kind: kind}}
}

func classify(ctx context.Context, err error, sent bool) pool.ResultKind {
	switch {
	case !sent:
		return pool.FailedBeforeSend
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return pool.TimedOut
	}
	return pool.FailedAfterSend
}

func classifyBody(ctx context.Context, err error) pool.ResultKind {
	switch {
	case ctx.Err() != nil:
		return pool.TimedOut
	case errors.Is(err, io.ErrUnexpectedEOF):
		return pool.Truncated
	}
	return pool.FailedAfterSend
}
