package peerrpc

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/membership"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// maxConns bounds the connections to one daemon. The hosts that send it
	// heartbeats, probe through it and pull from it stay far below.
	maxConns = 256
	// maxInProgress bounds the requests of one connection that are served at
	// once; more are refused with ErrBusy.
	maxInProgress = 16
)

// Method names.
const (
	methodHello     = "auth.hello"
	methodProve     = "auth.prove"
	methodHeartbeat = "membership.heartbeat"
	methodPing      = "membership.ping"
	methodProbe     = "membership.probe"
	methodExchange  = "membership.exchange"
	methodStatus    = "config.status"
	methodHead      = "config.head"
	methodChunk     = "config.chunk"
	methodHandover  = "keys.handover"
)

// Service is what a daemon offers to its peers. Its methods are called
// concurrently and end with their context.
type Service interface {
	configstore.Source
	// Heartbeat answers a heartbeat.
	Heartbeat(ctx context.Context, m membership.Message) (membership.Message, error)
	// Probe reports whether this daemon reaches the target.
	Probe(ctx context.Context, target model.HostID) (membership.ProbeResult, error)
	// Exchange answers a page of a table.
	Exchange(ctx context.Context, p membership.Page) (membership.Page, error)
	// ReceiveHandoverPart takes over a part of a stopping daemon's ledgers. An error that
	// wraps ErrRefused means that nothing was taken.
	ReceiveHandoverPart(ctx context.Context, p HandoverPart) (HandoverResponse, error)
}

// Server serves the peer listener.
type Server struct {
	secrets  Secrets
	service  Service
	counters *counters
	rejected tally.Counter
}

// NewServer returns a server.
func NewServer(s Secrets, service Service, scope telemetry.Scope) *Server {
	return &Server{secrets: s, service: service, counters: newCounters(scope), rejected: scope.Counter("peer_connections_rejected")}
}

// Serve accepts connections until ctx ends, and then closes all of them.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	slots := make(chan struct{}, maxConns)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		select {
		case slots <- struct{}{}:
			wg.Go(func() {
				defer func() { <-slots }()
				s.serveConn(ctx, c)
			})
		default:
			s.rejected.Inc(1)
			_ = c.Close()
		}
	}
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	st, b := newStream(c, s.counters, serverIdle)
	h := &session{server: s, conn: b, slots: make(chan struct{}, maxInProgress)}
	conn := jsonrpc2.NewConn(ctx, st, h, jsonrpc2.SetLogger(quiet{}))
	<-conn.DisconnectNotify()
	h.wg.Wait()
}

// session is one connection to this server.
type session struct {
	server        *Server
	conn          *boundedConn
	slots         chan struct{}
	wg            sync.WaitGroup
	client, nonce []byte
	trusted       bool
}

// Handle implements jsonrpc2.Handler. The library calls it in order from the
// goroutine that reads.
func (h *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if !h.trusted {
		h.handshake(ctx, conn, r)
		return
	}
	select {
	case h.slots <- struct{}{}:
		h.wg.Go(func() {
			defer func() { <-h.slots }()
			result, err := h.server.serve(ctx, r)
			reply(ctx, conn, r.ID, result, err)
		})
	default:
		reply(ctx, conn, r.ID, nil, ErrBusy)
	}
}

func reply(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, result any, err error) {
	// A failed reply means that the connection is closed, which the peer sees.
	if err != nil {
		_ = conn.ReplyWithError(ctx, id, toWire(err))
		return
	}
	_ = conn.Reply(ctx, id, result)
}

// handshake serves the two methods of authentication. Anything else closes the
// connection.
func (h *session) handshake(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	result, err := h.step(r)
	reply(ctx, conn, r.ID, result, err)
	if err != nil {
		h.server.rejected.Inc(1)
		_ = conn.Close()
	}
}

func (h *session) step(r *jsonrpc2.Request) (any, error) {
	switch {
	case r.Method == methodHello && h.client == nil:
		in, err := params[hello](r)
		if err != nil || len(in.Nonce) != nonceBytes {
			return nil, ErrUnauthenticated
		}
		h.client, h.nonce = in.Nonce, newNonce()
		return hello{Nonce: h.nonce}, nil
	case r.Method == methodProve && h.client != nil:
		in, err := params[proof](r)
		if err != nil {
			return nil, ErrUnauthenticated
		}
		secret, ok := h.server.secrets.verify(in.MAC, roleClient, h.client, h.nonce)
		if !ok {
			return nil, ErrUnauthenticated
		}
		h.trusted = true
		h.conn.authenticated()
		return proof{MAC: prove(secret, roleServer, h.client, h.nonce)}, nil
	}
	return nil, ErrUnauthenticated
}

func (s *Server) serve(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodHeartbeat:
		return with(ctx, r, s.service.Heartbeat)
	case methodPing:
		return struct{}{}, nil
	case methodProbe:
		return with(ctx, r, s.service.Probe)
	case methodExchange:
		return with(ctx, r, s.service.Exchange)
	case methodStatus:
		return s.service.Status(ctx)
	case methodHead:
		return s.service.Head(ctx)
	case methodChunk:
		return with(ctx, r, func(ctx context.Context, name snapshot.ChunkName) ([]byte, error) { return s.service.Chunk(ctx, name) })
	case methodHandover:
		return with(ctx, r, s.service.ReceiveHandoverPart)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

func with[In, Out any](ctx context.Context, r *jsonrpc2.Request, f func(context.Context, In) (Out, error)) (any, error) {
	in, err := params[In](r)
	if err != nil {
		return nil, err
	}
	return f(ctx, in)
}

// errNoParams: a request without the parameters that its method needs.
var errNoParams = errors.New("request has no parameters")

func params[T any](r *jsonrpc2.Request) (T, error) {
	var in T
	if r.Params == nil {
		return in, errNoParams
	}
	err := json.Unmarshal(*r.Params, &in)
	return in, err
}
