package stricthttp_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/internal/stricthttp"
)

// Guards against a server that sends a head without end, to many requests at once, and whose
// bytes are kept: the client's process runs out of memory. The bound is a quarter of the
// memory of the smallest host, which usher-edge uses for bodies.
func TestEndlessHeads(t *testing.T) {
	const requests, limit = 20, 136 << 20 / 4
	field := "Filler: " + strings.Repeat("x", 100) + "\r\n"
	for name, parts := range map[string][2]string{
		"fields":            {"HTTP/1.1 200 OK\r\n", strings.Repeat(field, 100)},
		"short fields":      {"HTTP/1.1 200 OK\r\n", strings.Repeat("A:\r\n", 1000)},
		"field":             {"HTTP/1.1 200 OK\r\nFiller: ", strings.Repeat("x", 10000)},
		"folded field":      {"HTTP/1.1 200 OK\r\nFiller: x", strings.Repeat("\r\n x", 1000)},
		"status":            {"HTTP/1.1 200 ", strings.Repeat("x", 10000)},
		"interim responses": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+field+"\r\n", 100)},
		"garbage":           {"\x00", strings.Repeat("\x00", 10000)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			filler := []byte(parts[1])
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = c.Close() }()
						_, err := io.WriteString(c, parts[0])
						for stop := time.Now().Add(10 * time.Second); err == nil && time.Now().Before(stop); {
							_, err = c.Write(filler)
						}
					}()
				}
			}()
			transport := stricthttp.NewTransport(&http.Transport{})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var wait sync.WaitGroup
			for range requests {
				wait.Go(func() {
					_, err := get(t, transport, l.Addr().String())
					g.Expect(err).To(HaveOccurred())
				})
			}
			wait.Wait()
			runtime.ReadMemStats(&after)
			g.Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", limit), "all allocations, in bytes")
		})
	}
}
