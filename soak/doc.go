// Package soak runs usher-edge as separate processes beside stand-ins of the
// platform, injects faults from outside in a seeded random series, and checks
// what callers and backend servers see while it runs: no request that must not
// repeat runs twice, "not run" is true, answers are whole and belong to their
// request, a planned stop cuts nothing, and service comes back.
//
// The tests run a few seeds. SOAK_SEEDS and SOAK_FIRST run others:
//
//	make soak-edge SEEDS=50 FIRST=1000
package soak
