package stricthttp_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/internal/stricthttp"
	"github.com/agateusher/agateusher/standin/earlyreset"
)

// Guards against a part of a response without a length that is taken for the whole one,
// because the reset after it was reported to the write of the request's body.
func TestResetDuringUpload(t *testing.T) {
	g := NewWithT(t)
	server, err := earlyreset.NewServer("HTTP/1.1 200 OK\r\n\r\na part")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	transport := stricthttp.NewTransport(&http.Transport{DialContext: server.Dial})
	t.Cleanup(transport.CloseIdleConnections)
	for _, length := range []int64{earlyreset.BodyBytes, -1} {
		req, err := http.NewRequest(http.MethodPost, "http://"+server.Address(), strings.NewReader(strings.Repeat("x", earlyreset.BodyBytes)))
		g.Expect(err).NotTo(HaveOccurred())
		req.ContentLength = length
		resp, err := transport.RoundTrip(req)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		g.Expect(string(body)).To(Equal("a part"))
		g.Expect(err).To(HaveOccurred(), "a part was taken for the whole body")
	}
	g.Expect(server.Hits()).To(Equal(2), "the moment was not reached")
}

// end is how a peer ends a connection that it does not read.
type end struct {
	name                  string
	closeWrite, reset     bool
	writeDone, wantsWhole bool
}

// Guards against a response that ended in order and is refused because the request was not
// read to its end, and against one that is accepted because the reset was read late.
func TestEndOfConnection(t *testing.T) {
	for _, e := range []end{
		{name: "end", closeWrite: true, wantsWhole: true},
		{name: "end, then a reset", closeWrite: true, reset: true, wantsWhole: true},
		{name: "reset", reset: true},
		{name: "end after the request", closeWrite: true, writeDone: true, wantsWhole: true},
		{name: "reset after the request", reset: true, writeDone: true},
	} {
		t.Run(e.name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			c, err := stricthttp.DetectResets((&net.Dialer{}).DialContext)(t.Context(), "tcp4", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			accepted, err := l.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			peer := accepted.(*net.TCPConn)
			defer func() { _ = peer.Close() }()

			written := make(chan error, 1)
			go func() {
				size := 16 << 20 // more than the buffers of the connection hold
				if e.writeDone {
					size = 1
				}
				_, err := c.Write(make([]byte, size))
				written <- err
			}()
			time.Sleep(50 * time.Millisecond)
			_, err = io.WriteString(peer, "response")
			g.Expect(err).NotTo(HaveOccurred())
			if e.closeWrite {
				g.Expect(peer.CloseWrite()).To(Succeed())
			}
			if e.reset {
				g.Expect(peer.SetLinger(0)).To(Succeed())
				g.Expect(peer.Close()).To(Succeed())
			}
			if e.reset || e.writeDone {
				// The reset is reported to the write, before anything is read.
				g.Eventually(written).Should(Receive())
			}
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			data, err := io.ReadAll(c)
			if e.wantsWhole {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(data)).To(Equal("response"))
				return
			}
			g.Expect(err).To(HaveOccurred())
		})
	}
}
