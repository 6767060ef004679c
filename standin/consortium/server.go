package consortium

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Behaviour is how a backend server treats a request.
type Behaviour uint8

const (
	// Answer runs the request and answers.
	Answer Behaviour = iota
	// Fail runs the request and answers 500.
	Fail
	// Shed refuses the request without running it.
	Shed
	// Misdirect answers that another server has the address.
	Misdirect
	// Truncate runs the request and breaks its answer off.
	Truncate
	// ResetConnection runs the request and resets the connection.
	ResetConnection
	// Hang runs the request and does not answer.
	Hang
	// WrongRequestID runs the request and sends another request's answer.
	WrongRequestID
	// Unsigned runs the request and answers without a signature.
	Unsigned
	// Encoded runs the request and answers with a content encoding.
	Encoded
	// Unframed runs the request and ends its answer with the connection.
	Unframed
	// Garbage runs the request and sends bytes that are no answer.
	Garbage
	// AnswerTwice answers twice.
	AnswerTwice
	// AnswerEarly answers before the body is read, and reads it then.
	AnswerEarly
)

// ReceivedRequest is a request that reached a server.
type ReceivedRequest struct {
	ID       string
	Method   string
	Target   string
	Host     string
	Header   http.Header
	Body     []byte
	At       time.Time
	Ran      bool
	Finished bool
}

// Server is a backend server.
type Server struct {
	ID   string
	Born int64

	listener net.Listener

	mu        sync.Mutex
	behave    func(*ReceivedRequest) Behaviour
	work      time.Duration
	seen      []*ReceivedRequest
	conns     map[net.Conn]struct{}
	cancelled int
}

// NewServer starts a server on a loopback port.
func NewServer(id string, born int64) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Born: born, listener: l, behave: func(*ReceivedRequest) Behaviour { return Answer }, conns: map[net.Conn]struct{}{}}
	go s.accept()
	return s, nil
}

// Address returns "ip:port".
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// SetBehaviour sets how requests are treated.
func (s *Server) SetBehaviour(f func(*ReceivedRequest) Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behave = f
}

// SetServiceTime sets how long a request runs.
func (s *Server) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = d
}

// Requests returns the requests that arrived.
func (s *Server) Requests() []ReceivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]ReceivedRequest, len(s.seen))
	for i, x := range s.seen {
		out[i] = *x
	}
	return out
}

// Cancelled returns how many requests lost their connection while they ran.
func (s *Server) Cancelled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// Entry returns the spec and the status that the server writes to the store.
func (s *Server) Entry(service, zone, state string, slots int) (spec, status string) {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":%d}}`, s.Address(), s.Born, service, zone, slots),
		fmt.Sprintf(`{"state":%q,"sequence":1,"warmup_left_ms":0}`, state)
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !s.handle(c, r, req) || req.Close {
			return
		}
	}
}

// handle serves one request; false ends the connection.
func (s *Server) handle(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	x := &ReceivedRequest{ID: req.Header.Get("Agateusher-Request-Id"), Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header, At: time.Now()}
	s.mu.Lock()
	b, work := s.behave(x), s.work
	s.seen = append(s.seen, x)
	s.mu.Unlock()
	if target := req.Header.Get("Agateusher-Target-Instance"); target != "" && target != s.ID {
		b = Misdirect
	}
	if b != AnswerEarly {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return false
		}
		s.update(func() { x.Body = body })
	}
	switch b {
	case Shed:
		return write(c, "HTTP/1.1 503 Service Unavailable\r\nAgateusher-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case Misdirect:
		return write(c, "HTTP/1.1 421 Misdirected Request\r\nAgateusher-Instance-Id: "+s.ID+"\r\nContent-Length: 0\r\n\r\n")
	}
	s.update(func() { x.Ran = true })
	if !s.run(c, r, work, b == Hang) {
		return false
	}
	s.update(func() { x.Finished = true })
	if !s.respond(c, x, b) {
		return false
	}
	if b != AnswerEarly {
		return true
	}
	rest, err := io.ReadAll(req.Body)
	s.update(func() { x.Body = rest })
	return err == nil
}

// run waits for the work; false if the connection was lost.
func (s *Server) run(c net.Conn, r *bufio.Reader, work time.Duration, hang bool) bool {
	if hang {
		work = time.Hour
	}
	if work == 0 {
		return true
	}
	_ = c.SetReadDeadline(time.Now().Add(work))
	_, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if timeout, ok := err.(net.Error); err == nil || (ok && timeout.Timeout()) {
		return true
	}
	s.update(func() { s.cancelled++ })
	return false
}

func (s *Server) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// Body is the body of every good answer to a request.
func Body(id string) string { return "answer to " + id + "\n" }

// respond writes the answer; false ends the connection.
func (s *Server) respond(c net.Conn, x *ReceivedRequest, b Behaviour) bool {
	body := Body(x.ID)
	head := "Agateusher-Request-Id: " + x.ID + "\r\n"
	signed := "Agateusher-Response-Signature: " + s.ID + "." + x.ID + "\r\n"
	sized := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	good := "HTTP/1.1 200 OK\r\n" + head + signed + sized + "\r\n" + body
	switch b {
	case Fail:
		return write(c, "HTTP/1.1 500 Internal Server Error\r\n"+head+signed+"Content-Length: 0\r\n\r\n")
	case Truncate:
		write(c, good[:len(good)-5])
		return false
	case ResetConnection:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case WrongRequestID:
		return write(c, "HTTP/1.1 200 OK\r\nAgateusher-Request-Id: other\r\n"+signed+sized+"\r\n"+body)
	case Unsigned:
		return write(c, "HTTP/1.1 200 OK\r\n"+head+sized+"\r\n"+body)
	case Encoded:
		return write(c, "HTTP/1.1 200 OK\r\n"+head+signed+"Content-Encoding: gzip\r\n"+sized+"\r\n"+body)
	case Unframed:
		write(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+head+signed+"\r\n"+body)
		return false
	case Garbage:
		write(c, "\x00\x01 this is no answer\r\n\r\n")
		return false
	case AnswerTwice:
		return write(c, good+good)
	case AnswerEarly:
		return write(c, "HTTP/1.1 413 Content Too Large\r\n"+head+signed+"Content-Length: 0\r\n\r\n")
	}
	return write(c, good)
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
