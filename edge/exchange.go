package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/internal/stricthttp"
)

const (
	// sameRegionDialTimeout bounds a dial within a region, where a round trip
	// takes about 2 ms. A lost SYN is retransmitted only after 1 s, so that
	// trying another server is faster.
	sameRegionDialTimeout = 120 * time.Millisecond
	// crossRegionDialTimeout bounds a dial to another region, where a round trip
	// takes 60 ms.
	crossRegionDialTimeout = 300 * time.Millisecond
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
	// pause is for how long the server wants no requests from this host.
	pause time.Duration
}

// close ends the attempt that a streamed response comes from.
func (r *response) close() {
	if r != nil && r.rest != nil {
		_ = r.rest.Close()
	}
}

// exchanger sends requests to backend servers.
type exchanger struct {
	headers Headers
	conns   *serverConns
	// bufferBytes is how much of a response is buffered before it is streamed.
	bufferBytes int
	// mayReceive reports whether a request may still be sent to a server.
	mayReceive func(balance.ServerKey) bool
	// observeSignals is called with what the head of a response says about its server.
	observeSignals func(server balance.Server, leaving bool, pause time.Duration)
}

func newExchanger(h Headers, bufferBytes int, conns *serverConns) *exchanger {
	return &exchanger{headers: h, bufferBytes: bufferBytes, conns: conns}
}

// errWithheld is returned for an attempt that was given up before anything was sent.
var errWithheld = errors.New("the server wants no requests")

// errTargetNotPath is returned for a request target that does not start with "/".
var errTargetNotPath = errors.New("request target is not a path")

// exchange sends the request to a server and reads the response, which is nil if
// there is none. Of a long response only the first part is read; the rest has to be
// read or closed by the caller of exchange. remaining is the time until the
// deadline; it is sent to the server. progress is called for each part received.
func (x *exchanger) exchange(ctx context.Context, q *request, server balance.Server, crossRegion bool, r connReuse, remaining time.Duration, progress func()) (Verdict, *response, error) {
	if q.id == "" {
		r = newConnection // a late response to an earlier request could not be told from this one's
	}
	verdict, resp, conn, err := x.roundTrip(ctx, q, server, crossRegion, r, remaining)
	if err != nil {
		return verdict, nil, err
	}
	progress()
	if err := stricthttp.CheckHead(resp, conn.socket); err != nil {
		_ = conn.Close()
		return InvalidResponse, nil, err
	}
	verdict = x.headers.Classify(resp, q.id)
	if verdict == Usable && succeededEarly(resp) {
		verdict = InvalidResponse
	}
	echoed := x.headers.EchoedID(resp.Header)
	body := &connBody{ReadCloser: resp.Body, conns: x.conns, conn: conn}
	resp.Body = body
	switch {
	case conn.reused && (verdict == MismatchedResponse || (echoed != "" && echoed != q.id)):
		// A late response to an earlier request on the connection, whatever it says.
		verdict = MismatchedResponse
		x.conns.distrust(conn)
	case verdict.madeByServer() && q.id != "" && echoed == q.id:
		// Only with the ID: a late duplicate of a response without one could not be told
		// from the response to the next request.
		body.keep, body.keepAlive = true, announcedKeepAlive(resp.Header)
	}
	limit, pause := x.serverLimit(resp, verdict), x.headers.ServerPause(resp)
	if resp.StatusCode != http.StatusMisdirectedRequest {
		x.observeSignals(server, x.headers.ServerLeaving(resp.Header), pause)
	}
	if !verdict.mayHaveRun() {
		body.drain(resp.ContentLength)
		_ = resp.Body.Close()
		return verdict, &response{status: resp.StatusCode, header: http.Header{}, limit: limit, pause: pause}, nil
	}
	answer, err := x.readResponse(ctx, resp, verdict, q, progress)
	if err != nil {
		_ = resp.Body.Close()
		return classifyError(ctx), nil, err
	}
	if answer.rest == nil {
		_ = resp.Body.Close()
	}
	answer.header, answer.limit, answer.pause = fleet.EndToEnd(resp.Header), limit, pause
	x.headers.CopyResponse(answer.header, resp.Header)
	return verdict, answer, nil
}

