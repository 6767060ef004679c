package stricthttp_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/internal/stricthttp"
)

// serve answers all requests with the bytes of a response, and returns the address and the
// count of the connections.
func serve(t *testing.T, response string) (address string, connections func() int) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan struct{}, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if _, err := io.WriteString(c, response); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), func() int { return len(accepted) }
}

// checkRefused sends requests to a server with a broken response: each is refused, and its
// connection is used for no other request.
func checkRefused(t *testing.T, response string) {
	g := NewWithT(t)
	address, connections := serve(t, response)
	transport := stricthttp.NewTransport(&http.Transport{})
	t.Cleanup(transport.CloseIdleConnections)
	for i := range 3 {
		req, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := transport.RoundTrip(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		var head *stricthttp.HeadError
		g.Expect(errors.As(err, &head)).To(BeTrue(), "%v", err)
		g.Expect(connections()).To(Equal(i + 1))
	}
}

// Guards against a response whose status is none, or that of an interim response or a
// switch of protocols, and that is taken for a final one.
func TestStatus(t *testing.T) {
	for _, status := range []string{"000", "+20", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			checkRefused(t, "HTTP/1.1 "+status+" Status\r\nContent-Length: 0\r\n\r\n")
		})
	}
	for _, status := range []int{100, 199, 0, -1, 600} {
		NewWithT(t).Expect(stricthttp.IsFinal(status)).To(BeFalse(), "%d", status)
	}
	for _, status := range []int{200, 404, 599} {
		NewWithT(t).Expect(stricthttp.IsFinal(status)).To(BeTrue(), "%d", status)
	}
}
