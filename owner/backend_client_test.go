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

// Guards against a request reported as "not run" because of the response to another
// request.
func TestShedAnswerOfAnotherRequest(t *testing.T) {
	g := NewWithT(t)
	x := &httpBackendClient{maxResponseBytes: 100}
	for id, want := range map[string]pool.ResultKind{"mine": pool.Shed, "other": pool.FailedAfterSend} {
		resp := &http.Response{
			StatusCode: http.StatusServiceUnavailable, Body: http.NoBody,
			Header: http.Header{defaultShedHeaderName: {"true"}, fleet.HeaderRequestID: {id}},
		}
		end := x.receive(t.Context(), resp, &backendConfig{shedHeaderName: defaultShedHeaderName, shedHeaderValue: defaultShedHeaderValue}, &fleet.Request{ID: "mine"})
		g.Expect(end.result.Kind).To(Equal(want), id)
	}
}

// Guards against "not run" for a request with a body over the limit and a key: an
// earlier request with the key may have run.
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
		serveForward(&Owner{}, HandlerOptions{MaxBodyBytes: 5}, rw, req)
		g.Expect(rw.Header().Get(fleet.HeaderOutcome)).To(Equal(want.String()), strings.TrimSpace(rw.Body.String()))
	}
}

// Guards against a configured "Name: value" that is used as the header's name.
func TestParseShedHeader(t *testing.T) {
	for text, want := range map[string][2]string{
		"":                {defaultShedHeaderName, defaultShedHeaderValue},
		"X-Refused":       {"X-Refused", "true"},
		"X-State: unrun ": {"X-State", "unrun"},
	} {
		name, value := parseShedHeader(text)
		NewWithT(t).Expect([2]string{name, value}).To(Equal(want), text)
	}
}

// Guards against a slot counted as free after a status other than 200: a server
// answers 404 if the DELETE arrives before the request that it cancels.
func TestCancelConfirmsOnlyWith200(t *testing.T) {
	g := NewWithT(t)
	for status, want := range map[int]bool{http.StatusOK: true, http.StatusNotFound: false, http.StatusAccepted: false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		x := &httpBackendClient{transport: http.DefaultTransport, maxResponseBytes: 100}
		x.config.Store(&backendConfig{cancelPath: "/r/{id}", addresses: map[model.ServerID]string{"s": server.Listener.Addr().String()}})
		g.Expect(x.cancel(t.Context(), "s", "id")).To(Equal(want), "%d", status)
		server.Close()
	}
}