// roundTrip sends a request to a server and returns the head of the response. Without an
// error, the verdict is zero. The request is sent once: it is sent on a second connection
// only if nothing could be written to the first one.
func (x *exchanger) roundTrip(ctx context.Context, q *request, server balance.Server, crossRegion bool, r connReuse, remaining time.Duration) (Verdict, *http.Response, *serverConn, error) {
	for {
		out, err := x.newServerRequest(ctx, q, server, remaining)
		if err != nil {
			return ConnectFailed, nil, nil, err
		}
		conn, err := x.conns.get(ctx, server, crossRegion, r, q.id)
		if err != nil {
			return ConnectFailed, nil, nil, err
		}
		// The server may have said meanwhile that it wants no requests.
		if !x.mayReceive(server.Key) {
			_ = conn.Close()
			return Withheld, nil, nil, errWithheld
		}
		resp, err := conn.RoundTrip(out)
		if err == nil {
			return 0, resp, conn, nil
		}
		verdict, resend := x.conns.fail(ctx, conn)
		if !resend {
			return verdict, nil, nil, err
		}
		r = newConnection
	}
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
func (x *exchanger) readResponse(ctx context.Context, resp *http.Response, verdict Verdict, q *request, progress func()) (*response, error) {
	r := &response{status: resp.StatusCode}
	if resp.Request.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		r.length = resp.ContentLength
		return r, nil
	}
	body, whole, err := readResponseBody(resp.Body, x.bufferBytes, q, progress)
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

// connBody is the body of a response. Close keeps the connection for other requests if
// keep is set and the body was read to its end; otherwise it closes the connection.
type connBody struct {
	io.ReadCloser
	conns *serverConns
	conn  *serverConn
	keep  bool
	// keepAlive is how long the server announces to keep the connection; negative: not
	// announced.
	keepAlive time.Duration
	once      sync.Once
}

const (
	// maxDrainBytes and drainTimeout bound the body of a refusal that is read for the sake
	// of its connection.
	maxDrainBytes = 4 << 10
	drainTimeout  = 20 * time.Millisecond
)

// drain reads a short body that nobody needs, so that the connection can be kept.
func (b *connBody) drain(length int64) {
	if !b.keep || length <= 0 || length > maxDrainBytes {
		return
	}
	timer := time.AfterFunc(drainTimeout, func() { _ = b.conn.Close() })
	_, _ = io.Copy(io.Discard, b.ReadCloser)
	timer.Stop()
}

// Close implements io.Closer.
func (b *connBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		if b.keep {
			b.conns.release(b.conn, b.keepAlive)
		} else {
			_ = b.conn.Close()
		}
	})
	return err
}

// announcedKeepAlive returns for how long the Keep-Alive header of a response says that
// an idle connection is kept; negative if it does not say so, zero if no request may follow.
func announcedKeepAlive(h http.Header) time.Duration {
	announced := time.Duration(-1)
	for _, part := range strings.Split(strings.Join(h["Keep-Alive"], ","), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		n, err := strconv.ParseUint(strings.Trim(value, ` "`), 10, 31)
		switch {
		case err != nil:
		case strings.EqualFold(name, "timeout"):
			announced = time.Duration(n) * time.Second
		case strings.EqualFold(name, "max") && n == 0:
			return 0
		}
	}
	return announced
}

// classifyError returns the verdict on an attempt that opened a connection and received
// no complete response.
func classifyError(ctx context.Context) Verdict {
	switch {
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
		out.Body = newSentBody(q.body)
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
	// stream asks whether a response may be streamed before it has arrived whole; nil:
	// it may. force is set if it cannot be buffered.
	stream func(force bool) bool
	// workspace is that of the request's key, which servers are told; empty: none. It
	// is set in the copy of the request that an attempt sends.
	workspace model.WorkspaceID
}

// path returns the request target without its query.
func (q *request) path() string {
	path, _, _ := strings.Cut(q.target, "?")
	return path
}
