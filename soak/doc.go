// Package soak runs usher-edge as separate processes with stand-ins of the
// platform and injects a seeded random series of faults from outside. It checks
// that no non-idempotent request runs twice, that a request answered "not run"
// did not run, that answers are complete and belong to their request, that a
// planned stop interrupts no request, that a server that names a rate limit gets no
// more requests than it allows, that service recovers, and that keys of workspaces, which
// are revoked meanwhile while one workspace floods, are accepted, refused and kept secret
// as they must be.
//
// By default the test runs a few seeds. SOAK_SEEDS and SOAK_FIRST select others:
//
//	make soak-edge SEEDS=50 FIRST=1000
package soak
