package platform

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
)

// Transport returns an http.RoundTripper that calls the endpoint in-process,
// without sockets, so that tests can run under testing/synctest. RoundTrip returns
// only after the handler has returned.
func (e *Endpoint) Transport() http.RoundTripper { return transport{handler: e} }

type transport struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper. If the handler aborts, the error is that
// of the request's context, or else io.ErrUnexpectedEOF.
func (t transport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	in := r.Clone(r.Context())
	if in.Body == nil {
		in.Body = http.NoBody
	}
	defer func() { _ = in.Body.Close() }()
	w := &recorder{header: http.Header{}}
	defer func() {
		if v := recover(); v == nil {
			return
		} else if v != http.ErrAbortHandler {
			panic(v)
		}
		resp, err = nil, io.ErrUnexpectedEOF
		if ctxErr := r.Context().Err(); ctxErr != nil {
			err = ctxErr
		}
	}()
	t.handler.ServeHTTP(w, in)
	return w.response(r), nil
}

// recorder is an http.ResponseWriter that stores the response.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *recorder) Header() http.Header { return w.header }

func (w *recorder) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

func (w *recorder) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

func (w *recorder) response(r *http.Request) *http.Response {
	w.WriteHeader(http.StatusOK)
	return &http.Response{
		Status:        strconv.Itoa(w.status) + " " + http.StatusText(w.status),
		StatusCode:    w.status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        w.header,
		Body:          io.NopCloser(bytes.NewReader(w.body.Bytes())),
		ContentLength: int64(w.body.Len()),
		Request:       r,
	}
}
