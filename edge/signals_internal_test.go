package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/standin/consortium"
	"github.com/agateusher/agateusher/telemetry"
)

// Guards against a request that a host sends to a server that said, while the host was
// opening the connection or waiting for a permit, that it is leaving or wants a pause.
func TestPreparedAttemptIsGivenUp(t *testing.T) {
	for name, signal := range map[string]func(*serverState, balance.Server){
		"leaving": func(s *serverState, x balance.Server) {
			s.observeSignals(x, true, 0, func([]*gen.LeavingServer) {})
		},
		"told by a peer": func(s *serverState, x balance.Server) {
			s.addLeaving("peer", []*gen.LeavingServer{{Server: uint64(x.Key)}})
		},
		"pause": func(s *serverState, x balance.Server) {
			s.observeSignals(x, false, time.Second, func([]*gen.LeavingServer) {})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			standIn, err := consortium.NewServer("i-1", 1)
			g.Expect(err).NotTo(HaveOccurred())
			defer standIn.Close()
			log := logrus.New()
			log.SetOutput(io.Discard)
			state := newServerState(DefaultSettings(), log)
			state.publish = func(*gen.Observation) {}
			entry := catalog.Server{ID: "i-1", StartedAtMs: 1, Service: "s", Address: standIn.Address(), Slots: 2}
			state.setServers(&catalog.View{Servers: []catalog.Server{entry}})
			server, _ := state.table.Server(balance.ServerKey(entry.Key()))
			conns := newServerConns(64, telemetry.NewCounterVec(telemetry.NewMetrics("test").Scope, "connections", "use", ""))
			x := newExchanger(noHeaders{}, 1<<10, conns)
			x.mayReceive = state.mayReceive
			dial := conns.sameRegion.DialContext
			conns.sameRegion.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				signal(state, server)
				return dial(ctx, network, address)
			}
			choice, number, reason := state.startAttempt(balance.Query{Service: "s"}, false)
			g.Expect(reason).To(Equal(model.ReasonNone))
			g.Expect(number).NotTo(BeZero())
			verdict, _, err := x.exchange(t.Context(), &request{method: "POST", target: "/"}, choice.Server, false, newConnection, time.Second, func() {})
			g.Expect(err).To(MatchError(errWithheld))
			g.Expect(verdict).To(Equal(Withheld))
			g.Expect(verdict.mayHaveRun()).To(BeFalse())
			g.Expect(standIn.Requests()).To(BeEmpty())
			g.Expect(state.startPermitted(choice, false)).To(BeZero())
		})
	}
}

// noHeaders sets no headers.
type noHeaders struct{ Headers }

func (noHeaders) SetAttempt(_ http.Header, _ model.RequestID, _ model.ServerID, _ time.Duration) {
}
