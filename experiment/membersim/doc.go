// Package membersim simulates the membership protocol of many hosts in virtual
// time, with network latency, message loss, one-way partitions and process
// pauses. It measures how fast changes spread and how many bytes the control
// messages take in their JSON-RPC encoding. Only the membership tables are
// real: there are no sockets and no other parts of the daemon.
package membersim
