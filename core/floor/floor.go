// Package floor decides which suspected backend servers are ejected, so that the
// serving capacity of a pool stays at or above its floor, the configured minimum.
package floor

import "github.com/agateusher/agateusher/core/model"

// State tells whether a server receives requests, and if not, why.
type State uint8

const (
	// Serving means that the server receives requests.
	Serving State = iota + 1
	// EjectedByHealth means that it was ejected because the detector suspected it.
	EjectedByHealth
	// EjectedByOperator means that an operator ejected it.
	EjectedByOperator
	// Leaving means that it is draining or removed; its capacity is lost.
	Leaving
)

// Server is one configured server of the pool.
type Server struct {
	ID model.ServerID
	// Slots is the number of requests that the server runs at a time.
	Slots int
	State State
	// Score is the detector's score; higher is worse, zero means not suspected.
	Score float64
}

// Limits is the floor of a pool. Both fields apply.
type Limits struct {
	// Share is the minimum share of the configured slots, 0 to 1. The resulting
	// number of slots is rounded up.
	Share float64
	// MinServers is this pool's part of the service's minimum number of servers.
	MinServers int
}

// Input is the input of Plan.
type Input struct {
	Servers []Server
	Limits  Limits
}

// Result is the decision of Plan. A server is in at most one list.
type Result struct {
	// Eject lists servers to eject now, worst first.
	Eject []model.ServerID
	// KeepSuspect lists suspects that the floor keeps in service.
	KeepSuspect []model.ServerID
	// ReadmitEarly lists servers ejected by health that must return to
	// restore the floor, lowest score first.
	ReadmitEarly []model.ServerID
}
