package consortium

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Behaviour is how a backend server handles a request.
type Behaviour uint8

const (
	// Answer runs the request and answers 200.
	Answer Behaviour = iota
	// Fail runs the request and answers 500.
	Fail
	// Shed answers 503 with a short body and marks the request as not executed.
	Shed
	// Misdirect answers 421: the request was meant for another server.
	Misdirect
	// Truncate runs the request, sends an incomplete answer and closes the
	// connection.
	Truncate
	// ResetConnection runs the request and resets the connection.
	ResetConnection
	// Hang runs the request and does not answer within an hour.
	Hang
	// WrongRequestID runs the request and answers with another request's identifier.
	WrongRequestID
	// Unsigned runs the request and answers without a signature.
	Unsigned
	// Encoded runs the request and answers with a content encoding.
	Encoded
	// Unframed runs the request and answers without a Content-Length. The close of
	// the connection ends the answer.
	Unframed
	// Garbage runs the request and sends bytes that are not HTTP.
	Garbage
	// AnswerTwice runs the request and answers twice.
	AnswerTwice
	// Large runs the request and answers with LargeBody.
	Large
	// LargeChunked is like Large without a Content-Length, in chunks.
	LargeChunked
	// LargeTruncated sends half of LargeBody and closes the connection.
	LargeTruncated
	// LargeStalled sends half of LargeBody and nothing more.
	LargeStalled
	// EndlessHead runs the request and sends header lines until the connection is
	// closed.
	EndlessHead
	// EndlessInterim runs the request and sends 1xx responses until the connection
	// is closed.
	EndlessInterim
	// EndlessBody runs the request and sends a body in chunks until the connection is
	// closed.
	EndlessBody
	// EndlessChunkExtension runs the request and sends a chunk extension until the
	// connection is closed.
	EndlessChunkExtension
	// EndlessTrailer runs the request and sends trailer lines until the connection is
	// closed.
	EndlessTrailer
	// DripBody runs the request and sends one byte of a body each 20 ms until the
	// connection is closed.
	DripBody
	// DripHead runs the request and sends one byte of a header each 20 ms until the
	// connection is closed.
	DripHead
	// NoContent runs the request and answers 204, followed by bytes that are no
	// answer.
	NoContent
	// HeadOnly runs the request and sends a header without a length and nothing more,
	// as is usual for HEAD.
	HeadOnly
	// LargePaused sends LargeBody with a pause of LargePause in the middle.
	LargePaused
	// AnswerEarly runs the request, answers 413 before reading the body, and then
	// reads it.
	AnswerEarly
	// SucceedEarly answers 200 before reading the body, and does not read it.
	SucceedEarly
	// ResetEarly answers 200 without a length before reading the body, sends a part of
	// its answer and resets the connection.
	ResetEarly
	// Custom runs the request and answers with the bytes that SetCustom set.
	Custom
	// CustomEndless sends what Custom sends and then filler until the connection is closed.
	CustomEndless
	// ReadSlowly reads the body at 0.8 MB a second at most, and then behaves like
	// Answer.
	ReadSlowly
	// AnswerTwiceLate is like AnswerTwice, with the second answer lateAnswer later.
	AnswerTwiceLate
	// AnswerAndClose is like Answer, with "Connection: close".
	AnswerAndClose
	// ShedNamed is like Shed, with the identifier of the request.
	ShedNamed
	// RepeatRefusal runs the request and, on a connection on which Shed or ShedNamed refused
	// one, writes that refusal once more; otherwise it is like Answer.
	RepeatRefusal
	// CustomEnd is like Custom, and closes the connection.
	CustomEnd
)

// lateAnswer is the time between the answers of AnswerTwiceLate.
const lateAnswer = 30 * time.Millisecond

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

// Server is a stand-in backend server. StartedAtMs is the start time, in Unix
// milliseconds, that it reports in the store.
type Server struct {
	ID          string
	StartedAtMs int64

	listener net.Listener

	mu          sync.Mutex
	behaviour   func(*ReceivedRequest) Behaviour
	serviceTime time.Duration
	limit       string
	leaving     bool
	retryAfter  string
	keepAlive   string
	custom      string
	idleDrop    time.Duration
	accepted    int
	requests    []*ReceivedRequest
	conns       map[net.Conn]struct{}
	refusals    map[net.Conn]string
	cancelled   int
	// endlessBytes counts the bytes that the endless behaviours have sent.
	endlessBytes int
}

// NewServer starts a server on a loopback port.
func NewServer(id string, startedAtMs int64) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, StartedAtMs: startedAtMs, listener: l, behaviour: func(*ReceivedRequest) Behaviour { return Answer }, conns: map[net.Conn]struct{}{}, refusals: map[net.Conn]string{}}
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

