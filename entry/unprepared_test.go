package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/propagation"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
)

// remoteOwnerFirst ranks another host before this one.
type remoteOwnerFirst struct{ Directory }

// Owners implements Directory.
func (remoteOwnerFirst) Owners(model.PoolID, int) []fleet.Peer {
	return []fleet.Peer{{Host: "other", Address: "127.0.0.1:1"}, {Host: "self"}}
}

// answeringOwner answers every request.
type answeringOwner struct{ localOwner }

// Do implements localOwner.
func (answeringOwner) Do(context.Context, *fleet.Request) fleet.Response {
	return fleet.Response{Outcome: model.Answered, Status: http.StatusOK}
}

// fixedTransport returns the same response to every forwarded request.
type fixedTransport struct{ response fleet.Response }

// RoundTrip implements http.RoundTripper.
func (r fixedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	fleet.WriteResponse(rec, &r.response)
	return rec.Result(), nil
}

// Guards against lookups that are refused because the first host in rank has just
// started. Other refusals must not start a second owner of the pool.
func TestOwnerWithoutConfigurationIsSkipped(t *testing.T) {
	g := NewWithT(t)
	for reason, want := range map[model.Reason]model.Outcome{
		model.ReasonNoConfiguration: model.Answered, model.ReasonNoServer: model.NotRun, model.ReasonQueueFull: model.NotRun,
	} {
		client := &fleet.Client{
			Transport: fixedTransport{fleet.NotRun(reason, 0)}, Secrets: fleet.Secrets{[]byte("secret")},
			Propagator: propagation.TraceContext{}, MaxBody: 100,
		}
		e := New(Options{Host: "self", Directory: remoteOwnerFirst{}, Local: answeringOwner{}, Client: client, Scope: tally.NoopScope})
		resp, err := e.forwardRanked(t.Context(), &fleet.Request{Repeatable: true}, time.Now().Add(time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Outcome).To(Equal(want), string(reason))
		e.Close()
	}
}
