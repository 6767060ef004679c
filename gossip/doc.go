// Package gossip connects the daemons of a data centre over UDP. Each daemon sends
// its observations of backend servers, or a heartbeat if it has none, to all
// others in small datagrams; traffic inside a data centre is free of charge. A
// lost datagram makes rankings less accurate, but never affects correctness.
//
// The relay of a data centre also sends a digest to the other data centres of
// its region. The receivers pass it on inside their data centre, so that the
// traffic between data centres does not grow with the fleet.
//
// Datagrams are not authenticated: the internal ports are reachable only from the
// fleet's own hosts.
package gossip
