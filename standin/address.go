package standin

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// Ports for tests and the demo lie below the range from which the system takes
// the ports of outgoing connections (32768 and up on Linux): a port from that
// range could be taken by a connection between its choice and its use.
const (
	firstPort = 20000
	lastPort  = 32000
	// portTries bounds the search for a free port.
	portTries = 1000
)

// ErrNoFreePort: no free port was found.
var ErrNoFreePort = errors.New("no free loopback port between 20000 and 32000")

var handedOut sync.Map // uint16 ports that this process has returned

// FreeAddress returns a loopback address, "ip:port", that nothing listens on
// and that it has not returned before.
func FreeAddress() (string, error) {
	for range portTries {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port).String()
		if _, used := handedOut.LoadOrStore(port, true); used {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address, nil
	}
	return "", ErrNoFreePort
}
