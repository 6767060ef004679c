package fleet

import (
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

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
