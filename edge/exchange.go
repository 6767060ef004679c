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
	// nearDialTimeout bounds the opening of a connection within a region, where
	// a round trip takes about 2 ms. A lost opening packet is sent again only
	// after a second, so another server is the faster way.
	nearDialTimeout = 120 * time.Millisecond
	// farDialTimeout is the same between regions: a round trip takes 60 ms.
	farDialTimeout = 300 * time.Millisecond
	// maxResponseBytes bounds a buffered response.
	maxResponseBytes = 8 << 20
	// maxResponseHeader bounds the headers of a response.
	maxResponseHeader = 64 << 10
)

// response is a complete answer for a caller.
type response struct {
	status int
	header http.Header
	body   []byte
}

// exchanger sends one attempt to one backend server. Each attempt has a
// connection of its own: a connection that is opened at once proves the path in
// both directions, carries no late answer of an earlier request, and cannot have
// been dropped while it was idle.
type exchanger struct {
	headers   Headers
	near, far *http.Transport
}

func newExchanger(h Headers) *exchanger {
	return &exchanger{headers: h, near: newTransport(nearDialTimeout), far: newTransport(farDialTimeout)}
}

func newTransport(dial time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dial, KeepAlive: -1}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// errForeignPath is returned for a request target that cannot be forwarded.
var errForeignPath = errors.New("request target is not a path")

// exchange sends the request and reads the whole answer.
func (x *exchanger) exchange(ctx context.Context, q *request, to balance.Server, far bool, left time.Duration) (Verdict, *response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	out, err := x.outgoing(ctx, q, to, left)
	if err != nil {
		return ConnectFailed, nil, err
	}
	transport := x.near
	if far {
		transport = x.far
	}
	resp, err := transport.RoundTrip(out)
	if err != nil {
		return failure(ctx, connected.Load()), nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	verdict := x.headers.Classify(resp, q.id)
	body, err := fleet.ReadBody(resp.Body, resp.ContentLength, maxResponseBytes)
	if err != nil && verdict.ran() {
		return failure(ctx, true), nil, err
	}
	header := fleet.EndToEnd(resp.Header)
	x.headers.CopyResponse(header, resp.Header)
	return verdict, &response{status: resp.StatusCode, header: header, body: body}, nil
}

func failure(ctx context.Context, connected bool) Verdict {
	switch {
	case !connected:
		return ConnectFailed
	case ctx.Err() != nil:
		return Cancelled
	}
	return ConnectionLost
}

// outgoing builds the request to a backend server: method, target and body as
// the caller sent them.
func (x *exchanger) outgoing(ctx context.Context, q *request, to balance.Server, left time.Duration) (*http.Request, error) {
	target, err := targetURL(q.target, to.Address)
	if err != nil {
		return nil, err
	}
	header := fleet.EndToEnd(q.header)
	x.headers.SetAttempt(header, q.id, to.ID, left)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	out := (&http.Request{
		Method: q.method, URL: target, Host: q.host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(q.body)),
	}).WithContext(ctx)
	if len(q.body) > 0 {
		out.Body = fleet.NewOnceBody(q.body)
	}
	return out, nil
}

// targetURL returns a URL that is sent as the same request target.
func targetURL(target, address string) (*url.URL, error) {
	if !strings.HasPrefix(target, "/") {
		return nil, errForeignPath
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

// request is a caller's request, read as a whole.
type request struct {
	id       model.RequestID
	method   string
	target   string
	host     string
	header   http.Header
	body     []byte
	received time.Time
	// patience is how long the caller waits from received; zero: it did not say.
	patience time.Duration
}
