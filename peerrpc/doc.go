// Package peerrpc carries control messages between daemons as JSON-RPC 2.0 over
// TCP on the peer listener. Both sides of a connection prove knowledge of a fleet
// secret before any other method is served. The size of messages, the number of
// concurrent requests and all waits are limited; bytes and messages are counted.
//
// Calls that transfer much data use connections of their own, so that heartbeats
// never wait behind them.
package peerrpc
