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

// twoOwners ranks another host before this one.
type twoOwners struct{ Directory }

// Owners implements Directory.
func (twoOwners) Owners(model.PoolID, int) []fleet.Peer {
	return []fleet.Peer{{Host: "other", Address: "127.0.0.1:1"}, {Host: "self"}}
}

// answeringOwner answers every request.
type answeringOwner struct{ fleetOwner }

// Do implements fleetOwner.
func (answeringOwner) Do(context.Context, *fleet.Request) fleet.Response {
	return fleet.Response{Outcome: model.Answered, Status: http.StatusOK}
}

// remote gives the same response to every forwarded request.
type remote struct{ response fleet.Response }

// RoundTrip implements http.RoundTripper.
func (r remote) RoundTrip(*http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	fleet.WriteResponse(rec, &r.response)
	return rec.Result(), nil
}

// Guards against lookups refused because the first host in rank has just
// started, and against other refusals that start a second owner of a pool.
func TestUnpreparedOwnerIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	for reason, want := range map[model.Reason]model.Outcome{
		model.ReasonNoConfiguration: model.Answered, model.ReasonNoServer: model.NotRun, model.ReasonQueueFull: model.NotRun,
	} {
		client := &fleet.Client{
			Transport: remote{fleet.NotRun(reason, 0)}, Secrets: fleet.Secrets{[]byte("secret")},
			Propagator: propagation.TraceContext{}, MaxBody: 100,
		}
		e := New(Options{Host: "self", Directory: twoOwners{}, Local: answeringOwner{}, Client: client, Scope: tally.NoopScope})
		resp, err := e.forwardRanked(t.Context(), &fleet.Request{Repeatable: true}, time.Now().Add(time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Outcome).To(Equal(want), string(reason))
		e.Close()
	}
}
