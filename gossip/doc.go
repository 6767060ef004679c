// Package gossip connects the daemons of a data centre. Each one sends its
// observations of backend servers, and a heartbeat when it has none, to all
// others in small datagrams; traffic inside a data centre is free. A daemon that
// misses a heartbeat loses ranking, never correctness.
//
// The relay of a data centre also sends a digest to the other data centres of
// its region, whose receivers pass it on, so that the bytes between data
// centres do not grow with the fleet.
//
// Datagrams are not authenticated: the internal ports are reachable by the
// fleet's own hosts only.
package gossip
