package standin

import (
	"errors"
	"net"
	"net/netip"
	"sync"
)

// Ports for tests and the demo are chosen below the range of ephemeral ports
// (32768 and up on Linux). An outgoing connection could take a port from that
// range between its choice and its use.
//
// The ports are divided into blocks. Each process reserves a block by listening
// on its first port. Otherwise a daemon that restarts on its old port could find
// it taken by a test in another process.
const (
	firstPort = 20000
	lastPort  = 32000
	blockSize = 200
)

// ErrNoFreePort is returned when no block of ports can be reserved.
var ErrNoFreePort = errors.New("no free loopback port between 20000 and 32000")

// portBlock is the range of ports that this process has reserved.
var portBlock struct {
	sync.Mutex
	reserved net.Listener
	next     uint16
	end      uint16
}

// FreeAddress returns a loopback address, "ip:port", that nothing listens on
// and that neither this process nor another one has been given before.
func FreeAddress() (string, error) {
	portBlock.Lock()
	defer portBlock.Unlock()
	if portBlock.reserved == nil {
		if err := reserveBlock(); err != nil {
			return "", err
		}
	}
	for ; portBlock.next < portBlock.end; portBlock.next++ {
		address := loopback(portBlock.next)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		portBlock.next++
		return address, nil
	}
	// The block is used up. Its first port stays reserved, because addresses
	// from the block may still be in use.
	portBlock.reserved = nil
	if err := reserveBlock(); err != nil {
		return "", err
	}
	portBlock.next++
	return loopback(portBlock.next - 1), nil
}

// reserveBlock takes the first block whose first port is free. The listener is
// kept open until the process ends.
func reserveBlock() error {
	for first := uint16(firstPort); first < lastPort; first += blockSize {
		l, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		portBlock.reserved, portBlock.next, portBlock.end = l, first+1, first+blockSize
		reservations = append(reservations, l)
		return nil
	}
	return ErrNoFreePort
}

// reservations keeps every listener reachable, because the garbage collector
// closes unreachable ones.
var reservations []net.Listener

func loopback(port uint16) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port).String()
}
