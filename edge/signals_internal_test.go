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
	announce := func([]*gen.LeavingServer) {}
	for name, signal := range map[string]func(*serverState, balance.Server){
		"leaving": func(s *serverState, x balance.Server) { s.observeSignals(x, true, 0, announce) },
		"told by a peer": func(s *serverState, x balance.Server) {
			s.addLeaving("h", []*gen.LeavingServer{{Server: uint64(x.Key)}})
		},
		"pause": func(s *serverState, x balance.Server) { s.observeSignals(x, false, time.Second, announce) },
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
			state.setServers(&catalog.View{Servers: []catalog.Server{{ID: "i-1", StartedAtMs: 1, Service: "s", Address: standIn.Address(), Slots: 2}}})
			choice, _, reason := state.startAttempt(balance.Query{Service: "s"}, false)
			g.Expect(reason).To(Equal(model.ReasonNone))
			conns := newServerConns(64, telemetry.NewCounterVec(telemetry.NewMetrics("test").Scope, "connections", "use", ""))
			dial := conns.sameRegion.DialContext
			conns.sameRegion.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				signal(state, choice.Server)
				return dial(ctx, network, address)
			}
			x := &exchanger{headers: noHeaders{}, conns: conns, mayReceive: state.mayReceive}
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

func (noHeaders) SetAttempt(http.Header, model.RequestID, model.ServerID, time.Duration) {}

func (noHeaders) SetWorkspace(http.Header, model.WorkspaceID) {}
