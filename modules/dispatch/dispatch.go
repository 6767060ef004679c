// Package dispatch registers the modules that choose which daemon dispatches the
// requests of a pool:
//
//	dispatch.owner  The pool's owner: the highest-ranked live host of the
//	                pool's data centre. The default.
//	dispatch.local  The daemon that received the request, which uses its own
//	                view of the pool. Slots, fairness, the floor and the
//	                evidence are then separate in each daemon. This is the
//	                baseline that dispatch.owner is measured against.
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

// Dispatcher is implemented by the modules of the namespace "dispatch".
type Dispatcher interface {
	kernel.Module
	// Directory returns the fleet directory through which requests are routed.
	// next is the daemon's directory and self is the daemon.
	Directory(next entry.Directory, self fleet.Peer) entry.Directory
}

// Owner is the module that forwards requests to the owners of their pools.
type Owner struct{}

// ModuleInfo implements kernel.Module.
func (*Owner) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "dispatch.owner", New: func() kernel.Module { return new(Owner) }}
}

// Directory returns next.
func (*Owner) Directory(next entry.Directory, _ fleet.Peer) entry.Directory { return next }

// Local is the module that dispatches requests in the daemon that received them.
type Local struct{}

// ModuleInfo implements kernel.Module.
func (*Local) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "dispatch.local", New: func() kernel.Module { return new(Local) }}
}

// Directory returns a directory in which this daemon owns every pool.
func (*Local) Directory(next entry.Directory, self fleet.Peer) entry.Directory {
	return &localDirectory{Directory: next, self: self}
}

type localDirectory struct {
	entry.Directory
	self fleet.Peer
}

// Owners implements entry.Directory.
func (d *localDirectory) Owners(model.PoolID, int) []fleet.Peer { return []fleet.Peer{d.self} }
