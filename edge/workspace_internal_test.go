package edge

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/telemetry"
)

// confirmedNode returns a node with a configuration in force.
func confirmedNode(epoch model.Epoch) *Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{cache: catalog.NewCache(nil), keys: newKeyState(RevocationSettings{}), log: log, metrics: telemetry.NewMetrics("test")}
	n.puller = newPuller(n)
	n.cache.Merge(time.Now(), catalog.Snapshot{Config: &catalog.Config{Epoch: epoch}, Epoch: epoch})
	n.view.Store(n.cache.View())
	return n
}

// Guards against a key that is accepted by the previous configuration between the
// confirmation of a newer one and the moment in which that is in force.
func TestKeysWaitUntilConfirmedConfigurationIsInForce(t *testing.T) {
	g := NewWithT(t)
	n := confirmedNode(3)
	trusted := func() bool { return n.awaitTrust(context.Background(), time.Now().Add(50*time.Millisecond)) }
	g.Expect(trusted()).To(BeTrue())
	n.cache.Merge(time.Now(), catalog.Snapshot{Config: &catalog.Config{Epoch: 4}, Epoch: 4})
	g.Expect(trusted()).To(BeFalse())
	n.view.Store(n.cache.View())
	g.Expect(trusted()).To(BeTrue())
}

// Guards against a confirmation by another daemon whose newer configuration cannot be
// applied, because it is sent as the changes to another one.
func TestUnusableDifferenceConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	n := confirmedNode(3)
	sent := catalog.Snapshot{Config: &catalog.Config{Epoch: 9}, ConfigSince: 5, Epoch: 9}
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data, err := new(catalog.Encoder).Encode(sent)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = w.Write(data)
	}))
	defer peer.Close()
	asked := func() bool {
		now := n.keys.clock()
		n.keys.guard.Observe(now + time.Hour)
		n.keys.clock = func() time.Duration { return now + time.Hour }
		n.askPeer(strings.TrimPrefix(peer.URL, "http://"))
		return n.keys.confirmed(time.Hour)
	}
	g.Expect(asked()).To(BeFalse())
	sent.ConfigSince = 0
	g.Expect(asked()).To(BeTrue())
}
