package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/membership"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/peerrpc"
)

// partBehaviour is the reaction of a possible successor to a handover part.
type partBehaviour uint8

const (
	accepts partBehaviour = iota
	refuses
	acceptsWithoutAnswer // accepts, but the first answer is lost
)

// fakeSuccessor is a fake daemon that serves a peer listener.
type fakeSuccessor struct {
	configstore.Source
	host      membership.Host
	behaviour partBehaviour
	receiver  *peerrpc.HandoverReceiver

	mu      sync.Mutex
	calls   int
	adopted int
}

func (f *fakeSuccessor) update() membership.Update {
	return membership.Update{Host: f.host.ID, Incarnation: model.Incarnation(f.host.ID + "-run"), Version: membership.Version{Start: 1}, State: membership.Alive, Info: &f.host.Info}
}

// Heartbeat implements peerrpc.Service.
func (f *fakeSuccessor) Heartbeat(context.Context, membership.Message) (membership.Message, error) {
	return membership.Message{From: f.update()}, nil
}

// Probe implements peerrpc.Service.
func (f *fakeSuccessor) Probe(context.Context, model.HostID) (membership.ProbeResult, error) {
	return membership.ProbeReached, nil
}

// Exchange implements peerrpc.Service.
func (f *fakeSuccessor) Exchange(_ context.Context, p membership.Page) (membership.Page, error) {
	return membership.Page{Section: p.Section}, nil
}

// ReceiveHandoverPart implements peerrpc.Service.
func (f *fakeSuccessor) ReceiveHandoverPart(ctx context.Context, p peerrpc.HandoverPart) (peerrpc.HandoverResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.behaviour == refuses {
		return peerrpc.HandoverResponse{}, peerrpc.ErrRefused
	}
	taken, err := f.receiver.ReceivePart(p)
	if f.behaviour == acceptsWithoutAnswer && f.calls == 1 {
		<-ctx.Done() // returns when the caller times out and closes the connection
	}
	return peerrpc.HandoverResponse{Taken: taken}, err
}

func startSuccessor(t *testing.T, id model.HostID, b partBehaviour) *fakeSuccessor {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	f := &fakeSuccessor{behaviour: b, host: membership.Host{ID: id, Info: membership.Info{
		DataCentre: "lagos-1", Region: "lagos", FleetAddress: "127.0.0.1:1", PeerAddress: l.Addr().String(),
	}}}
	f.receiver = peerrpc.NewHandoverReceiver(f.update().Incarnation, func([]idempotency.ExportedLedger) error { f.adopted++; return nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = peerrpc.NewServer(peerrpc.Secrets{[]byte(testSecret)}, f, tally.NoopScope).Serve(ctx, l)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

// Guards against two hosts that hold one ledger: if the answer to a transfer is
// lost, it is retried with the same host. Another host is tried only if the first
// one certainly refused.
func TestHandoverToExactlyOne(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name          string
		first, second partBehaviour
		adopted       [2]int
	}{
		{"answer lost", acceptsWithoutAnswer, accepts, [2]int{1, 0}},
		{"refused", refuses, accepts, [2]int{0, 1}},
		{"all refuse", refuses, refuses, [2]int{0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			d, err := New(testSettings(0, "http://127.0.0.1:1"), io.Discard)
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(d.close)
			byID := map[model.HostID]*fakeSuccessor{}
			for _, id := range []model.HostID{"a", "b"} {
				f := startSuccessor(t, id, accepts)
				byID[id] = f
				d.members.update(func(x *membership.Table, now time.Time) []membership.Decision {
					_, out := x.Receive(now, membership.Message{From: f.update()})
					return out
				})
			}
			t.Cleanup(func() { d.members.stop(); d.members.calls.Wait() })
			ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			order := d.handover.candidates(ctx)
			g.Expect(order).To(HaveLen(2))
			first, second := byID[order[0].ID], byID[order[1].ID]
			first.behaviour, second.behaviour = c.first, c.second
			d.handover.hasKeys.Store(true)
			d.handover.run(ctx)
			g.Expect([2]int{first.adopted, second.adopted}).To(Equal(c.adopted))
			adopter := slices.Index(c.adopted[:], 1)
			if adopter < 0 {
				g.Expect(d.handover.result).To(Equal(handoverResult{}))
				return
			}
			g.Expect(d.handover.result.successor.Host).To(Equal(order[adopter].ID))
			to, ok := d.members.Successor(d.incarnation)
			g.Expect(ok).To(BeTrue(), "the successor was not announced")
			g.Expect(to).To(Equal(order[adopter].ID))
		})
	}
}

// Measures the time of a large handover. Requests with unspent keys wait for it, so
// it must complete well within their deadlines.
func TestLargeHandover(t *testing.T) {
	if !*measureFlag {
		t.Skip("prints figures; run with -measure")
	}
	g := NewWithT(t)
	for _, keys := range []int{1_000, 20_000, 150_000} {
		d, err := New(testSettings(0, "http://127.0.0.1:1"), io.Discard)
		g.Expect(err).NotTo(HaveOccurred())
		f := startSuccessor(t, "a", accepts)
		ledger := idempotency.ExportedLedger{Host: "host-0", Issuer: d.incarnation}
		for i := range keys {
			ledger.Entries = append(ledger.Entries, idempotency.ExportedEntry{Sequence: uint64(i), Record: idempotency.Record{Status: 200, Body: make([]byte, 200)}})
		}
		started := time.Now()
		parts := peerrpc.SplitLedgers(d.incarnation, f.update().Incarnation, []idempotency.ExportedLedger{ledger})
		taken, _, err := d.handover.sendParts(t.Context(), membership.HostView{Host: f.host}, parts)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(taken).To(BeTrue())
		fmt.Printf("handover of %6d keys with answers of 200 B: %3d parts in %s\n", keys, len(parts), time.Since(started).Round(time.Millisecond))
		d.members.stop()
		d.close()
	}
}
