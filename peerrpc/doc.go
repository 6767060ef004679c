// Package peerrpc carries control messages between daemons: jsonrpc2 over TCP
// on the peer listener. A connection proves knowledge of a fleet secret in both
// directions before any other method is served. Messages, their number in
// progress and all waits are bounded; bytes and messages are counted.
//
// Calls that move much data use a connection of their own, so that heartbeats
// never wait behind them.
package peerrpc
