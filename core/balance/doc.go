// Package balance chooses a backend server for each attempt from evidence that
// the daemons of a data centre share: which attempts are outstanding, and how
// earlier ones ended.
//
// Each server is modelled as a two-state process, serving or failing, whose
// state is not visible. A Belief is the probability of the failing state; it is
// updated by each outcome (Bayes) and drifts towards the long-run share of
// failing servers as evidence ages. Choose ranks servers by expected cost:
// failure, waiting, lateness and transfer. No server is excluded by its
// belief, so a pool in which all servers look ill still serves.
//
// The package is pure: time is passed in, and there is no goroutine, lock or
// I/O. Drivers serialise calls.
package balance
