// Package membership keeps one host's table of the hosts of the fleet. Its
// sources are the platform's host list, which lags, heartbeats to a bounded set
// of peers, indirect probes through other hosts, and failures on the data path.
// Changes spread with the heartbeats, in digests of bounded size. A periodic
// comparison of hashes repairs changes that the digests missed.
//
// A Table does no I/O and reads no clock: callers pass the time and execute the
// decisions that it returns. A wrong view reduces efficiency but not correctness,
// since the table is only used to rank owners and relays and to find the successor
// of a stopped issuer of idempotency keys.
package membership
