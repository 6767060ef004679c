package demo

import (
	"fmt"
	"io"

	"github.com/agateusher/agateusher/loadgen"
)

// Passed reports whether no guarantee was violated, an expected detection happened
// and all programs stopped cleanly.
func (r Result) Passed() bool {
	if r.Report == nil || !r.Report.Passed() || !r.Report.Checked || r.StopError != nil {
		return false
	}
	return !r.DetectionExpected || (r.Report.Fault != nil && r.Report.Fault.Detected)
}

// WriteSummary writes the result as text.
func (r Result) WriteSummary(w io.Writer) {
	fmt.Fprintf(w, "%d daemons in %d data centres, %d backend servers\n", r.Hosts, len(dataCentres), r.Servers)
	if r.Report != nil {
		writeReport(w, r.Report)
	}
	if r.StopError != nil {
		fmt.Fprintf(w, "NOT STOPPED CLEANLY: %v\n", r.StopError)
	}
	if r.Directory != "" {
		fmt.Fprintf(w, "settings, logs and report: %s\n", r.Directory)
	}
}

func writeReport(w io.Writer, report *loadgen.Report) {
	c := report.Total.Classes
	fmt.Fprintf(w, "requests           %d\n", report.Total.Requests)
	fmt.Fprintf(w, "  answered         %d (and %d with the server's own error)\n", c[loadgen.ClassAnswered], c[loadgen.ClassServerError])
	fmt.Fprintf(w, "  not run          %d\n", c[loadgen.ClassNotRun]+c[loadgen.ClassNoKey])
	fmt.Fprintf(w, "  unknown          %d (and %d without any answer)\n", c[loadgen.ClassUnknown], c[loadgen.ClassLost])
	for _, reason := range report.Reasons {
		fmt.Fprintf(w, "    %s %s because of %q: %d\n", reason.Operation, reason.Class, reason.Reason, reason.Count)
	}
	fmt.Fprintf(w, "extra attempts     %.1f%% of the requests (hedges, retries, shed)\n", 100*report.ExtraAttempts)
	writeAdded(w, "before the fault", report.AddedLatencyBeforeFault)
	writeAdded(w, "whole run", report.AddedLatency)
	fmt.Fprintf(w, "generator          p99 %.2f ms late; latencies are reliable only if this is small against them\n", report.LagP99Ms)
	if f := report.Fault; f != nil && f.Detected {
		fmt.Fprintf(w, "gray failure       %s; last new request after %.0f ms, %d requests hit it\n", f.Server, f.DetectionMs, f.Requests-f.RequestsAfterDetection)
	} else {
		fmt.Fprintln(w, "gray failure       NOT DETECTED")
	}
	if e := report.Ejections; e != nil {
		fmt.Fprintf(w, "false ejections    %d %v\n", len(e.FalsePositives), e.FalsePositives)
	}
	if report.Passed() {
		fmt.Fprintln(w, "no promise was broken")
	}
	for _, v := range report.Violations {
		fmt.Fprintf(w, "BROKEN PROMISE     %s: %d, for example %v\n", v.Kind, v.Count, v.Examples[0])
	}
}

func writeAdded(w io.Writer, when string, a *loadgen.AddedLatency) {
	if a != nil {
		fmt.Fprintf(w, "added latency      p50 %.2f ms, p99 %.2f ms for single attempts, p50 %.2f ms, p99 %.2f ms with hedges and retries, against %d direct calls (%s)\n",
			a.P50Ms, a.P99Ms, a.EndToEndP50Ms, a.EndToEndP99Ms, a.Direct.Count, when)
	}
}
