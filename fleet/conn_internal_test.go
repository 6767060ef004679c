package fleet

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/internal/stricthttp"
	"github.com/agateusher/agateusher/standin/earlyreset"
)

// Guards against a part of a response without a length that is taken for the whole one,
// because the reset after it was reported to the write of the request's body.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	g := NewWithT(t)
	server, err := earlyreset.NewServer("HTTP/1.1 200 OK\r\n\r\na part")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	req, err := http.NewRequest(http.MethodPost, "http://"+server.Address(), NewNonReplayableBody(make([]byte, earlyreset.BodyBytes)))
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := newTransport(TransportOptions{}, server.Dial).RoundTrip(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	g.Expect(err).To(HaveOccurred(), "a part was taken for the whole body")
	g.Expect(server.Hits()).To(Equal(1), "the moment was not reached")
}

// Guards against a head of a response that has no usual bound, and against a forwarded
// response that is refused because each of its fields has a prefix.
func TestLargeHeads(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range 100 {
			w.Header().Set(fmt.Sprint("Filler-", i), strings.Repeat("x", 1000))
		}
	}))
	t.Cleanup(server.Close)
	for limit, accepted := range map[int64]bool{0: false, 3 * stricthttp.MaxHeadBytes: true} {
		g := NewWithT(t)
		transport := NewTransport(TransportOptions{MaxHeadBytes: limit})
		req, err := http.NewRequest(http.MethodGet, server.URL, nil)
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := transport.RoundTrip(req)
		g.Expect(err == nil).To(Equal(accepted), "%d: %v", limit, err)
		if err == nil {
			_ = resp.Body.Close()
		}
		transport.CloseIdleConnections()
	}
}
