package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// client is one connection of a client.
type client struct {
	*world
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection to the daemon. A receive buffer above zero is that of a client
// on a slow link.
func (w *world) dial(receiveBuffer int) (*client, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	c, err := d.Dial("tcp4", w.edge.frontend)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(60 * time.Second))
	return &client{world: w, Conn: c, reader: bufio.NewReader(c)}, nil
}

// head returns the head of a request. extra are further header lines.
func head(method, path, id, extra string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nAgateusher-Request-Id: %s\r\n%s: 4000\r\n%s\r\n", method, path, id, platform.Deadline, extra)
}

func (c *client) send(what, text string) error {
	c.add("client sends %s", what)
	_, err := io.WriteString(c.Conn, text)
	return err
}

// response is an answer as a client got it.
type response struct {
	*http.Response
	body []byte
	at   time.Time
}

// receive reads the next final answer.
func (c *client) receive(method, id string) (*response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			c.add("client gets no answer to %s: %v", id, err)
			return nil, err
		}
		if resp.StatusCode < 200 {
			c.add("client gets %s", resp.Status)
			continue
		}
		r := &response{Response: resp}
		r.body, err = io.ReadAll(resp.Body)
		r.at = time.Now()
		c.add("client gets %s for %s, signature %q, %d bytes, Connection %q, error %v", resp.Status, id,
			resp.Header.Get(platform.Signature), len(r.body), resp.Header["Connection"], err)
		return r, err
	}
}

// continueWait is how long a client waits for 100 before it sends the body.
const continueWait = time.Second

// playContinue sends a second idempotent request, with a body, while the answer to the
// first is on the way. With the trouble it expects a 100 before it sends the body.
func playContinue(w *world) ([]string, error) {
	const size = 8 << 20
	c, err := w.dial(64 << 10)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	if err := c.send("GET 01", head("GET", fmt.Sprintf("/lohu930/w10/s%d", size), "01", "")); err != nil {
		return nil, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	w.add("client has the first bytes of the answer to 01")
	body := string(bytes.Repeat([]byte("b"), 2000))
	expect := ""
	if w.trouble {
		expect = "Expect: 100-continue\r\n"
	}
	if err := c.send("the head of PUT 02 ("+expect+")", head("PUT", "/lohu930/w10/s100", "02", expect+"Content-Length: 2000\r\n")); err != nil {
		return nil, err
	}
	sent := make(chan error, 1)
	go func() {
		if w.trouble {
			time.Sleep(continueWait)
		}
		sent <- c.send("the body of PUT 02", body)
	}()
	time.Sleep(500 * time.Millisecond) // a slow link
	first, err := c.receive("GET", "01")
	if err != nil {
		return nil, err
	}
	var broken []string
	want := bodyOf("01", size)
	if first.StatusCode == http.StatusOK && !bytes.Equal(first.body, want) {
		at := 0
		for at < len(first.body) && at < len(want) && first.body[at] == want[at] {
			at++
		}
		broken = append(broken, fmt.Sprintf("MIXED: the answer to 01 is a success with a body that is not the endpoint's; at byte %d it has %q", at, first.body[at:min(at+40, len(first.body))]))
	}
	if err := <-sent; err != nil {
		return broken, nil
	}
	second, err := c.receive("PUT", "02")
	if err != nil || second.StatusCode != http.StatusOK || !bytes.Equal(second.body, bodyOf("02", 100)) {
		w.add("no whole answer to 02")
	}
	return broken, nil
}

// playCut sends long and short idempotent requests on one kept connection, several before the
// first is answered. With the trouble, the endpoint of the long ones breaks off a few of its
// answers; the endpoint of the short ones is sound.
func playCut(w *world) ([]string, error) {
	const batches, short = 80, 4
	if w.trouble {
		w.archive.breakEvery = 40
	}
	var lost []string
	var c *client
	for i := range batches {
		if c == nil {
			var err error
			if c, err = w.dial(0); err != nil {
				return nil, err
			}
			id := fmt.Sprintf("%d-first", i)
			if err := c.send("GET "+id, head("GET", "/lohu930/w5/s100", id, "")); err != nil {
				return nil, err
			}
			if _, err := c.receive("GET", id); err != nil {
				return nil, err
			}
		}
		answered, ids, err := c.batch(i, short)
		if err != nil {
			return nil, err
		}
		if answered == 1+short {
			continue
		}
		_ = c.Close()
		c = nil
		time.Sleep(500 * time.Millisecond)
		for _, id := range ids[max(1, answered):] {
			if w.endpoint.arrived(id) {
				lost = append(lost, id)
			}
		}
	}
	if c != nil {
		_ = c.Close()
	}
	if len(lost) <= 3 {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: %d requests from kept connections were passed on to a sound endpoint, and the connection closed without an answer: %v", len(lost), lost)}, nil
}

// batch sends a long request and short ones behind it, and returns how many were answered whole.
func (c *client) batch(i, short int) (answered int, ids []string, err error) {
	const size = 400 << 10
	text := ""
	for j := range 1 + short {
		id := fmt.Sprintf("%d-%d", i, j)
		path := "/lohu930/w50/s100"
		if j == 0 {
			path = fmt.Sprintf("/zafe212/w20/s%d", size)
		}
		text += head("GET", path, id, "")
		ids = append(ids, id)
	}
	if err := c.send(fmt.Sprintf("GET %s (long) and, behind it, %v", ids[0], ids[1:]), text); err != nil {
		return 0, ids, err
	}
	for _, id := range ids {
		if _, err := c.receive("GET", id); err != nil {
			return answered, ids, nil
		}
		answered++
	}
	return answered, ids, nil
}
