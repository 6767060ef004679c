package backend

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

type errorBody struct {
	Error  string         `json:"error"`
	Server model.ServerID `json:"server"`
}

// shed answers 503 with the header that marks the request as not run.
func (s *Server) shed(w http.ResponseWriter, c call) {
	s.log.finish(c.logIndex, time.Now(), EndShed)
	w.Header().Set(s.options.ShedHeader, "true")
	writeJSON(w, http.StatusServiceUnavailable, errorBody{Error: "shed", Server: s.options.ID})
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, c call, end End, faults Faults) {
	switch end {
	case EndShed:
		s.shed(w, c)
		return
	case EndDisconnected, EndCancelled:
		panic(http.ErrAbortHandler)
	case EndDeadline:
		writeJSON(w, http.StatusGatewayTimeout, errorBody{Error: "deadline passed", Server: s.options.ID})
		return
	}
	if s.sampler.chance(faults.LateRate) {
		_ = sleep(r.Context(), time.Duration(faults.LateMs)*time.Millisecond)
	}
	status, body := s.body(c, end, faults)
	s.write(w, status, body, faults)
}

func (s *Server) body(c call, end End, faults Faults) (int, []byte) {
	if end == EndError {
		status := faults.ErrorStatus
		if status == 0 {
			status = http.StatusInternalServerError
		}
		body, _ := json.Marshal(errorBody{Error: "injected fault", Server: s.options.ID})
		return status, body
	}
	body, _ := json.Marshal(newAnswer(c, s.options.ID, time.Since(c.arrived)))
	return http.StatusOK, body
}

// write sends the answer, or the part of it that precedes an injected reset or
// truncation.
func (s *Server) write(w http.ResponseWriter, status int, body []byte, faults Faults) {
	reset := s.sampler.chance(faults.ResetRate)
	if reset && (faults.ResetPoint == "" || faults.ResetPoint == ResetBefore) {
		resetConnection(w)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	switch {
	case reset && faults.ResetPoint == ResetWithin:
		_, _ = w.Write(body[:len(body)/2])
		resetConnection(w)
	case s.sampler.chance(faults.TruncateRate):
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	default:
		_, _ = w.Write(body)
	}
	if reset {
		resetConnection(w)
	}
}

// resetConnection flushes what was written and resets the connection. It ends
// the handler with a panic of http.ErrAbortHandler.
func resetConnection(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	if conn, _, err := control.Hijack(); err == nil {
		if tcp, ok := conn.(interface{ SetLinger(int) error }); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	panic(http.ErrAbortHandler)
}

// countedConn calls release when it is closed, which decrements the server's
// connection count. Its first read is delayed.
type countedConn struct {
	net.Conn
	delay   time.Duration
	release func()
}

// SetLinger sets the linger time of a TCP connection in seconds; 0 makes Close
// send a reset.
func (c *countedConn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// Read waits for the configured delay before the first read.
func (c *countedConn) Read(p []byte) (int, error) {
	if c.delay > 0 {
		time.Sleep(c.delay)
		c.delay = 0
	}
	return c.Conn.Read(p)
}

// Close closes the connection and releases its place in the count.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
