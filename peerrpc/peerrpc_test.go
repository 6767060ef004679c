package peerrpc

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/membership"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// fakeService answers with what the test sets.
type fakeService struct {
	delay time.Duration
	inbox *HandoverReceiver
	chunk []byte
}

func (f *fakeService) Heartbeat(ctx context.Context, m membership.Message) (membership.Message, error) {
	select {
	case <-time.After(f.delay):
	case <-ctx.Done():
	}
	return membership.Message{Epoch: m.Epoch + 1}, nil
}

func (f *fakeService) Probe(context.Context, model.HostID) (membership.ProbeResult, error) {
	return membership.ProbeRefused, nil
}

func (f *fakeService) Exchange(_ context.Context, p membership.Page) (membership.Page, error) {
	return p, nil
}

func (f *fakeService) Status(context.Context) (configstore.Status, error) {
	return configstore.Status{Epoch: 7}, nil
}

func (f *fakeService) Head(context.Context) ([]byte, error) {
	return nil, configstore.ErrNoConfiguration
}

func (f *fakeService) Chunk(_ context.Context, name snapshot.ChunkName) ([]byte, error) {
	if f.chunk == nil {
		return nil, &snapshot.ChunkError{Name: name, Err: snapshot.ErrChunkMissing}
	}
	return f.chunk, nil
}

func (f *fakeService) ReceiveHandoverPart(_ context.Context, p HandoverPart) (HandoverResponse, error) {
	taken, err := f.inbox.ReceivePart(p)
	return HandoverResponse{Taken: taken}, err
}

var (
	oldSecret = []byte("old-secret-0123456789")
	newSecret = []byte("new-secret-0123456789")
)

func serve(t *testing.T, s Service, secrets ...[]byte) Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(secrets, s, tally.NoopScope).Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		NewWithT(t).Expect(<-done).To(Succeed())
	})
	return Peer{Host: "other", Address: l.Addr().String()}
}

func client(t *testing.T, secrets ...[]byte) *Client {
	c := NewClient(secrets, tally.NoopScope)
	t.Cleanup(c.Close)
	return c
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards the calls and the typed errors that cross the wire.
func TestCalls(t *testing.T) {
	g := NewWithT(t)
	p := serve(t, &fakeService{}, oldSecret)
	c, ctx := client(t, oldSecret), context.Background()
	answer, err := c.Heartbeat(ctx, p, membership.Message{Epoch: 4})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Epoch).To(Equal(model.Epoch(5)))
	g.Expect(c.Ping(ctx, p)).To(Equal(membership.ProbeReached))
	g.Expect(c.Probe(ctx, p, "x")).To(Equal(membership.ProbeRefused))
	status, err := c.Source(p).Status(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status.Epoch).To(Equal(model.Epoch(7)))
	_, err = c.Source(p).Head(ctx)
	g.Expect(errors.Is(err, configstore.ErrNoConfiguration)).To(BeTrue(), "%v", err)
	_, err = c.Source(p).Chunk(ctx, "n")
	g.Expect(errors.Is(err, snapshot.ErrChunkMissing)).To(BeTrue(), "%v", err)
}

// Guards authentication in both directions, and both secrets of a rotation.
func TestAuthentication(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name           string
		server, client [][]byte
		ok             bool
	}{
		{"same", [][]byte{oldSecret}, [][]byte{oldSecret}, true},
		{"server ahead", [][]byte{newSecret, oldSecret}, [][]byte{oldSecret, newSecret}, true},
		{"client ahead", [][]byte{oldSecret, newSecret}, [][]byte{newSecret, oldSecret}, true},
		{"unknown", [][]byte{oldSecret}, [][]byte{newSecret}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p := serve(t, &fakeService{}, c.server...)
			_, err := client(t, c.client...).Heartbeat(ctx, p, membership.Message{})
			if c.ok {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(errors.Is(err, ErrUnauthenticated)).To(BeTrue(), "%v", err)
			g.Expect(CertainlyNotExecuted(err)).To(BeTrue())
		})
	}
}

// Guards the client against a server that only pretends to know the secret.
func TestServerMustProveItself(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	go func() {
		socket, err := l.Accept()
		if err != nil {
			return
		}
		conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(socket, jsonrpc2.VarintObjectCodec{}),
			jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
				if r.Method == methodHello {
					return hello{Nonce: newNonce()}, nil
				}
				in, _ := params[proof](r)
				return in, nil // reflects the client's proof
			}), jsonrpc2.SetLogger(quiet{}))
		<-conn.DisconnectNotify()
	}()
	_, err = client(t, oldSecret).Heartbeat(context.Background(), Peer{Address: l.Addr().String()}, membership.Message{})
	g.Expect(errors.Is(err, ErrUnauthenticated)).To(BeTrue(), "%v", err)
}

