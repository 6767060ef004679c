// Package random tests entries and owners in one process under random faults of
// backend servers, hosts and the links between them. See TestAtMostOnce.
package random
