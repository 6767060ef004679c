// Package acceptance runs the procedures of the operators' page
// (docs/OPERATIONS.md) with the built programs: a change, a conflict, a drain,
// the ejection of a stalled server, an outage of the object API, idempotency keys
// and a report.
package acceptance
