package callerconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// recorder is a connection that records writes and whether a deadline was set for each.
type recorder struct {
	net.Conn
	deadlines int
	writes    int
	fail      error
}

func (r *recorder) SetWriteDeadline(time.Time) error { r.deadlines++; return nil }
func (r *recorder) SetReadDeadline(time.Time) error  { return nil }
func (r *recorder) Read([]byte) (int, error)         { return 0, io.EOF }
func (r *recorder) Close() error                     { return nil }

func (r *recorder) Write(p []byte) (int, error) {
	r.writes++
	return len(p) / 2, r.fail
}

// Guards against a write that fails because the deadline of the last response has passed,
// against bytes that follow a part of a response, and against a side that is read and can
// be written.
func TestWrites(t *testing.T) {
	g := NewWithT(t)
	socket := &recorder{}
	c := New(socket, Options{WriteTimeout: time.Second})
	_, writable := any(c.Reader()).(io.Writer)
	g.Expect(writable).To(BeFalse())
	var kept *Writer
	c.Serve(func() bool { return true }, func(w *Writer) bool {
		kept = w
		g.Expect(w.WriteContinue()).To(Succeed())
		g.Expect(w.WriteContinue()).To(Succeed())
		g.Expect(socket.deadlines).To(Equal(2))
		socket.fail = errors.New("reset")
		g.Expect(w.WriteContinue()).To(MatchError(socket.fail))
		socket.fail = nil
		g.Expect(w.WriteContinue()).To(MatchError("reset"))
		return true
	})
	g.Expect(kept.WriteContinue()).To(MatchError(net.ErrClosed))
	g.Expect(socket.writes).To(Equal(3))
}

// Guards against a response without a body whose framing makes the caller wait for one, or
// close the connection.
func TestHeaderOnlyResponses(t *testing.T) {
	g := NewWithT(t)
	head, get := &http.Request{Method: http.MethodHead}, &http.Request{Method: http.MethodPost}
	for want, r := range map[string]*http.Response{
		"HTTP/1.1 200 OK\r\nX: y\r\n\r\n":                                           {StatusCode: 200, Request: head, ContentLength: -1},
		"HTTP/1.1 200 OK\r\nContent-Length: 7\r\nConnection: close\r\nX: y\r\n\r\n": {StatusCode: 200, Request: head, ContentLength: 7, Close: true},
		"HTTP/1.1 204 No Content\r\nX: y\r\n\r\n":                                   {StatusCode: 204, Request: get},
		"HTTP/1.1 304 Not Modified\r\nX: y\r\n\r\n":                                 {StatusCode: 304, Request: get, ContentLength: -1},
	} {
		r.Header = http.Header{"X": {"y"}, "Content-Length": {"9"}}
		var out strings.Builder
		g.Expect(writeTo(&out, r)).To(Succeed())
		g.Expect(out.String()).To(Equal(want))
	}
}

// Guards against a closed connection that is not noticed before its unread bytes are read.
func TestPeerClosed(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	for _, reset := range []bool{false, true} {
		peer, err := net.Dial("tcp4", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		socket, err := l.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		r := New(socket, Options{}).Reader()
		_, err = io.WriteString(peer, "unread")
		g.Expect(err).NotTo(HaveOccurred())
		g.Consistently(r.PeerClosed).WithTimeout(50 * time.Millisecond).Should(BeFalse())
		if reset {
			g.Expect(peer.(*net.TCPConn).SetLinger(0)).To(Succeed())
		}
		_ = peer.Close()
		g.Eventually(r.PeerClosed).Should(BeTrue())
		_ = socket.Close()
		g.Expect(r.PeerClosed()).To(BeTrue())
	}
}
