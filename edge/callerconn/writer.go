package callerconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// continueResponse is the interim response that asks for the body of a request.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// Writer is the side of a connection that is written. It is not safe for concurrent use.
// After an error nothing more is written, since a part of a response may have been sent.
type Writer struct {
	socket  net.Conn
	timeout time.Duration
	err     error
}

// socketWriter writes to the socket. Each write has a deadline of its own.
type socketWriter struct{ *Writer }

// Write implements io.Writer.
func (w socketWriter) Write(p []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	_ = w.socket.SetWriteDeadline(time.Now().Add(w.timeout))
	n, err := w.socket.Write(p)
	w.err = err
	return n, err
}

// WriteContinue writes the interim response 100.
func (w *Writer) WriteContinue() error {
	_, err := io.WriteString(socketWriter{w}, continueResponse)
	return err
}

// WriteResponse writes a response through a buffer of the given size. An error is that of
// the connection or of the response's body.
func (w *Writer) WriteResponse(r *http.Response, bufferSize int) error {
	buffered := bufio.NewWriterSize(socketWriter{w}, bufferSize)
	err := writeTo(buffered, r)
	if err == nil {
		err = buffered.Flush()
	}
	if w.err == nil {
		w.err = err
	}
	return err
}

func writeTo(w io.Writer, r *http.Response) error {
	if hasNoBody(r) {
		return writeHeaderOnly(w, r)
	}
	return r.Write(w)
}

// hasNoBody reports whether a response ends after its header whatever the header says.
func hasNoBody(r *http.Response) bool {
	return (r.Request != nil && r.Request.Method == http.MethodHead) ||
		r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified
}

// framingHeaders are written from the fields of a response, not from its header.
var framingHeaders = map[string]bool{"Content-Length": true, "Transfer-Encoding": true, "Trailer": true, "Connection": true}

// writeHeaderOnly writes a response without a body. http.Response.Write adds "Connection:
// close" to one of unknown length, although the connection goes on.
func writeHeaderOnly(w io.Writer, r *http.Response) error {
	if _, err := fmt.Fprintf(w, "HTTP/1.1 %03d %s\r\n", r.StatusCode, http.StatusText(r.StatusCode)); err != nil {
		return err
	}
	if r.ContentLength >= 0 && r.StatusCode != http.StatusNoContent && r.StatusCode != http.StatusNotModified {
		if _, err := fmt.Fprintf(w, "Content-Length: %d\r\n", r.ContentLength); err != nil {
			return err
		}
	}
	if r.Close {
		if _, err := io.WriteString(w, "Connection: close\r\n"); err != nil {
			return err
		}
	}
	if err := r.Header.WriteSubset(w, framingHeaders); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

// Reset ends the connection so that the caller sees that a response is not whole.
func (w *Writer) Reset() {
	if tcp, ok := w.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}