// SetBehaviour sets the function that selects the behaviour for each request. The
// function is called under the server's lock, before the body is read.
func (s *Server) SetBehaviour(f func(*ReceivedRequest) Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = f
}

// SetServiceTime sets how long a request runs. The default is zero.
func (s *Server) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTime = d
}

// SetLimit sets the value of the Server-Limit header of the answers; empty: no header.
func (s *Server) SetLimit(perSecond string) { s.update(func() { s.limit = perSecond }) }

// SetLeaving sets whether all responses say that the server is leaving.
func (s *Server) SetLeaving(leaving bool) { s.update(func() { s.leaving = leaving }) }

// SetRetryAfter sets the value of the Retry-After header of refusals; empty: no header.
func (s *Server) SetRetryAfter(seconds string) { s.update(func() { s.retryAfter = seconds }) }

// SetKeepAlive sets the value of the Keep-Alive header of the answers; empty: no header.
func (s *Server) SetKeepAlive(value string) { s.update(func() { s.keepAlive = value }) }

// SetCustom sets what Custom sends. In text, ID stands for the request's identifier.
func (s *Server) SetCustom(text string) { s.update(func() { s.custom = text }) }

// SetIdleDrop makes the server reset each connection on which something arrives after it
// was idle for a time; zero: never.
func (s *Server) SetIdleDrop(d time.Duration) { s.update(func() { s.idleDrop = d }) }

// Connections returns how many connections the server has accepted.
func (s *Server) Connections() (n int) {
	s.update(func() { n = s.accepted })
	return n
}

// dropped waits for the next bytes and resets the connection if they arrive after more
// than the time set by SetIdleDrop.
func (s *Server) dropped(c net.Conn, r *bufio.Reader) (reset bool) {
	idleSince := time.Now()
	if _, err := r.Peek(1); err != nil {
		return true
	}
	s.update(func() { reset = s.idleDrop > 0 && time.Since(idleSince) > s.idleDrop })
	if tcp, ok := c.(*net.TCPConn); reset && ok {
		_ = tcp.SetLinger(0)
	}
	return reset
}

// signalHeaders returns the header lines with the server's limit and, if it is leaving,
// with that.
func (s *Server) signalHeaders() (lines string) {
	s.update(func() {
		if s.limit != "" {
			lines += "Server-Limit: " + s.limit + "\r\n"
		}
		if s.keepAlive != "" {
			lines += "Keep-Alive: " + s.keepAlive + "\r\n"
		}
		if s.leaving {
			lines += "Server-Leaving: 1\r\n"
		}
	})
	return lines
}

// refusalHeaders returns the header lines of a refusal.
func (s *Server) refusalHeaders() (lines string) {
	s.update(func() {
		if s.retryAfter != "" {
			lines = "Retry-After: " + s.retryAfter + "\r\n"
		}
	})
	return lines + s.signalHeaders()
}

// Requests returns copies of the requests that arrived, in order of arrival.
func (s *Server) Requests() []ReceivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]ReceivedRequest, len(s.requests))
	for i, received := range s.requests {
		out[i] = *received
	}
	return out
}

// Cancelled returns how many requests lost their connection while they ran.
func (s *Server) Cancelled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// Entry returns the spec and the status, as JSON, of the server's object in the
// store.
func (s *Server) Entry(service, zone, state string, slots int) (spec, status string) {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":%d}}`, s.Address(), s.StartedAtMs, service, zone, slots),
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
		s.accepted++
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		delete(s.refusals, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for first := true; first || !s.dropped(c, r); first = false {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !s.handle(c, r, req) || req.Close {
			return
		}
	}
}

// handle serves one request. It returns false if the connection must be closed. A
// request for another instance is answered like Misdirect.
func (s *Server) handle(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	received := &ReceivedRequest{ID: req.Header.Get("Agateusher-Request-Id"), Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header, At: time.Now()}
	s.mu.Lock()
	b, serviceTime := s.behaviour(received), s.serviceTime
	s.requests = append(s.requests, received)
	s.mu.Unlock()
	if target := req.Header.Get("Agateusher-Target-Instance"); target != "" && target != s.ID {
		b = Misdirect
	}
	if b == SucceedEarly {
		s.respond(c, received, Answer)
		time.Sleep(slowReadPause)
		return false
	}
	if b == ResetEarly {
		s.respond(c, received, b)
		time.Sleep(slowReadPause)
		return false
	}
	if b != AnswerEarly {
		input := io.Reader(req.Body)
		if b == ReadSlowly {
			input = slowReader{input}
		}
		body, err := io.ReadAll(input)
		if err != nil {
			return false
		}
		s.update(func() { received.Body = body })
	}
	switch b {
	case Shed, ShedNamed:
		named := ""
		if b == ShedNamed {
			named = "Agateusher-Request-Id: " + received.ID + "\r\n"
		}
		refusal := "HTTP/1.1 503 Service Unavailable\r\nAgateusher-Not-Executed: 1\r\n" + named + s.refusalHeaders() + "Content-Length: 8\r\n\r\nrefused\n"
		s.update(func() { s.refusals[c] = refusal })
		return write(c, refusal)
	case Misdirect:
		return write(c, "HTTP/1.1 421 Misdirected Request\r\nAgateusher-Instance-Id: "+s.ID+"\r\nContent-Length: 0\r\n\r\n")
	}
	s.update(func() { received.Ran = true })
	if !s.run(c, r, serviceTime, b == Hang) {
		return false
	}
	s.update(func() { received.Finished = true })
	if !s.respond(c, received, b) {
		return false
	}
	if b != AnswerEarly {
		return true
	}
	body, err := io.ReadAll(req.Body)
	s.update(func() { received.Body = body })
	return err == nil
}

// slowReadPause is the pause of ReadSlowly.
const slowReadPause = 5 * time.Millisecond

// slowReader implements ReadSlowly.
type slowReader struct{ io.Reader }

// Read implements io.Reader.
func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(slowReadPause)
	return s.Reader.Read(p[:min(len(p), 4<<10)])
}

