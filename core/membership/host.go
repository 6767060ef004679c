package membership

import (
	"cmp"
	"fmt"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// State is what the fleet believes of a host. At equal versions the higher
// state prevails.
type State uint8

const (
	// Alive: the host answers, or nothing is known against it.
	Alive State = iota + 1
	// Suspect: neither this host nor its helpers reached it; it may refute.
	Suspect
	// Unreachable: a suspicion was not refuted in time.
	Unreachable
	// Leaving: the host has announced its planned stop.
	Leaving
	// Gone: the host has left, or the platform no longer lists it.
	Gone
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Unreachable: "unreachable", Leaving: "leaving", Gone: "gone"}

// String returns the form used in logs.
func (s State) String() string {
	if int(s) < len(stateNames) && stateNames[s] != "" {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Info says where a host is. Addresses are "ip:port".
type Info struct {
	DataCentre   model.DataCentre `json:"d"`
	Region       model.Region     `json:"r"`
	FleetAddress string           `json:"f"`
	PeerAddress  string           `json:"p"`
}

// Host is a host with its addresses.
type Host struct {
	ID model.HostID
	Info
}

// Version orders what is said of one host. Start is the process's start in
// Unix milliseconds on its own clock, zero for a host known from the host list
// only; it is compared only with other starts of the same host. Counter is
// raised by the host itself to refute a suspicion.
type Version struct {
	Start   uint64 `json:"s"`
	Counter uint64 `json:"c"`
}

// Compare returns -1, 0 or 1.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Start, o.Start), cmp.Compare(v.Counter, o.Counter))
}

// ListedHost is one entry of the platform's host list.
type ListedHost struct {
	Host
	Leaving bool
}

// HostView is the table's knowledge of one host.
type HostView struct {
	Host
	Incarnation model.Incarnation
	Version     Version
	State       State
	// Since is when State last changed in this table.
	Since time.Time
	// LinkDown means that this host cannot reach it although others can.
	LinkDown bool
	Epoch    model.Epoch
}

// View is an immutable copy of the table.
type View struct {
	Self  model.HostID
	Hosts map[model.HostID]HostView
	// Serving holds the hosts of each data centre that are alive or suspect, by
	// name.
	Serving map[model.DataCentre][]model.HostID
	Regions map[model.DataCentre]model.Region
	// Successors holds the hosts that took over the keys of stopped
	// incarnations.
	Successors map[model.Incarnation]model.HostID
}
