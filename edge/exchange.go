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
	// maxResponseBytes bounds the body of a response, which is buffered.
	maxResponseBytes = 8 << 20
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 64 << 10
)

// response is a complete response to a caller.
type response struct {
	status int
	header http.Header
	body   []byte
}

// exchanger sends requests to backend servers. Each attempt opens a new connection:
// this shows that packets pass in both directions, and unlike a reused connection it
// carries no late response to an earlier request and was not dropped while idle.
type exchanger struct {
	headers                 Headers
	sameRegion, crossRegion *http.Transport
}

func newExchanger(h Headers) *exchanger {
	return &exchanger{headers: h, sameRegion: newTransport(sameRegionDialTimeout), crossRegion: newTransport(crossRegionDialTimeout)}
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

// exchange sends the request to a server and reads the whole response, which is nil
// if there is none. remaining is the time until the deadline; it is sent to the
// server.
func (x *exchanger) exchange(ctx context.Context, q *request, server balance.Server, crossRegion bool, remaining time.Duration) (Verdict, *response, error) {
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
	defer func() { _ = resp.Body.Close() }()
	verdict := x.headers.Classify(resp, q.id)
	body, err := fleet.ReadBody(resp.Body, resp.ContentLength, maxResponseBytes)
	if err != nil && verdict.mayHaveRun() {
		return classifyError(ctx, true), nil, err
	}
	header := fleet.EndToEnd(resp.Header)
	x.headers.CopyResponse(header, resp.Header)
	return verdict, &response{status: resp.StatusCode, header: header, body: body}, nil
}

// classifyError returns the verdict on an attempt without a complete response.
func classifyError(ctx context.Context, connected bool) Verdict {
	switch {
	case !connected:
		return ConnectFailed
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
}
