// Package capacity measures what agateusher costs per route, workspace,
// server, host, request, key and change, and generates the tables of
// docs/CAPACITY.md from those slopes.
//
// Measure runs the measurements and returns a Measured, which is committed as
// docs/capacity/measured.json. Generate fills the page between its markers
// from that file alone, so that the page cannot differ from what was measured.
package capacity
