package peerrpc

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/telemetry"
)

// dialTimeout bounds the opening of a connection; a round trip between regions
// takes 60 ms.
const dialTimeout = 500 * time.Millisecond

// Peer addresses the peer listener of a daemon.
type Peer struct {
	Host model.HostID
	// Address is "ip:port".
	Address string
}

// class separates connections by the size of their messages.
type class uint8

const (
	control class = iota
	bulk
	// handoverLanes is the first of HandoverConnections classes.
	handoverLanes
)

type connKey struct {
	address string
	class   class
}

// Client calls other daemons over connections that it keeps. It is safe for
// concurrent use.
type Client struct {
	secrets  Secrets
	counters *counters
	ctx      context.Context
	stop     context.CancelFunc

	mu    sync.Mutex
	conns map[connKey]*clientConn
}

// clientConn is one connection, or the attempt to open it.
type clientConn struct {
	ready chan struct{}
	conn  *jsonrpc2.Conn
	err   error
	used  time.Time // guarded by Client.mu
}

// NewClient returns a client. Close ends it.
func NewClient(s Secrets, scope telemetry.Scope) *Client {
	ctx, stop := context.WithCancel(context.Background())
	return &Client{secrets: s, counters: newCounters(scope), ctx: ctx, stop: stop, conns: map[connKey]*clientConn{}}
}

// Close closes all connections.
func (c *Client) Close() { c.stop() }

// call sends a request and waits for its result. Errors are *CallError.
func (c *Client) call(ctx context.Context, to Peer, k class, method string, in, out any) error {
	key := connKey{address: to.Address, class: k}
	x, err := c.connection(ctx, key)
	if err != nil {
		return &CallError{Host: to.Host, Method: method, Err: err}
	}
	err = x.conn.Call(ctx, method, in, out)
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if !errors.As(err, &remote) {
		// A connection whose peer is silent may be cut; a new one finds out.
		c.drop(key, x)
	}
	return &CallError{Host: to.Host, Method: method, Opened: true, Err: fromWire(err)}
}

// connection returns an open connection, opening one if needed. Concurrent
// callers share the attempt.
func (c *Client) connection(ctx context.Context, key connKey) (*clientConn, error) {
	if c.ctx.Err() != nil {
		return nil, ErrClosed
	}
	c.mu.Lock()
	x, ok := c.conns[key]
	if ok && x.closed() {
		ok = false
	}
	if !ok {
		x = &clientConn{ready: make(chan struct{})}
		c.conns[key] = x
		go c.open(key, x)
	}
	x.used = time.Now()
	c.mu.Unlock()
	select {
	case <-x.ready:
		return x, x.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// closed reports whether the connection has ended or could not be opened.
func (x *clientConn) closed() bool {
	select {
	case <-x.ready:
	default:
		return false
	}
	if x.err != nil {
		return true
	}
	select {
	case <-x.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (c *Client) open(key connKey, x *clientConn) {
	defer close(x.ready)
	x.conn, x.err = c.dial(key.address)
}

func (c *Client) dial(address string) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(c.ctx, handshakeTimeout)
	defer cancel()
	socket, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s, b := newStream(socket, c.counters, serverIdle)
	conn := jsonrpc2.NewConn(c.ctx, s, refuseAll, jsonrpc2.SetLogger(quiet{}))
	if err := c.authenticate(ctx, conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	b.authenticated()
	_ = socket.SetReadDeadline(time.Now().Add(serverIdle))
	return conn, nil
}

// refuseAll answers requests on a client's connection: servers make none.
var refuseAll = jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods here"}
}).SuppressErrClosed()

// authenticate proves a secret to the server and has the server prove one.
func (c *Client) authenticate(ctx context.Context, conn *jsonrpc2.Conn) error {
	own, theirs := newNonce(), hello{}
	if err := conn.Call(ctx, methodHello, hello{Nonce: own}, &theirs); err != nil {
		return fromWire(err)
	}
	var answer proof
	err := conn.Call(ctx, methodProve, proof{MAC: prove(c.secrets[0], roleClient, own, theirs.Nonce)}, &answer)
	if err != nil {
		return fromWire(err)
	}
	if _, ok := c.secrets.verify(answer.MAC, roleServer, own, theirs.Nonce); !ok {
		return ErrUnauthenticated
	}
	return nil
}

func (c *Client) drop(key connKey, x *clientConn) {
	c.mu.Lock()
	if c.conns[key] == x {
		delete(c.conns, key)
	}
	c.mu.Unlock()
	_ = x.conn.Close()
}

// CloseIdleConnections closes the connections that were not used for a minute.
func (c *Client) CloseIdleConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, x := range c.conns {
		if time.Since(x.used) < clientIdle {
			continue
		}
		delete(c.conns, key)
		if !x.closed() && x.conn != nil {
			_ = x.conn.Close()
		}
	}
}
