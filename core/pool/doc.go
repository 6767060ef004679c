// Package pool is the owner's state machine for one pool: the backend servers
// of one service in one data centre. It admits and queues requests, assigns
// them to slots, retries, and applies the detector's verdicts within the floor.
//
// The package does no I/O and reads no clock: each method takes the current time
// and returns the decisions that the driver must execute, in order. The driver
// reports every dispatched attempt exactly once through Finish, including
// attempts that were abandoned. Times come from one monotonic clock and never
// decrease between calls. A Pool is not safe for concurrent use.
//
// Slots: an attempt occupies one slot of its server from Dispatch on. An attempt
// that the server ended (any result but TimedOut) frees its slot at once. If the
// pool abandoned the attempt or the driver timed it out, the server may still be
// running it. The slot then stays occupied until CancelConfirmed, until a result
// that shows that the server ended the attempt, or until Config.CancelHold has
// passed.
//
// Requests that are not repeatable are dispatched again only if no attempt can
// have run: no byte of the request was sent, or the server shed it.
package pool
