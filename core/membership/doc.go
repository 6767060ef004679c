// Package membership keeps one host's table of the hosts of the fleet. Its
// sources are the platform's lagging host list, heartbeats to a bounded set of
// peers, indirect probes through other hosts, and failures on the data path.
// Changes spread on the heartbeats in digests of bounded size; a periodic
// comparison of hashes repairs what a digest missed.
//
// A Table is pure: callers pass the time and execute the decisions that it
// returns. An incorrect view costs efficiency and never correctness: the table
// only ranks owners and relays and finds the successor of a stopped issuer.
package membership
