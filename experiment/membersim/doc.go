// Package membersim runs the membership tables of many light hosts in virtual
// time, over a network with latency, loss, one-way cuts and pauses. It measures
// how fast changes spread and what the control messages cost in their JSON-RPC
// encoding; it has no sockets and none of the other parts of a daemon.
package membersim
