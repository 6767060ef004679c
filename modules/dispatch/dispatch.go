// Package dispatch registers the ways in which an entry finds the daemon that
// dispatches to a pool:
//
//	dispatch.owner  the pool's owner, the highest-ranked live host of the
//	                pool's data centre. The default.
//	dispatch.local  this daemon itself, on its own view of the pool. The
//	                baseline that dispatch.owner is measured against: slots,
//	                fairness, the floor and the evidence are then each daemon's
//	                own.
package dispatch

import (
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/entry"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/kernel"
)

func init() {
	kernel.Register(&Owner{})
	kernel.Register(&Local{})
}

// Dispatcher is implemented by the plug-ins of the namespace "dispatch".
type Dispatcher interface {
	kernel.Module
	// Directory wraps what the daemon knows of the fleet; self is the daemon.
	Directory(next entry.Directory, self fleet.Peer) entry.Directory
}

// Owner forwards to pool owners.
type Owner struct{}

// ModuleInfo implements kernel.Module.
func (*Owner) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "dispatch.owner", New: func() kernel.Module { return new(Owner) }}
}

// Directory returns next.
func (*Owner) Directory(next entry.Directory, _ fleet.Peer) entry.Directory { return next }

// Local dispatches in this daemon.
type Local struct{}

// ModuleInfo implements kernel.Module.
func (*Local) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "dispatch.local", New: func() kernel.Module { return new(Local) }}
}

// Directory names this daemon as the owner of every pool.
func (*Local) Directory(next entry.Directory, self fleet.Peer) entry.Directory {
	return &localDirectory{Directory: next, self: self}
}

type localDirectory struct {
	entry.Directory
	self fleet.Peer
}

// Owners implements entry.Directory.
func (d *localDirectory) Owners(model.PoolID, int) []fleet.Peer { return []fleet.Peer{d.self} }
