package owner

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
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
	// cancelTimeout bounds the wait for a server's confirmation. After the same
	// time at the latest (pool.MaxCancelHold), the pool frees the slot without it.
	cancelTimeout = 2 * time.Second
	// The header that marks a 503 response as shed, not run, for services that
	// configure no shedHeader.
	defaultShedHeaderName  = "X-Request-Not-Run"
	defaultShedHeaderValue = "true"
	// limitHeaderName is the header with the rate that a server takes from the whole
	// fleet, in requests per second.
	limitHeaderName = "Server-Limit"
)

// backendConfig is the part of the configuration that requests to a pool's servers
// depend on. It is replaced as a whole when the configuration changes.
type backendConfig struct {
	addresses  map[model.ServerID]string
	cancelPath string
	// A 503 response with this header was shed: the server did not run the request.
	shedHeaderName, shedHeaderValue string
}

func newBackendConfig(s *snapshot.Service, servers []snapshot.Server) *backendConfig {
	b := &backendConfig{addresses: make(map[model.ServerID]string, len(servers)), cancelPath: s.CancelPath}
	b.shedHeaderName, b.shedHeaderValue = parseShedHeader(s.ShedHeader)
	for _, x := range servers {
		b.addresses[x.ID] = x.Address
	}
	return b
}

// parseShedHeader parses a service's shedHeader, which is "Name: value" or "Name".
// The value defaults to "true"; empty text means the default header.
func parseShedHeader(text string) (name, value string) {
	name, value, ok := strings.Cut(text, ":")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	if name == "" {
		name = defaultShedHeaderName
	}
	if !ok || value == "" {
		value = defaultShedHeaderValue
	}
	return name, value
}

// httpBackendClient sends requests and cancellations over HTTP/1.1.
type httpBackendClient struct {
	transport        http.RoundTripper
	tracing          *telemetry.Tracing
	maxResponseBytes int64
	config           atomic.Pointer[backendConfig]
	// echoing has the addresses whose last response carried the ID of its request.
	// Only their connections are reused: without the ID, a late second copy of an
	// answer would be taken for the answer to the next request on the connection.
	echoing sync.Map
}

func (x *httpBackendClient) attempt(ctx context.Context, server model.ServerID, c *call, d pool.Dispatch) attemptOutcome {
	b := x.config.Load()
	address, ok := b.addresses[server]
	if !ok {
		return failedAttempt(pool.FailedBeforeSend)
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

func (x *httpBackendClient) send(ctx context.Context, address string, b *backendConfig, q *fleet.Request, deadline time.Time) attemptOutcome {
	ctx, watch := fleet.WatchSend(ctx)
	var got atomic.Pointer[httptrace.GotConnInfo]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { got.Store(&i) }})
	r, err := newServerRequest(ctx, address, q, deadline)
	if err != nil {
		return failedAttempt(pool.FailedBeforeSend)
	}
	x.tracing.Propagator.Inject(ctx, propagation.HeaderCarrier(r.Header))
	_, echoes := x.echoing.Load(address)
	r.Close = !echoes
	resp, err := x.transport.RoundTrip(r)
	if err != nil {
		return failedAttempt(classifySendError(ctx, err, watch.Sent()))
	}
	defer resp.Body.Close()
	if resp.Header.Get(fleet.HeaderRequestID) != "" {
		x.echoing.Store(address, struct{}{})
	} else {
		x.echoing.Delete(address)
		if conn := got.Load(); conn != nil && conn.Reused { // it may be the answer to an earlier request
			return failedAttempt(pool.FailedAfterSend)
		}
	}
	end := x.receive(ctx, resp, b, q)
	if conn := got.Load(); end.result.Kind == pool.Shed && conn != nil {
		// The request may be sent to this server again. On the same connection, a late
		// duplicate of this refusal could not be told from the response to that attempt.
		_ = conn.Conn.Close()
	}
	return end
}

// newServerRequest returns the request to send to the server. Its body can be read
// once only, so that the transport cannot repeat the request.
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

// receive reads the complete response. The connection is reused only after a
// complete response: the transport closes it if the body is closed early.
func (x *httpBackendClient) receive(ctx context.Context, resp *http.Response, b *backendConfig, q *fleet.Request) attemptOutcome {
	// A response to another request says nothing about this one, so the request ID
	// is checked before the header that means "not run".
	if echo := resp.Header.Get(fleet.HeaderRequestID); echo != "" && echo != string(q.ID) {
		return failedAttempt(pool.FailedAfterSend)
	}
	limit := model.ParseRateLimit(resp.Header.Get(limitHeaderName))
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(b.shedHeaderName) == b.shedHeaderValue {
		end := failedAttempt(pool.Shed)
		end.result.Limit = limit
		return end
	}
	length := resp.ContentLength
	if q.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		length = 0
	}
	body, err := fleet.ReadBody(resp.Body, length, x.maxResponseBytes)
	if err != nil {
		return failedAttempt(classifyBodyError(ctx, err))
	}
	return attemptOutcome{
		result: pool.AttemptResult{Kind: pool.Answered, ServerError: resp.StatusCode >= http.StatusInternalServerError, Limit: limit},
		response: &fleet.Response{
			Outcome: model.Answered, Status: resp.StatusCode, Header: fleet.EndToEnd(resp.Header), Body: body,
		},
	}
}

// cancel sends a DELETE for the request to the server. Only status 200 confirms that
// the request occupies no slot: the server also answers 404 if the DELETE arrives
// before the request itself.
func (x *httpBackendClient) cancel(ctx context.Context, server model.ServerID, id model.RequestID) bool {
	b := x.config.Load()
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
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, x.maxResponseBytes))
	return resp.StatusCode == http.StatusOK
}

func failedAttempt(kind pool.ResultKind) attemptOutcome {
	return attemptOutcome{result: pool.AttemptResult{Kind: kind}}
}

// classifySendError returns the result of an attempt without a response. The server
// may have run the request if sent is true.
func classifySendError(ctx context.Context, err error, sent bool) pool.ResultKind {
	switch {
	case !sent:
		return pool.FailedBeforeSend
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return pool.TimedOut
	}
	return pool.FailedAfterSend
}

// classifyBodyError returns the result of an attempt whose response body could not be
// read completely.
func classifyBodyError(ctx context.Context, err error) pool.ResultKind {
	switch {
	case ctx.Err() != nil:
		return pool.TimedOut
	case errors.Is(err, io.ErrUnexpectedEOF):
		return pool.Truncated
	}
	return pool.FailedAfterSend
}
