package relay

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// chunkBytes is the maximum size of one read. Messages up to this size are cut
// exactly at their points. The first chunk of a larger message is treated as the
// whole message.
const chunkBytes = 64 << 10

var headerEnd = []byte("\r\n\r\n")

// link is one connection through a relay. conns holds the connection that each
// direction writes to: the server's for ToServer, the client's for ToClient.
type link struct {
	relay *Relay
	conns [numDirections]net.Conn

	mu sync.Mutex
	// lastFromServer is set if the latest bytes came from the server. The next bytes
	// from the client then begin an exchange.
	lastFromServer  bool
	exchangeStarted bool
	cutPoint        Point
	cutPlanned      bool
}

// run forwards bytes until both directions have ended.
func (l *link) run() {
	var wg sync.WaitGroup
	for d := range numDirections {
		wg.Go(func() { l.pump(d) })
	}
	wg.Wait()
	l.closeConns(false)
}

func (l *link) pump(d Direction) {
	from, to := l.conns[1-d], l.conns[d]
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.forward(d, to, buf[:n]) {
			return
		}
		if err != nil {
			l.waitWhileSilent(d)
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// forward forwards one chunk, or the part of it that precedes a cut. It returns
// false if the connection has ended.
func (l *link) forward(d Direction, to net.Conn, chunk []byte) bool {
	point, cut := l.track(d)
	f, _ := l.relay.currentFaults()
	if f.Delay > 0 && !l.sleep(f.Delay) {
		return false
	}
	if !l.waitWhileSilent(d) {
		return false
	}
	if cut {
		chunk = bytesBeforeCut(point, chunk)
	}
	_, err := to.Write(chunk)
	if cut || err != nil {
		l.closeConns(f.Reset)
		return false
	}
	return true
}

// track updates the state of the exchange for a chunk in this direction. It
// returns the cut point, and whether this chunk is cut there.
func (l *link) track(d Direction) (Point, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d == ToServer && (l.lastFromServer || !l.exchangeStarted) {
		l.cutPoint, l.cutPlanned = l.relay.drawCut()
		l.exchangeStarted = true
	}
	l.lastFromServer = d == ToClient
	if l.cutPlanned && d == ToClient && l.cutPoint.direction() == ToServer {
		// The server answered before the connection was closed.
		return BeforeResponse, true
	}
	return l.cutPoint, l.cutPlanned && l.cutPoint.direction() == d
}

// bytesBeforeCut returns the bytes of a message that are forwarded before a cut.
func bytesBeforeCut(p Point, message []byte) []byte {
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

// waitWhileSilent waits until the direction is not silent. It returns false if the
// relay is closed meanwhile.
func (l *link) waitWhileSilent(d Direction) bool {
	for {
		f, changed := l.relay.currentFaults()
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

// closeConns closes both connections, with a TCP reset if reset is set.
func (l *link) closeConns(reset bool) {
	for _, c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}
