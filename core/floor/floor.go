// Package floor decides which suspected backend servers may be ejected without
// taking a pool below its floor of healthy capacity.
package floor

import "github.com/agateusher/agateusher/core/model"

// State is why a server does or does not receive work.
type State uint8

const (
	// Serving receives requests.
	Serving State = iota + 1
	// EjectedByHealth was ejected by the detector's verdict.
	EjectedByHealth
	// EjectedByOperator was ejected by an operator.
	EjectedByOperator
	// Leaving is draining or removed; its capacity is lost.
	Leaving
)

// Server is one configured server of the pool.
type Server struct {
	ID    model.ServerID
	Slots int
	State State
	// Score is the suspicion; zero: not suspected. Higher is worse.
	Score float64
}

// Limits is the pool's floor. Both parts apply.
type Limits struct {
	// Share of the configured slots, 0 to 1, rounded up.
	Share float64
	// MinServers is this pool's part of the service's minimum count.
	MinServers int
}

// Input is everything that a decision depends on.
type Input struct {
	Servers []Server
	Limits  Limits
}

// Result is the decision. A server is in at most one list.
type Result struct {
	// Eject lists servers to eject now, worst first.
	Eject []model.ServerID
	// KeepSuspect lists suspects that the floor keeps in service.
	KeepSuspect []model.ServerID
	// ReadmitEarly lists servers ejected by health that must return to
	// restore the floor, least suspect first.
	ReadmitEarly []model.ServerID
}
