package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const apiHost = "api.example"

// sent is a request of a client and what became of it.
type sent struct {
	id, method, path string
	body             uint32 // checksum
	idempotent       bool
	at, done         time.Time
	status           int // 0: no answer
	text             string
	stamp            string
	err              error
}

// clients records the requests of all clients.
type clients struct {
	record *record
	last   atomic.Uint64

	mu   sync.Mutex
	sent []*sent
}

func (c *clients) newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+c.last.Add(1)) }

// connection is a client's connection to a daemon.
type connection struct {
	clients *clients
	net.Conn
	reader *bufio.Reader
	// closing is set after an answer that closes the connection.
	closing bool
}

func (c *clients) dial(address string) (*connection, error) {
	socket, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{clients: c, Conn: socket, reader: bufio.NewReader(socket)}, nil
}

// head returns the header of a request.
func (s *sent) head(length int, deadline time.Duration) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", s.method, s.path, apiHost, wire.RequestID, s.id, wire.Deadline, deadline.Milliseconds())
	if length > 0 || s.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + "\r\n"
}

// send sends a request with a body at once.
func (c *connection) send(method, path, body string, deadline time.Duration) (*sent, error) {
	s := c.clients.begin(method, path, body)
	_, err := io.WriteString(c, s.head(len(body), deadline)+body)
	return s, err
}

// begin records a request that is about to be sent.
func (c *clients) begin(method, path, body string) *sent {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, body)
	s := &sent{id: c.newID(), method: method, path: path, body: sum.Sum32(), idempotent: method == http.MethodGet, at: time.Now()}
	c.mu.Lock()
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	c.record.add("client sends %s %s %s, %d bytes", s.id, method, path, len(body))
	return s
}

// receive reads the answer to a request.
func (c *connection) receive(s *sent, wait time.Duration) {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: s.method})
	var text []byte
	if err == nil {
		c.closing = resp.Close
		text, err = io.ReadAll(resp.Body)
	}
	c.clients.mu.Lock()
	s.done, s.err = time.Now(), err
	if err == nil {
		s.status, s.text, s.stamp = resp.StatusCode, string(text), resp.Header.Get(wire.Signature)
	}
	c.clients.mu.Unlock()
	if err != nil {
		c.clients.record.add("client gets no answer to %s: %v", s.id, err)
		return
	}
	c.clients.record.add("client gets %d for %s: %s", s.status, s.id, strings.TrimSpace(s.text))
}

// all returns copies of the requests.
func (c *clients) all() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]sent, len(c.sent))
	for i, s := range c.sent {
		out[i] = *s
	}
	return out
}
