// Package capacity measures what agateusher costs per route, workspace,
// server, host, request, key and change, and generates the tables of
// docs/CAPACITY.md from those slopes.
//
// UpdateMeasurements runs the measurements and stores them as Measurements in
// docs/capacity/measured.json, which is committed. Generate fills the page
// between its markers from that file alone, so that the page cannot differ from
// the measurements.
package capacity
