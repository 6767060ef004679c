package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/standin/earlyreset"
	"github.com/agateusher/agateusher/telemetry"
)

// acceptingHeaders accepts all responses and echoes no signals.
type acceptingHeaders struct{ noHeaders }

func (acceptingHeaders) Classify(*http.Response, model.RequestID) Verdict { return Usable }

func (acceptingHeaders) EchoedID(http.Header) model.RequestID { return "a" }

func (acceptingHeaders) ServerLimit(http.Header) (l model.RateLimit) { return l }

func (acceptingHeaders) ServerLeaving(http.Header) bool { return false }

func (acceptingHeaders) ServerPause(*http.Response) time.Duration { return 0 }

func (acceptingHeaders) CopyResponse(http.Header, http.Header) {}

// Guards against a switch of protocols that nobody asked for and that is passed on as a
// final response, and against an attempt that then reads without end, beyond its deadline.
func TestSwitchOfProtocolsIsNoResponse(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	}()
	x := newTestExchanger()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	q := &request{id: "a", method: "GET", target: "/", reserved: newBodyMemory(1 << 20).newReservation()}
	verdict, _, err := x.exchange(ctx, q, balance.Server{Address: l.Addr().String()}, false, newConnection, time.Second, func() {})
	g.Expect(err).To(HaveOccurred())
	g.Expect(verdict).To(Equal(InvalidResponse))
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the connection was read until the deadline")
	g.Expect(x.conns.count()).To(BeZero())
}

// newTestExchanger returns an exchanger that accepts all responses.
func newTestExchanger() *exchanger {
	conns := newServerConns(64, telemetry.NewCounterVec(telemetry.NewMetrics("test").Scope, "connections", "use", ""))
	x := newExchanger(acceptingHeaders{}, minResponseBufferBytes, conns)
	x.mayReceive = func(balance.ServerKey) bool { return true }
	x.observeSignals = func(balance.Server, bool, time.Duration) {}
	return x
}

// responsesWithoutLength are responses that are buffered, or streamed, and that of a success
// or of a failure.
var responsesWithoutLength = map[string]string{
	"buffered":         "HTTP/1.1 200 OK\r\n\r\na part",
	"buffered failure": "HTTP/1.1 500 Internal Server Error\r\n\r\na part",
	"streamed":         "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("a part", minResponseBufferBytes),
}

// uploadTo sends an upload whose last part is still being written when the server answers,
// and returns how much of the response's body arrived.
func uploadTo(t *testing.T, server *earlyreset.Server, crossRegion bool) (verdict Verdict, bytes int64, err error) {
	x := newTestExchanger()
	x.conns.sameRegion, x.conns.crossRegion = newTransport(server.Dial), newTransport(server.Dial)
	reserved := newBodyMemory(64 << 20).newReservation()
	q := &request{id: "a", method: "POST", target: "/", reserved: reserved, body: make([]byte, earlyreset.BodyBytes)}
	verdict, resp, err := x.exchange(t.Context(), q, balance.Server{Address: server.Address()}, crossRegion, newConnection, time.Second, func() {})
	if resp == nil {
		return verdict, 0, err
	}
	bytes = int64(len(resp.body))
	if resp.rest != nil {
		resp.rest.failed = func(error) {}
		var rest int64
		rest, err = io.Copy(io.Discard, resp.rest)
		bytes += rest
		resp.close()
	}
	return verdict, bytes, err
}

// Guards against a part of a response without a length that is passed on as the whole one,
// because the reset after it was reported to the write of the request's last part.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for name, response := range responsesWithoutLength {
		for _, crossRegion := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", other region: ", crossRegion), func(t *testing.T) {
				g := NewWithT(t)
				server, err := earlyreset.NewServer(response)
				g.Expect(err).NotTo(HaveOccurred())
				defer server.Close()
				verdict, _, err := uploadTo(t, server, crossRegion)
				g.Expect(err).To(HaveOccurred(), "a part was taken for the whole body")
				if name != "streamed" {
					g.Expect(verdict).To(Equal(ConnectionLost))
				}
				g.Expect(server.Hits()).To(Equal(1), "the moment was not reached: %v", err)
			})
		}
	}
}

// Guards against a whole response without a length that is refused because its server did not
// read the last part of the request.
func TestEndDuringUploadIsEnd(t *testing.T) {
	for name, response := range responsesWithoutLength {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server, err := earlyreset.NewOrderlyServer(response)
			g.Expect(err).NotTo(HaveOccurred())
			defer server.Close()
			verdict, bytes, err := uploadTo(t, server, false)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(verdict).To(Equal(Usable))
			_, body, _ := strings.Cut(response, "\r\n\r\n")
			g.Expect(bytes).To(Equal(int64(len(body))))
		})
	}
}
