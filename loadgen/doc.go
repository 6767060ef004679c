// Package loadgen is an open-loop load generator that checks what it measures.
//
// Requests are sent at times that do not depend on earlier answers, and
// latencies count from the intended time, so a stall of the fleet or of the
// generator itself shows in the figures (no coordinated omission). Some calls
// go straight to the backend servers in the same run; the difference is the
// latency that the fleet adds.
//
// Every answer's checksum and identifier are verified, and after the run the
// outcomes told to callers are compared with the execution logs of the stand-in
// servers (package standin/backend). A request that must not repeat but ran
// twice, a request that ran although its caller was told that it did not, and
// an answer that is mixed up or cut short are violations.
package loadgen
