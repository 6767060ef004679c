package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that an endpoint ran.
type run struct {
	id, method, path string
	arrived, done    time.Time
}

// endpoint is a sound endpoint. The path of a request says how long it works and how
// long its answer is: /PREFIX/wWORK/sSIZE, in milliseconds and bytes.
type endpoint struct {
	id, address string
	record      *record
	// breakEvery makes it break off each so many-th answer; zero: none.
	breakEvery int

	mu   sync.Mutex
	runs map[string]run
	// answers counts its answers.
	answers int
}

func newEndpoint(id string, r *record) (*endpoint, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, address: l.Addr().String(), record: r, runs: map[string]run{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e, nil
}

// entry returns the spec of the endpoint's entry in the store.
func (e *endpoint) entry(service, zone string, born int64) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":8}}`, e.address, born, service, zone)
}

// bodyOf returns the body that the endpoint answers a request with.
func bodyOf(id string, size int) []byte {
	line := []byte(id + " ")
	return bytes.Repeat(line, size/len(line)+1)[:size]
}

// figures returns the work and the size that a path names.
func figures(path string) (work time.Duration, size int) {
	for _, part := range strings.Split(path, "/") {
		if len(part) < 2 {
			continue
		}
		n, err := strconv.Atoi(part[1:])
		switch {
		case err == nil && part[0] == 'w':
			work = time.Duration(n) * time.Millisecond
		case err == nil && part[0] == 's':
			size = n
		}
	}
	return work, size
}

func (e *endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		id, target := q.Header.Get("Agateusher-Request-Id"), q.Header.Get(platform.Target)
		if target != "" && target != e.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", platform.Instance, e.id)
			continue
		}
		e.answer(c, q, id)
		if q.Close {
			return
		}
	}
}

func (e *endpoint) answer(c net.Conn, q *http.Request, id string) {
	work, size := figures(q.URL.Path)
	body := bodyOf(id, size)
	x := run{id: id, method: q.Method, path: q.URL.Path, arrived: time.Now()}
	e.record.add("endpoint %s runs %s: %s %s", e.id, id, q.Method, q.URL.Path)
	e.mu.Lock()
	e.runs[id] = x
	e.mu.Unlock()
	time.Sleep(work)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if q.Method == http.MethodHead {
		body = nil
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAgateusher-Request-Id: %s\r\n%s: %s.%s\r\n%s\r\n", id, platform.Signature, e.id, id, length)
	e.mu.Lock()
	e.answers++
	breakOff := e.breakEvery > 0 && e.answers%e.breakEvery == 0
	e.mu.Unlock()
	if breakOff {
		_, _ = c.Write(body[:len(body)*3/4])
		_ = c.Close()
		e.record.add("endpoint %s breaks off its answer to %s", e.id, id)
		return
	}
	_, err := c.Write(body)
	x.done = time.Now()
	e.record.add("endpoint %s has answered %s: 200, error of the connection: %v", e.id, id, err)
	e.mu.Lock()
	e.runs[id] = x
	e.mu.Unlock()
}

// arrived reports whether a request reached the endpoint.
func (e *endpoint) arrived(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.runs[id]
	return ok
}
