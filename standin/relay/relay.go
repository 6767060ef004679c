package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/agateusher/agateusher/standin"
)

// dialTimeout limits the time to connect to the server.
const dialTimeout = time.Second

// ListenError reports that a relay could not listen.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("relay on %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Relay forwards connections to one server. All methods are safe for concurrent
// use.
type Relay struct {
	address string
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	target   string
	faults   Faults
	changed  chan struct{}
	random   *rand.Rand
	listener net.Listener
	links    map[*link]struct{}
}

// New starts a relay to target, "ip:port". The seed makes the cuts reproducible.
// The caller closes the relay with Close. The error is a *ListenError or
// standin.ErrNoFreePort.
func New(target string, seed uint64) (*Relay, error) {
	address, err := standin.FreeAddress()
	if err != nil {
		return nil, err
	}
	r := &Relay{
		address: address, target: target, changed: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, seed)), links: map[*link]struct{}{},
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.listen(); err != nil {
		r.stop()
		return nil, err
	}
	return r, nil
}

// Address returns the address that clients connect to, "ip:port".
func (r *Relay) Address() string { return r.address }

// SetTarget changes the server of new connections. Existing ones keep theirs.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// SetFaults replaces the faults, for new and existing connections. The error is
// a *ListenError.
func (r *Relay) SetFaults(f Faults) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	close(r.changed)
	r.changed = make(chan struct{})
	switch {
	case f.Refuse && r.listener != nil:
		_ = r.listener.Close()
		r.listener = nil
	case !f.Refuse && r.listener == nil && r.ctx.Err() == nil:
		return r.listen()
	}
	return nil
}

// CutAll resets all connections.
func (r *Relay) CutAll() {
	for _, l := range r.openLinks() {
		l.closeConns(true)
	}
}

// Close resets all connections and waits until the relay has stopped.
func (r *Relay) Close() {
	r.stop()
	r.mu.Lock()
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
	r.mu.Unlock()
	r.CutAll()
	r.wg.Wait()
}

func (r *Relay) openLinks() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*link, 0, len(r.links))
	for l := range r.links {
		list = append(list, l)
	}
	return list
}

// listen opens the listener. The caller holds r.mu.
func (r *Relay) listen() error {
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		return &ListenError{Address: r.address, Err: err}
	}
	r.listener = ln
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.accept(ln)
	}()
	return nil
}

func (r *Relay) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.serve(conn)
		}()
	}
}

func (r *Relay) serve(client net.Conn) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{relay: r, conns: [numDirections]net.Conn{ToServer: server, ToClient: client}}
	if !r.add(l) {
		l.closeConns(true)
		return
	}
	defer r.remove(l)
	l.run()
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[l] = struct{}{}
	return r.ctx.Err() == nil
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// currentFaults returns the faults and a channel that closes when they change.
func (r *Relay) currentFaults() (Faults, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults, r.changed
}

// drawCut decides at random whether the next exchange is cut, and at which point.
func (r *Relay) drawCut() (Point, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.CutRate <= 0 || r.random.Float64() >= r.faults.CutRate {
		return 0, false
	}
	if n := len(r.faults.CutAt); n > 0 {
		return r.faults.CutAt[r.random.IntN(n)], true
	}
	return Point(r.random.IntN(int(Points))), true
}
