// Package report counts what daily reports show and builds the reports.
//
// Every daemon has a Recorder, which counts requests by service, workspace and
// day, and ejections of backend servers. A Flusher writes the counters to the
// object API. They are cumulative, and each host incarnation and day has objects
// of its own, so that a repeated write or a lost reply changes no count and no
// two writers race. A Reader merges all objects of a day, names the hosts whose
// data are missing or incomplete, and WriteCSV lays the result out.
//
// # Fields
//
// A column of a layout shows one of these fields:
//
//	day, service, workspace
//	requests, answered, notRun, unknown, retries
//	notRun.REASON        requests not run for one reason, such as notRun.queue-full
//	answeredShare, notRunShare, unknownShare   of the requests, 0 to 1
//	meanMs, maxMs, p50Ms, p90Ms, p99Ms, p999Ms  latency of answered requests;
//	                     any two or three digits are a percentile
//	ejections            ejections of the service's servers that began that day
//	ejectedServers       servers that were ejected at any time of the day
//	ejectedSeconds       their total time out of service on that day
//
// Ejections belong to a service: each row of the service shows the same value.
// Shares and latencies are empty for a row without requests or answers.
// Latencies have a relative error of at most 1%.
//
// # Formats
//
// A number format consists of '#' and '0' for optional and required digits, ','
// for groups of three digits, '.' for the decimal sign and '%' for percent, such
// as "0.00", "#,##0" or "0.0%". The layout's decimal sign replaces '.'; the
// groups are then separated by the other of '.' and ','. Without a format a
// number is written as it is.
package report
