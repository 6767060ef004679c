package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
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
	conns := newServerConns(64, telemetry.NewCounterVec(telemetry.NewMetrics("test").Scope, "connections", "use", ""))
	x := newExchanger(acceptingHeaders{}, minResponseBufferBytes, conns)
	x.mayReceive = func(balance.ServerKey) bool { return true }
	x.observeSignals = func(balance.Server, bool, time.Duration) {}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	q := &request{id: "a", method: "GET", target: "/", reserved: newBodyMemory(1 << 20).newReservation()}
	verdict, _, err := x.exchange(ctx, q, balance.Server{Address: l.Addr().String()}, false, newConnection, time.Second, func() {})
	g.Expect(err).To(HaveOccurred())
	g.Expect(verdict).To(Equal(InvalidResponse))
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the connection was read until the deadline")
	g.Expect(conns.count()).To(BeZero())
}
