package standin

import (
	"errors"
	"net"
	"net/netip"
	"sync"
)

// Ports for tests and the demo lie below the range from which the system takes
// the ports of outgoing connections (32768 and up on Linux): a port from that
// range could be taken by a connection between its choice and its use.
//
// They are divided into blocks, of which each process reserves one by listening
// on its first port: a daemon that restarts on its old port would otherwise
// find it taken by a test in another process.
const (
	firstPort = 20000
	lastPort  = 32000
	blockSize = 200
)

// ErrNoFreePort: no free port was found.
var ErrNoFreePort = errors.New("no free loopback port between 20000 and 32000")

// block is the range of ports that this process has reserved.
var block struct {
	sync.Mutex
	reserved net.Listener
	next     uint16
	end      uint16
}

// FreeAddress returns a loopback address, "ip:port", that nothing listens on
// and that neither this process nor another one has been given before.
func FreeAddress() (string, error) {
	block.Lock()
	defer block.Unlock()
	if block.reserved == nil {
		if err := reserveBlock(); err != nil {
			return "", err
		}
	}
	for ; block.next < block.end; block.next++ {
		address := loopback(block.next)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		block.next++
		return address, nil
	}
	// The block is used up; its first port stays reserved, because addresses
	// from it may still be in use.
	block.reserved = nil
	if err := reserveBlock(); err != nil {
		return "", err
	}
	block.next++
	return loopback(block.next - 1), nil
}

// reserveBlock takes the first block whose first port is free. The listener is
// kept open until the process ends.
func reserveBlock() error {
	for first := uint16(firstPort); first < lastPort; first += blockSize {
		l, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		block.reserved, block.next, block.end = l, first+1, first+blockSize
		reservations = append(reservations, l)
		return nil
	}
	return ErrNoFreePort
}

// reservations keeps every listener reachable, so that none is closed by the
// garbage collector.
var reservations []net.Listener

func loopback(port uint16) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port).String()
}