// run waits for the service time. It returns false and counts a cancellation if
// the connection is lost meanwhile.
func (s *Server) run(c net.Conn, r *bufio.Reader, serviceTime time.Duration, hang bool) bool {
	if hang {
		serviceTime = time.Hour
	}
	if serviceTime == 0 {
		return true
	}
	_ = c.SetReadDeadline(time.Now().Add(serviceTime))
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

// Body returns the body of a correct answer to the request with the identifier.
func Body(id string) string { return "answer to " + id + "\n" }

// respond writes the answer. It returns false if the connection must be closed.
func (s *Server) respond(c net.Conn, received *ReceivedRequest, b Behaviour) bool {
	body := Body(received.ID)
	idHeader := "Agateusher-Request-Id: " + received.ID + "\r\n" + s.signalHeaders()
	signatureHeader := "Agateusher-Response-Signature: " + s.ID + "." + received.ID + "\r\n"
	lengthHeader := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if b >= Large && b <= LargePaused {
		return s.respondLarge(c, received, b, idHeader+signatureHeader)
	}
	response := "HTTP/1.1 200 OK\r\n" + idHeader + signatureHeader + lengthHeader + "\r\n" + body
	switch b {
	case Fail:
		return write(c, "HTTP/1.1 500 Internal Server Error\r\n"+idHeader+signatureHeader+"Content-Length: 0\r\n\r\n")
	case Truncate:
		write(c, response[:len(response)-5])
		return false
	case ResetConnection:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case WrongRequestID:
		return write(c, "HTTP/1.1 200 OK\r\nAgateusher-Request-Id: other\r\n"+signatureHeader+lengthHeader+"\r\n"+body)
	case Unsigned:
		return write(c, "HTTP/1.1 200 OK\r\n"+idHeader+lengthHeader+"\r\n"+body)
	case Encoded:
		return write(c, "HTTP/1.1 200 OK\r\n"+idHeader+signatureHeader+"Content-Encoding: gzip\r\n"+lengthHeader+"\r\n"+body)
	case Unframed:
		write(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+idHeader+signatureHeader+"\r\n"+body)
		return false
	case Garbage:
		write(c, "\x00\x01 this is no answer\r\n\r\n")
		return false
	case AnswerTwice:
		return write(c, response+response)
	case AnswerTwiceLate:
		if !write(c, response) {
			return false
		}
		time.AfterFunc(lateAnswer, func() { write(c, response) })
		return true
	case AnswerAndClose:
		write(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+idHeader+signatureHeader+lengthHeader+"\r\n"+body)
		return false
	case ResetEarly:
		write(c, "HTTP/1.1 200 OK\r\n"+idHeader+signatureHeader+"\r\n"+body[:len(body)/2])
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case Custom, CustomEndless, CustomEnd:
		var text string
		s.update(func() { text = s.custom })
		return write(c, strings.ReplaceAll(text, "ID", received.ID)) && b != CustomEnd && (b == Custom || s.repeat(c, strings.Repeat("x", 1000), 0))
	case RepeatRefusal:
		var refusal string
		s.update(func() { refusal = s.refusals[c] })
		if refusal != "" {
			return write(c, refusal)
		}
	case AnswerEarly:
		return write(c, "HTTP/1.1 413 Content Too Large\r\n"+idHeader+signatureHeader+"Content-Length: 0\r\n\r\n")
	}
	return write(c, response)
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
