package objectapi

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/standin/earlyreset"
)

// Guards against a change that is reported as made because of a response that broke off
// while the value was being sent.
func TestResetDuringPut(t *testing.T) {
	g := NewWithT(t)
	server, err := earlyreset.NewServer("HTTP/1.1 200 OK\r\nETag: \"2\"\r\n\r\na part")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	client, err := NewClient(ClientOptions{BaseURL: "http://" + server.Address(), Transport: newTransport(server.Dial)})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Put(t.Context(), "a/b", make([]byte, earlyreset.BodyBytes), 1)
	g.Expect(errors.Is(err, ErrUnavailable)).To(BeTrue(), "put: %v", err)
	g.Expect(server.Hits()).To(Equal(1), "the moment was not reached")
}
