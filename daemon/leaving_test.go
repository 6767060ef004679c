package daemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/snapshot"
)

// maxLeavingDelay is the target for the time between the acceptance of the change
// and the last new request to the server.
const maxLeavingDelay = 3 * time.Second

// Guards against a draining backend server that keeps receiving new requests.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 3, 4, nil)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				_, _ = send("GET", f.nodes[i%3].caller, "/spaces/1", "", nil)
			}
		}
	}()
	time.Sleep(300 * time.Millisecond)
	leaving := f.objects().Servers[0]
	leaving.State = snapshot.ServerDraining
	epoch := f.nodes[0].daemon.holder.Epoch()
	_, err := f.store.Apply(t.Context(), snapshot.Change{ID: "drain", Author: "test", Put: snapshot.Objects{Servers: []snapshot.Server{leaving}}}, epoch)
	g.Expect(err).NotTo(HaveOccurred())
	accepted := time.Now()
	time.Sleep(maxLeavingDelay + 500*time.Millisecond)
	close(stop)
	<-done
	log, _ := f.backends.Server(leaving.ID).Executions(time.Time{})
	g.Expect(log).NotTo(BeEmpty())
	last := log[len(log)-1].Arrived.Sub(accepted)
	t.Logf("last new request %s after the change was accepted", last)
	g.Expect(last).To(BeNumerically("<", maxLeavingDelay))
}
