package objectapi

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a change that may have taken effect and is reported as certainly not
// made: only refusals of the request itself say that.
func TestOutcomeOfChangesByStatus(t *testing.T) {
	for _, x := range []struct {
		status  int
		unknown bool
	}{
		{http.StatusCreated, true},
		{http.StatusAccepted, true},
		{http.StatusPartialContent, true},
		{http.StatusNotModified, true},
		{http.StatusTemporaryRedirect, true},
		{http.StatusInternalServerError, true},
		{http.StatusServiceUnavailable, true},
		{http.StatusBadRequest, false},
		{http.StatusForbidden, false},
		{http.StatusTooManyRequests, false},
	} {
		t.Run(strconv.Itoa(x.status), func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(x.status) }))
			t.Cleanup(server.Close)
			client, err := NewClient(ClientOptions{BaseURL: server.URL})
			g.Expect(err).NotTo(HaveOccurred())
			_, err = client.Put(context.Background(), "a/b", []byte("x"), 1)
			g.Expect(errors.Is(err, ErrUnavailable)).To(Equal(x.unknown), "put: %v", err)
			err = client.Delete(context.Background(), "a/b", 1)
			g.Expect(errors.Is(err, ErrUnavailable)).To(Equal(x.unknown), "delete: %v", err)
		})
	}
}
