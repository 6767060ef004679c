package stricthttp_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

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

// get returns the body of the response to a request.
func get(t *testing.T, transport *stricthttp.Transport, address string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// checkRefused sends requests to a server with a broken response: each is refused, and its
// connection is used for no other request.
func checkRefused(t *testing.T, response string) {
	g := NewWithT(t)
	address, connections := serve(t, response)
	transport := stricthttp.NewTransport(&http.Transport{})
	t.Cleanup(transport.CloseIdleConnections)
	for i := range 3 {
		_, err := get(t, transport, address)
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

// oddLines are lines of a head whose field names are none; net/http accepts some of them.
var oddLines = map[string]string{
	"blank before the colon":     "Content-Length : 4",
	"coding, blank before colon": "Transfer-Encoding : chunked",
	"blank inside":               "Odd Name: x",
	"blank at the start":         " Odd-Name: x",
	"tab at the start":           "\tContent-Length: 4",
	"line of blanks":             "  ",
	"tab inside":                 "Odd\tName: x",
	"tab before the colon":       "Odd-Name\t: x",
	"control byte":               "Odd\x01Name: x",
	"zero byte":                  "\x00Odd-Name: x",
	"carriage return":            "Odd\rName: x",
	"delete":                     "Odd\x7fName: x",
	"no name":                    ": x",
	"no colon":                   "Odd-Name",
}

// Guards against a head with a field name that is none: a response with such a line, and
// with a body that ends elsewhere than its server meant, is taken for a good one.
func TestFieldNames(t *testing.T) {
	for name, line := range oddLines {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, head := range []string{
				"HTTP/1.1 200 OK\r\n" + line + "\r\nX: y\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n" + line + "\r\nContent-Length: 0\r\n",
				"HTTP/1.1 200 OK\nX: y\n" + line + "\n", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n" + line + "\r\n",
			} {
				address, connections := serve(t, head+"\r\nbody")
				transport := stricthttp.NewTransport(&http.Transport{})
				for i := range 2 {
					_, err := get(t, transport, address)
					g.Expect(err).To(HaveOccurred(), "%q", head)
					g.Expect(errors.Is(err, context.DeadlineExceeded)).To(BeFalse(), "%q", head)
					g.Expect(connections()).To(Equal(i + 1))
				}
				transport.CloseIdleConnections()
			}
		})
	}
}

// Guards against a response that ends at any byte, because its server closes the connection,
// and that a client takes for a whole one. All clients read responses in this way.
func TestResponsesThatEnd(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 204 No Content\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\nX: y\nContent-Length: 0\n\n",
		"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Z\r\n\r\n4;x=y\r\nbody\r\n0\r\nZ: z\r\n\r\n",
	} {
		for end := range len(response) + 1 {
			g := NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.WriteString(c, response[:end])
					}
					_ = c.Close()
				}
			}()
			transport := stricthttp.NewTransport(&http.Transport{})
			_, err = get(t, transport, l.Addr().String())
			if end < len(response) {
				g.Expect(err).To(HaveOccurred(), "%q", response[:end])
			} else {
				g.Expect(err).NotTo(HaveOccurred(), "%q", response)
			}
			transport.CloseIdleConnections()
			_ = l.Close()
		}
	}
}

// Guards against a sound response that is refused: after an interim one, on a connection in
// use again, with blanks in values and lines of the body that begin with one.
func TestSoundHeads(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 7\r\nX:  a b \r\n\r\n \n\tbody",
		"HTTP/1.1 200\nContent-Length: 7\n\n x\n\n x\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n\r\n\r\n x\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n x\n x\n \r\n0\r\n\r\n",
	} {
		g := NewWithT(t)
		address, connections := serve(t, response)
		transport := stricthttp.NewTransport(&http.Transport{})
		for range 3 {
			body, err := get(t, transport, address)
			g.Expect(err).NotTo(HaveOccurred(), "%q", response)
			g.Expect(body).To(HaveLen(7))
		}
		g.Expect(connections()).To(Equal(1))
		transport.CloseIdleConnections()
	}
}
