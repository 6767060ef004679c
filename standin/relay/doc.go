// Package relay is a TCP relay on loopback that injects faults, for tests only.
// It forwards small HTTP/1.1 messages between clients and a server. It can close
// a connection at a chosen point of a request or response, delay or block a
// direction, and refuse connections.
package relay
