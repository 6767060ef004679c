package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
)

// Guards against "not run" for a request with a key that was refused, for any
// reason, before the key's ledger was consulted.
func TestRefusalWithKeyIsUnknown(t *testing.T) {
	g := NewWithT(t)
	for _, reason := range []model.Reason{model.ReasonNoConfiguration, model.ReasonNoRoute, model.ReasonBadRequest} {
		r := httptest.NewRequest(http.MethodPost, "/payments", nil)
		g.Expect(unknownIfKeyed(r, fleet.NotRun(reason, 0)).Outcome).To(Equal(model.NotRun))
		r.Header.Set(fleet.HeaderKey, "k")
		g.Expect(unknownIfKeyed(r, fleet.NotRun(reason, 0)).Outcome).To(Equal(model.Unknown), string(reason))
	}
}
