package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
)

const (
	// sameRegionDialTimeout bounds a dial within a region, where a round trip
	// takes about 2 ms. A lost SYN is retransmitted only after 1 s, so that
	// trying another server is faster.
	sameRegionDialTimeout = 120 * time.Millisecond
	// crossRegionDialTimeout bounds a dial to another region, where a round trip
	// takes 60 ms.
	crossRegionDialTimeout = 300 * time.Millisecond
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 64 << 10
)

// response is a response to a caller.
type response struct {
	status int
	header http.Header
	body   []byte
	// rest is the part of the body after body; nil if body is the whole.
	rest *bodyStream
	// length is the length of the whole body, or -1 if it is not known. A response
	// to HEAD has a length but no body.
	length int64
	// limit is the rate limit that the backend server named in the response.
	limit model.RateLimit
}

// close ends the attempt that a streamed response comes from.
func (r *response) close() {
	if r.rest != nil {
		_ = r.rest.Close()
	}
}

// exchanger sends requests to backend servers. Each attempt opens a new connection:
// this shows that packets pass in both directions, and unlike a reused connection it
// carries no late response to an earlier request and was not dropped while idle.
type exchanger struct {
	headers                 Headers
	sameRegion, crossRegion *http.Transport
	// bufferBytes is how much of a response is buffered before it is streamed.
	bufferBytes int
}

func newExchanger(h Headers, bufferBytes int) *exchanger {
	return &exchanger{headers: h, bufferBytes: bufferBytes, sameRegion: newTransport(sameRegionDialTimeout), crossRegion: newTransport(crossRegionDialTimeout)}
}

func newTransport(dialTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// errTargetNotPath is returned for a request target that does not start with "/".
var errTargetNotPath = errors.New("request target is not a path")

// exchange sends the request to a server and reads the response, which is nil if
// there is none. Of a long response only the first part is read; the rest has to be
// read or closed by the caller of exchange. remaining is the time until the
// deadline; it is sent to the server. progress is called for each part received.
func (x *exchanger) exchange(ctx context.Context, q *request, server balance.Server, crossRegion bool, remaining time.Duration, progress func()) (Verdict, *response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	out, err := x.newServerRequest(ctx, q, server, remaining)
	if err != nil {
		return ConnectFailed, nil, err
	}
	transport := x.sameRegion
	if crossRegion {
		transport = x.crossRegion
	}
	resp, err := transport.RoundTrip(out)
	if err != nil {
		return classifyError(ctx, connected.Load()), nil, err
	}
	progress()
	verdict := x.headers.Classify(resp, q.id)
	limit := x.serverLimit(resp, verdict)
	if !verdict.mayHaveRun() {
		_ = resp.Body.Close()
		return verdict, &response{status: resp.StatusCode, header: http.Header{}, limit: limit}, nil
	}
	r, err := x.readResponse(ctx, resp, verdict, q.reserved, progress)
	if err != nil {
		_ = resp.Body.Close()
		return classifyError(ctx, true), nil, err
	}
	if r.rest == nil {
		_ = resp.Body.Close()
	}
	r.header, r.limit = fleet.EndToEnd(resp.Header), limit
	x.headers.CopyResponse(r.header, resp.Header)
	return verdict, r, nil
}

// serverLimit returns the limit that a response names.
func (x *exchanger) serverLimit(resp *http.Response, v Verdict) model.RateLimit {
	if !v.madeByServer() {
		return model.RateLimit{}
	}
	return x.headers.ServerLimit(resp.Header)
}

// readResponse reads the body of a response, or its first part if it is long and
// the response is usable.
func (x *exchanger) readResponse(ctx context.Context, resp *http.Response, verdict Verdict, reserved *reservation, progress func()) (*response, error) {
	r := &response{status: resp.StatusCode}
	if resp.Request.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		r.length = resp.ContentLength
		return r, nil
	}
	body, whole, err := readBody(resp.Body, x.bufferBytes, reserved, progress)
	if err != nil && !errors.Is(err, errNoMemory) {
		return nil, err
	}
	r.body, r.length = body, int64(len(body))
	if whole {
		return r, nil
	}
	if verdict != Usable {
		return nil, errResponseTooLong
	}
	r.length = resp.ContentLength
	r.rest = &bodyStream{body: resp.Body, ctx: ctx, read: int64(len(body))}
	return r, nil
}

// classifyError returns the verdict on an attempt without a complete response.
func classifyError(ctx context.Context, connected bool) Verdict {
	switch {
	case !connected:
		return ConnectFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return TimedOut
	case ctx.Err() != nil:
		return Cancelled
	}
	return ConnectionLost
}

// newServerRequest returns the request to a backend server, with the method, target
// and body that the caller sent.
func (x *exchanger) newServerRequest(ctx context.Context, q *request, server balance.Server, remaining time.Duration) (*http.Request, error) {
	target, err := targetURL(q.target, server.Address)
	if err != nil {
		return nil, err
	}
	header := fleet.EndToEnd(q.header)
	x.headers.SetAttempt(header, q.id, server.ID, remaining)
	x.headers.SetWorkspace(header, q.workspace)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	out := (&http.Request{
		Method: q.method, URL: target, Host: q.host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(q.body)),
	}).WithContext(ctx)
	if len(q.body) > 0 {
		out.Body = fleet.NewNonReplayableBody(q.body)
	}
	return out, nil
}

// targetURL returns a URL that net/http writes as the same request target, byte for
// byte.
func targetURL(target, address string) (*url.URL, error) {
	if !strings.HasPrefix(target, "/") {
		return nil, errTargetNotPath
	}
	u := &url.URL{Scheme: "http", Host: address}
	path, query, found := strings.Cut(target, "?")
	u.RawQuery, u.ForceQuery = query, found && query == ""
	if strings.HasPrefix(path, "//") {
		parsed, err := url.ParseRequestURI("http://host" + path)
		if err != nil {
			return nil, err
		}
		u.Path, u.RawPath = parsed.Path, parsed.RawPath
		return u, nil
	}
	u.Opaque = path
	return u, nil
}

// request is a caller's request with its body.
type request struct {
	id       model.RequestID
	method   string
	target   string
	host     string
	header   http.Header
	body     []byte
	received time.Time
	// callerTimeout is how long the caller waits, counted from received; zero:
	// not known.
	callerTimeout time.Duration
	// reserved is the memory of the request's bodies.
	reserved *reservation
	// workspace is that of the request's key, which servers are told; empty: none. It
	// is set in the copy of the request that an attempt sends.
	workspace model.WorkspaceID
}

// path returns the request target without its query.
func (q *request) path() string {
	path, _, _ := strings.Cut(q.target, "?")
	return path
}
