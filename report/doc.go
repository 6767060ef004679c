// Package report collects the counters for daily reports and builds the reports.
//
// Every daemon has a Recorder, which counts requests by service, workspace and
// day, and ejections of backend servers. A Flusher writes the counters to the
// object API. The counters are cumulative, so that writes are idempotent: a repeated
// write or a lost reply changes no count. Each host incarnation has its own objects for
// each day, so that no two processes write the same object. A Reader merges all objects
// of a day and lists the hosts whose data are missing or incomplete. WriteCSV writes
// the result in a configured layout.
//
// # Fields
//
// A column of a layout contains one of these fields:
//
//	day, service, workspace
//	requests, answered, notRun, unknown, retries
//	notRun.REASON        requests not run for one reason, such as notRun.queue-full
//	answeredShare, notRunShare, unknownShare   of the requests, 0 to 1
//	meanMs, maxMs, p50Ms, p90Ms, p99Ms, p999Ms  latency of answered requests;
//	                     any two or three digits are a percentile
//	ejections            ejections of the service's servers that began on that day
//	ejectedServers       servers that were ejected at any time of that day
//	ejectedSeconds       their total time out of service on that day
//
// Ejections are counted per service: all rows of a service contain the same values.
// Shares are empty for a row without requests, latencies for a row without answered
// requests.
// Latencies have a relative error of at most 1%.
//
// # Formats
//
// A number format consists of '#' and '0' for optional and required digits, ','
// for groups of three digits, '.' for the decimal separator and '%' for percent, such
// as "0.00", "#,##0" or "0.0%". The layout's decimal separator replaces '.'; the other
// of '.' and ',' then separates the groups. Without a format, a number is written with
// up to six decimals and without trailing zeros.
package report
