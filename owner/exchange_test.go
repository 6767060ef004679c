package owner

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/fleet"
)

// Guards against "not run" taken from the answer to another request.
func TestShedAnswerOfAnotherRequest(t *testing.T) {
	g := NewWithT(t)
	x := &httpExchange{maxResponse: 100}
	for id, want := range map[string]pool.ResultKind{"mine": pool.Shed, "other": pool.FailedAfterSend} {
		resp := &http.Response{
			StatusCode: http.StatusServiceUnavailable, Body: http.NoBody,
			Header: http.Header{defaultShedHeader: {"true"}, fleet.HeaderRequestID: {id}},
		}
		end := x.receive(t.Context(), resp, &backends{shedHeader: defaultShedHeader}, &fleet.Request{ID: "mine"})
		g.Expect(end.result.Kind).To(Equal(want), id)
	}
}

// Guards against "not run" for a body over the limit whose key may be spent.
func TestTooLargeForwardWithKey(t *testing.T) {
	g := NewWithT(t)
	for key, want := range map[string]model.Outcome{"": model.NotRun, "k": model.Unknown} {
		req := httptest.NewRequest(http.MethodPost, fleet.PathForward, bytes.NewReader(make([]byte, 10)))
		for name, value := range map[string]string{
			"Agateusher-Shard": "0", fleet.HeaderBudget: "1", fleet.HeaderEpoch: "1", "Agateusher-Repeatable": "false", fleet.HeaderKey: key,
		} {
			req.Header.Set(name, value)
		}
		rw := httptest.NewRecorder()
		serveForward(&Owner{}, rw, req, 5)
		g.Expect(rw.Header().Get(fleet.HeaderOutcome)).To(Equal(want.String()), strings.TrimSpace(rw.Body.String()))
	}
}
