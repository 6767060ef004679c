package membership

import (
	"cmp"
	"fmt"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// State is the state of a host as the fleet sees it. Between updates of equal
// version the higher state wins.
type State uint8

const (
	// Alive means that the host answers, or that no failure is known.
	Alive State = iota + 1
	// Suspect means that a peer and its helpers failed to reach the host. It may
	// still refute the suspicion.
	Suspect
	// Unreachable means that a suspicion was not refuted in time.
	Unreachable
	// Leaving means that the host announced its planned stop.
	Leaving
	// Gone means that the host has left, or that it is unreachable and the
	// platform no longer lists it.
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

// Info is the location of a host and its addresses, as "ip:port".
type Info struct {
	DataCentre   model.DataCentre `json:"d"`
	Region       model.Region     `json:"r"`
	FleetAddress string           `json:"f"`
	PeerAddress  string           `json:"p"`
}

// Host is a host's ID with its location and addresses.
type Host struct {
	ID model.HostID
	Info
}

// Version orders the updates about one host. Start is the start time of the host's
// process in Unix milliseconds on its own clock, or zero for a host that is known
// from the host list only. It is compared only with other starts of the same host.
// The host itself raises Counter to refute a suspicion or to announce its stop.
type Version struct {
	Start   uint64 `json:"s"`
	Counter uint64 `json:"c"`
}

// Compare returns -1, 0 or 1 if v is older than, equal to or newer than o.
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
	// LinkDown is set if this host cannot reach the viewed host, but others can.
	LinkDown bool
	Epoch    model.Epoch
}

// View is an immutable copy of the table.
type View struct {
	Self  model.HostID
	Hosts map[model.HostID]HostView
	// Serving holds the IDs of each data centre's hosts that are alive or suspect,
	// sorted.
	Serving map[model.DataCentre][]model.HostID
	Regions map[model.DataCentre]model.Region
	// Successors maps a stopped incarnation to the host that took over its keys.
	Successors map[model.Incarnation]model.HostID
}
