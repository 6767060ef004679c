// Package relay is a TCP relay on loopback that injects faults, for tests only.
// It stands between a client and a server that exchange small HTTP/1.1
// messages, and can cut a connection at a chosen point of a request or
// response, delay or silence a direction, and refuse connections.
package relay
