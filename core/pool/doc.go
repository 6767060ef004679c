// Package pool is the owner's state machine for one pool: the backend servers
// of one service in one data centre. It admits and queues requests, assigns
// them to slots, retries, and applies the detector's verdicts within the floor.
//
// It is pure: each method takes the current time and returns the decisions that
// the driver must execute, in order. The driver reports every dispatched
// attempt exactly once through Finish, including attempts that were abandoned.
// Times come from one monotonic clock and never decrease between calls. A Pool
// is not safe for concurrent use.
//
// Slots. An attempt occupies one slot of its server from Dispatch on. An attempt
// that the server ended (any result but TimedOut) frees its slot at once. After
// an attempt that this side ended (abandoned or timed out) the server may still
// be running it, so the slot stays occupied until CancelConfirmed, until a
// result that shows that the server ended it, or until Config.CancelHold has
// passed.
//
// Requests that may not be repeated are dispatched again only after an attempt
// that certainly did not run: no byte was sent, or the server shed it.
package pool
