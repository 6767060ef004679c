// Package loadgen is an open-loop load generator that verifies the answers it
// receives.
//
// Requests are sent at times that do not depend on earlier answers, and
// latencies count from the intended send time, so a stall of the fleet or of
// the generator itself shows in the figures (no coordinated omission). Some
// calls go directly to the backend servers in the same run; the difference is
// the latency that the fleet adds.
//
// Every answer's checksum and identifier are verified. After the run, the
// outcomes reported to callers are compared with the execution logs of the
// stand-in servers (package standin/backend). Violations include a
// non-repeatable request that ran twice, a request that ran although its caller
// was told that it did not, and an answer that is truncated or belongs to
// another request.
package loadgen
