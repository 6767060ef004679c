package loadgen

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report as text. With perSecond it includes the time
// series.
func (r *Report) WriteTable(w io.Writer, perSecond bool) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	r.writeGroups(t)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if perSecond {
		r.writeSeconds(t)
		if err := t.Flush(); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	r.writeFindings(w)
	r.writeViolations(w)
	return nil
}

func (r *Report) writeGroups(w io.Writer) {
	fmt.Fprint(w, "\trequests\t")
	for _, c := range classes {
		fmt.Fprintf(w, "%s\t", c)
	}
	fmt.Fprintln(w, "p50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	groups := append([]GroupReport{r.Total}, r.Operations...)
	for _, g := range append(groups, r.Workspaces...) {
		fmt.Fprintf(w, "%s\t%d\t", g.Name, g.Requests)
		for _, c := range classes {
			fmt.Fprintf(w, "%d\t", g.Classes[c])
		}
		l := g.Latency
		fmt.Fprintf(w, "%.1f\t%.1f\t%.1f\t%.1f\t\n", l.P50Ms, l.P99Ms, l.P999Ms, l.MaxMs)
	}
}

func (r *Report) writeSeconds(w io.Writer) {
	fmt.Fprint(w, "\nsecond\t")
	for _, c := range classes {
		fmt.Fprintf(w, "%s\t", c)
	}
	fmt.Fprintln(w, "p50 ms\tp99 ms\t")
	for _, s := range r.Seconds {
		fmt.Fprintf(w, "%d\t", s.Second)
		for _, c := range classes {
			fmt.Fprintf(w, "%d\t", s.Classes[c])
		}
		fmt.Fprintf(w, "%.1f\t%.1f\t\n", s.P50Ms, s.P99Ms)
	}
}

func (r *Report) writeFindings(w io.Writer) {
	fmt.Fprintln(w)
	for _, c := range r.Reasons {
		fmt.Fprintf(w, "%s %s because of %q: %d\n", c.Operation, c.Class, c.Reason, c.Count)
	}
	writeAdded(w, "added latency, whole run", r.AddedLatency)
	writeAdded(w, "added latency, before the fault", r.AddedLatencyBeforeFault)
	if r.Checked {
		fmt.Fprintf(w, "hedges, retries and shed attempts: %.1f%% of the requests\n", 100*r.ExtraAttempts)
	}
	if r.DirectFailures > 0 {
		fmt.Fprintf(w, "direct calls that failed: %d\n", r.DirectFailures)
	}
	fmt.Fprintf(w, "requests started late by the generator: p99 %.2f ms, max %.2f ms\n", r.LagP99Ms, r.LagMaxMs)
	if f := r.Fault; f != nil {
		writeFault(w, f)
	}
	if e := r.Ejections; e != nil {
		fmt.Fprintf(w, "false ejections: %d %v, seen in %d samples of %d daemons (%d samples failed)\n",
			len(e.FalsePositives), e.FalsePositives, e.Samples, e.Daemons, e.Failures)
	}
}

func writeAdded(w io.Writer, title string, a *AddedLatency) {
	if a == nil {
		return
	}
	fmt.Fprintf(w, "%s: p50 %.2f ms, p99 %.2f ms (single attempts outside the server: fleet %.2f / %.2f, direct %.2f / %.2f, %d direct calls)\n",
		title, a.P50Ms, a.P99Ms, a.Fleet.P50Ms, a.Fleet.P99Ms, a.Direct.P50Ms, a.Direct.P99Ms, a.Direct.Count)
	fmt.Fprintf(w, "%s, whole time: p50 %.2f ms, p99 %.2f ms (fleet %.2f / %.2f, direct %.2f / %.2f)\n",
		title, a.EndToEndP50Ms, a.EndToEndP99Ms, a.EndToEndFleet.P50Ms, a.EndToEndFleet.P99Ms, a.EndToEndDirect.P50Ms, a.EndToEndDirect.P99Ms)
}

func writeFault(w io.Writer, f *FaultReport) {
	fmt.Fprintf(w, "fault at %s from %.0f to %.0f ms: ", f.Server, f.BeganMs, f.ClearedMs)
	if !f.Detected {
		fmt.Fprintf(w, "not detected; %d new requests\n", f.Requests)
		return
	}
	fmt.Fprintf(w, "last new request after %.0f ms; %d new requests, and %d trials up to %.0f ms\n",
		f.DetectionMs, f.Requests-f.RequestsAfterDetection, f.RequestsAfterDetection, f.LastRequestMs)
}

func (r *Report) writeViolations(w io.Writer) {
	if !r.Checked {
		fmt.Fprintln(w, "outcomes were not compared with execution logs")
	}
	if r.Total.Requests == 0 {
		fmt.Fprintln(w, "no request was sent")
	}
	if r.Passed() {
		fmt.Fprintln(w, "no promise was broken")
		return
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "BROKEN PROMISE %s: %d\n", v.Kind, v.Count)
		for _, example := range v.Examples {
			fmt.Fprintf(w, "  %s\n", example)
		}
	}
}
