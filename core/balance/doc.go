// Package balance chooses a backend server for each attempt from evidence that
// the daemons of a data centre share: which attempts are outstanding, and how
// earlier attempts ended.
//
// Each server is modelled as a two-state process, serving or failing, whose
// state is hidden. A Belief is the probability of the failing state. Each outcome
// updates it by Bayes' rule, and it decays towards the long-run share of failing
// servers as evidence ages. Choose ranks servers by expected cost: failure, load,
// late response and transfer. No server is excluded by its belief, except from
// hedges, so a pool in which all servers are suspects still serves.
//
// The package has no clock, goroutines, locks or I/O: callers pass the time in and
// must serialise calls.
package balance
