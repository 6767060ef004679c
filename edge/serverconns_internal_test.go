package edge

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// Guards against a request on a connection with unread bytes, or that the server has closed,
// although no goroutine has noticed yet; and on one whose last response is still being read.
func TestStateOfIdleConnection(t *testing.T) {
	for name, x := range map[string]struct {
		reading bool
		peer    func(net.Conn)
		want    idleState
	}{
		"clean":       {true, func(net.Conn) {}, idleClean},
		"not reading": {false, func(net.Conn) {}, idleClosed},
		"bytes":       {true, func(c net.Conn) { _, _ = c.Write([]byte("x")) }, idleBytes},
		"unread":      {false, func(c net.Conn) { _, _ = c.Write([]byte("x")) }, idleBytes},
		"closed":      {true, func(c net.Conn) { _ = c.Close() }, idleClosed},
		"unread end":  {false, func(c net.Conn) { _ = c.Close() }, idleClosed},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			socket, err := net.Dial("tcp4", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = socket.Close() }()
			peer, err := l.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = peer.Close() }()
			c := &watchedConn{Conn: socket}
			if x.reading {
				go func() { _, _ = c.Read(make([]byte, 10)) }()
				g.Eventually(c.reads.Load).Should(Equal(uint64(1)))
			}
			x.peer(peer)
			time.Sleep(20 * time.Millisecond)
			g.Expect(c.state(0)).To(Equal(x.want))
			// A process that was frozen reads bytes late; the kernel knows when they came.
			if x.want == idleBytes {
				time.Sleep(100 * time.Millisecond)
				g.Expect(c.silence()).To(BeNumerically(">=", 90*time.Millisecond))
			}
			if !x.reading && x.want == idleClosed {
				return
			}
			// A path that has gone silent breaks a reused connection soon.
			c.setSilentLimit(silentFactor * sameRegionDialTimeout)
			sys, err := socket.(*net.TCPConn).SyscallConn()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(sys.Control(func(fd uintptr) {
				ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(ms).To(Equal(240))
			})).To(Succeed())
		})
	}
}
