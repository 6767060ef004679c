package consortium

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// LargeBodyBytes is the size of LargeBody.
const LargeBodyBytes = 700 << 10

// LargeBody returns the large body of a correct answer to the request with the
// identifier.
func LargeBody(id string) string {
	line := "answer to " + id + "\n"
	return strings.Repeat(line, LargeBodyBytes/len(line)+1)[:LargeBodyBytes]
}

// LargePause is the pause of LargePaused.
const LargePause = 400 * time.Millisecond

// dripInterval is the pause between the bytes of DripBody and DripHead.
const dripInterval = 20 * time.Millisecond

// maxEndlessBytes bounds what an endless behaviour sends, should the caller never
// close the connection.
const maxEndlessBytes = 1 << 30

// repeat writes text, with a pause after each copy, until the connection is closed
// or maxEndlessBytes were written. It counts the bytes in Server.EndlessBytes.
func (s *Server) repeat(c net.Conn, text string, pause time.Duration) bool {
	// Converted once, so that it leaves no garbage in a process whose memory is tested.
	data := []byte(text)
	for sent := 0; sent < maxEndlessBytes; sent += len(data) {
		if _, err := c.Write(data); err != nil {
			return false
		}
		s.update(func() { s.endlessBytes += len(data) })
		time.Sleep(pause)
	}
	return false
}

// EndlessBytes returns how many bytes the endless behaviours have sent.
func (s *Server) EndlessBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endlessBytes
}

// respondLarge writes an answer with a large or an endless body or head. It returns
// false if the connection must be closed.
func (s *Server) respondLarge(c net.Conn, received *ReceivedRequest, b Behaviour, headers string) bool {
	const status = "HTTP/1.1 200 OK\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	body := LargeBody(received.ID)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	switch b {
	case Large:
		return write(c, status+headers+length+body)
	case LargeChunked:
		return write(c, status+headers+chunked+chunk+"0\r\n\r\n")
	case HeadOnly:
		return write(c, status+headers+"\r\n")
	case LargePaused:
		if !write(c, status+headers+length+body[:len(body)/2]) {
			return false
		}
		time.Sleep(LargePause)
		return write(c, body[len(body)/2:])
	case LargeTruncated:
		write(c, status+headers+length+body[:len(body)/2])
		return false
	case LargeStalled:
		return write(c, status+headers+length+body[:len(body)/2]) && s.run(c, bufio.NewReader(c), 0, true)
	case EndlessHead:
		return write(c, status+headers) && s.repeat(c, strings.Repeat("X-Filler: "+strings.Repeat("x", 100)+"\r\n", 10), 0)
	case EndlessInterim:
		return s.repeat(c, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 0)
	case EndlessBody:
		return write(c, status+headers+chunked) && s.repeat(c, chunk, 0)
	case EndlessChunkExtension:
		return write(c, status+headers+chunked+"5;x=") && s.repeat(c, strings.Repeat("y", 1000), 0)
	case EndlessTrailer:
		return write(c, status+headers+chunked+"0\r\n") && s.repeat(c, "X-Filler: "+strings.Repeat("x", 100)+"\r\n", 0)
	case DripBody:
		return write(c, status+headers+chunked) && s.repeat(c, "1\r\nx\r\n", dripInterval)
	case DripHead:
		return write(c, status+headers) && s.repeat(c, "x", dripInterval)
	}
	return write(c, "HTTP/1.1 204 No Content\r\n"+headers+"\r\nbytes that are no answer") && s.repeat(c, "x", dripInterval)
}