// Guards against methods that are served, and connections that are kept, before
// authentication.
func TestUnauthenticatedConnectionIsClosed(t *testing.T) {
	g := NewWithT(t)
	p := serve(t, &fakeService{}, oldSecret)
	for _, method := range []string{methodHeartbeat, methodHandover, methodProve} {
		socket, err := net.Dial("tcp", p.Address)
		g.Expect(err).NotTo(HaveOccurred())
		conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(socket, jsonrpc2.VarintObjectCodec{}), refuseAll, jsonrpc2.SetLogger(quiet{}))
		err = conn.Call(context.Background(), method, proof{MAC: []byte("x")}, nil)
		g.Expect(errors.Is(fromWire(err), ErrUnauthenticated)).To(BeTrue(), "%s: %v", method, err)
		g.Eventually(conn.DisconnectNotify()).WithTimeout(time.Second).Should(BeClosed(), method)
	}
}

// Guards the bound on messages before and after authentication.
func TestMessageBound(t *testing.T) {
	g := NewWithT(t)
	p := serve(t, &fakeService{}, oldSecret)
	socket, err := net.Dial("tcp", p.Address)
	g.Expect(err).NotTo(HaveOccurred())
	defer socket.Close()
	// A message that announces 1 GB and starts with a long string.
	_, _ = socket.Write(binary.AppendUvarint(nil, 1<<30))
	_, _ = socket.Write(append([]byte(`{"method":"`), make([]byte, 64<<10)...))
	_ = socket.SetReadDeadline(time.Now().Add(time.Second))
	_, err = socket.Read(make([]byte, 1))
	var timeout net.Error
	g.Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeFalse(), "the connection stays open: %v", err)

	big := serve(t, &fakeService{chunk: make([]byte, 1<<20)}, oldSecret)
	c := client(t, oldSecret)
	_, err = c.Source(big).Chunk(context.Background(), "n")
	g.Expect(err).NotTo(HaveOccurred(), "a chunk of 1 MB must pass")
	_, err = c.Exchange(context.Background(), p, membership.Page{Section: string(make([]byte, 1<<20))})
	g.Expect(err).To(HaveOccurred(), "a message over the bound passed")
}

// Guards against a silent peer that blocks its caller, and tells a refused
// connection from it.
func TestSilentAndRefused(t *testing.T) {
	g := NewWithT(t)
	p := serve(t, &fakeService{delay: 5 * time.Second}, oldSecret)
	c, started := client(t, oldSecret), time.Now()
	_, err := c.Heartbeat(context.Background(), p, membership.Message{})
	g.Expect(err).To(HaveOccurred())
	g.Expect(CertainlyNotExecuted(err)).To(BeFalse())
	g.Expect(time.Since(started)).To(BeNumerically("<", 2*HeartbeatTimeout))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	closed := Peer{Address: l.Addr().String()}
	l.Close()
	_, err = c.Heartbeat(context.Background(), closed, membership.Message{})
	g.Expect(IsConnectionRefused(err)).To(BeTrue(), "%v", err)
	g.Expect(CertainlyNotExecuted(err)).To(BeTrue())
}

func ledgers(entries, body int) []idempotency.ExportedLedger {
	all := []idempotency.ExportedLedger{{Host: "h", Issuer: "first"}, {Host: "h", Issuer: "second"}}
	for i := range entries {
		all[i%2].Entries = append(all[i%2].Entries, idempotency.ExportedEntry{
			Sequence: uint64(i), Record: idempotency.Record{Status: 200, Body: []byte(fmt.Sprintf("%0*d", body, i))},
		})
	}
	return all
}

// Guards the handover in parts: nothing is lost, added or taken before the last
// part, repeats change nothing, and another incarnation refuses.
func TestHandoverInParts(t *testing.T) {
	g := NewWithT(t)
	var adopted [][]idempotency.ExportedLedger
	sealed := false
	s := &fakeService{inbox: NewHandoverReceiver("me", func(all []idempotency.ExportedLedger) error {
		if sealed {
			return idempotency.ErrSealed
		}
		adopted = append(adopted, all)
		return nil
	})}
	p, c, ctx := serve(t, s, oldSecret), client(t, oldSecret), context.Background()
	all := ledgers(60, 60_000)
	_, err := c.Handover(ctx, p, SplitLedgers("from", "other", all)[0])
	g.Expect(errors.Is(err, ErrRefused) && CertainlyNotExecuted(err)).To(BeTrue(), "%v", err)
	parts := SplitLedgers("from", "me", all)
	g.Expect(len(parts)).To(BeNumerically(">", 3))
	for i, part := range parts {
		for range 2 {
			taken, err := c.Handover(ctx, p, part)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(taken).To(Equal(i == len(parts)-1))
		}
	}
	g.Expect(adopted).To(HaveLen(1))
	g.Expect(adopted[0]).To(Equal(all))
	sealed = true
	_, err = c.Handover(ctx, p, SplitLedgers("late", "me", ledgers(2, 10))[0])
	g.Expect(errors.Is(err, ErrRefused) && CertainlyNotExecuted(err)).To(BeTrue(), "a sealed host must refuse: %v", err)
}
