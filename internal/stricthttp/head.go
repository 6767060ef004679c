package stricthttp

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"

	"golang.org/x/net/http/httpguts"
)

// MaxHeadBytes is the usual bound of a response's head, with the interim ones before it.
// That of net/http is 10 MB, which a few requests at once multiply.
const MaxHeadBytes = 64 << 10

// HeadError reports a head that is not valid.
type HeadError struct {
	// Problem is what is wrong, for logs.
	Problem string
}

// Error implements error.
func (e *HeadError) Error() string { return "invalid head: " + e.Problem }

// CheckHead returns a *HeadError if the head of a final response, read from a connection, is
// not valid and net/http accepts it:
//   - a status that is none or not final, such as 000 and 999. A switch of protocols counts
//     as well, as no client here asks for one; net/http does not end a read of its body when
//     the request is cancelled.
//   - a field name with a blank. "Content-Length : 5" is another field than Content-Length,
//     so that the body would have another end than its server meant.
//   - a line that begins with a blank. net/http appends it to the value before it.
func CheckHead(resp *http.Response, from net.Conn) error {
	if !IsFinal(resp.StatusCode) {
		return &HeadError{Problem: fmt.Sprintf("status %03d", resp.StatusCode)}
	}
	if err := CheckFieldNames(resp.Header); err != nil {
		return err
	}
	if c := detecting(from); c != nil && c.head.folded() {
		return &HeadError{Problem: "line that begins with a blank"}
	}
	return nil
}

// CheckFieldNames returns a *HeadError if a name in a head that net/http has read is not valid.
func CheckFieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &HeadError{Problem: fmt.Sprintf("field name %q", name)}
		}
	}
	return nil
}

// ExpectHead prepares a connection for the head of the response to the next request. The
// first one needs no call.
func ExpectHead(from net.Conn) {
	if c := detecting(from); c != nil {
		c.head.reset()
	}
}

// detecting returns the connection of DetectResets that c wraps, or nil. A wrapper has the
// method NetConn. Connections with TLS have it too, but what is below them is encrypted.
func detecting(c net.Conn) *conn {
	for {
		switch x := c.(type) {
		case *conn:
			return x
		case *tls.Conn:
			return nil
		case interface{ NetConn() net.Conn }:
			c = x.NetConn()
		default:
			return nil
		}
	}
}

// IsFinal reports whether a status is that of a final response.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= 599 }

// Transport is an http.Transport that detects resets and checks the heads of responses.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that uses t, which it changes. Heads are bounded by
// MaxHeadBytes if t has no bound.
func NewTransport(t *http.Transport) *Transport {
	dial := DialFunc(t.DialContext)
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = DetectResets(dial)
	if t.MaxResponseHeaderBytes == 0 {
		t.MaxResponseHeaderBytes = MaxHeadBytes
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper. The connection of a response that is refused is
// closed, since the bytes after the head may be the body of this response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		conn = i.Conn
		if i.Reused {
			ExpectHead(conn)
		}
	}})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp, conn); err != nil {
		_ = conn.Close()
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
