// Package acceptance walks through the operators' page (docs/OPERATIONS.md)
// with the real programs: a change, a conflict, a drain, a sick server, an
// outage of the object API, idempotency keys and a report.
package acceptance
