package relay

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// chunkBytes bounds one read. Messages up to this size are cut exactly at their
// points; of larger ones, the first chunk counts as the whole message.
const chunkBytes = 64 << 10

var headerEnd = []byte("\r\n\r\n")

// link is one connection through a relay. ends holds the far end of each
// direction: the server's for ToServer, the client's for ToClient.
type link struct {
	relay *Relay
	ends  [directions]net.Conn

	mu sync.Mutex
	// answered is set while the latest bytes came from the server, so that the
	// next ones from the client begin an exchange.
	answered bool
	begun    bool
	point    Point
	cutting  bool
}

// run passes bytes on until both directions have ended.
func (l *link) run() {
	var wg sync.WaitGroup
	for d := range directions {
		wg.Go(func() { l.pump(d) })
	}
	wg.Wait()
	l.cut(false)
}

func (l *link) pump(d Direction) {
	from, to := l.ends[1-d], l.ends[d]
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.pass(d, to, buf[:n]) {
			return
		}
		if err != nil {
			l.hold(d)
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// pass passes one chunk on, or as much of it as the faults let through. It
// returns false when the connection ends.
func (l *link) pass(d Direction, to net.Conn, chunk []byte) bool {
	point, cut := l.track(d)
	f, _ := l.relay.current()
	if f.Delay > 0 && !l.sleep(f.Delay) {
		return false
	}
	if !l.hold(d) {
		return false
	}
	if cut {
		chunk = part(point, chunk)
	}
	_, err := to.Write(chunk)
	if cut || err != nil {
		l.cut(f.Reset)
		return false
	}
	return true
}

// track follows the exchanges of the connection and returns the point at which
// the message that travels in this direction is cut, if it is.
func (l *link) track(d Direction) (Point, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d == ToServer && (l.answered || !l.begun) {
		l.point, l.cutting = l.relay.drawCut()
		l.begun = true
	}
	l.answered = d == ToClient
	if l.cutting && d == ToClient && l.point.direction() == ToServer {
		// The server answered before the connection was closed.
		return BeforeResponse, true
	}
	return l.point, l.cutting && l.point.direction() == d
}

// part returns the bytes of a message that are passed on before a cut.
func part(p Point, message []byte) []byte {
	body := len(message)
	if i := bytes.Index(message, headerEnd); i >= 0 {
		body = i + len(headerEnd)
	}
	switch p {
	case BeforeRequest, BeforeResponse:
		return nil
	case BeforeRequestBody, BeforeResponseBody:
		return message[:body]
	case WithinRequestBody, WithinResponseBody:
		return message[:body+(len(message)-body)/2]
	}
	return message
}

// hold waits while the direction is silent. It returns false if the relay ends.
func (l *link) hold(d Direction) bool {
	for {
		f, changed := l.relay.current()
		if !f.Silent[d] {
			return true
		}
		select {
		case <-changed:
		case <-l.relay.ctx.Done():
			return false
		}
	}
}

func (l *link) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.relay.ctx.Done():
		return false
	}
}

// cut closes both ends.
func (l *link) cut(reset bool) {
	for _, c := range l.ends {
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}
