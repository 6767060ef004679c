package cli

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	pb "github.com/agateusher/agateusher/gen/agateusher/v1"
)

type reportCommand struct {
	noExecute
	Day    string `long:"day" value-name:"YYYY-MM-DD" required:"yes" description:"Day of the report"`
	Layout string `long:"layout" value-name:"NAME" required:"yes" description:"Name of a ReportLayout object"`
}

// reportJSON is the JSON output of the sub-command report.
type reportJSON struct {
	Day     string        `json:"day"`
	Layout  string        `json:"layout"`
	Missing []missingJSON `json:"missing"`
	CSV     string        `json:"csv"`
}

type missingJSON struct {
	Host         string `json:"host"`
	Incarnation  string `json:"incarnation,omitempty"`
	CoveredUntil string `json:"coveredUntil,omitempty"`
	Problem      string `json:"problem"`
}

func (c *reportCommand) run(ctx context.Context, s *session) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	stream, err := s.reports.GetDailyReport(ctx, connect.NewRequest(&pb.GetDailyReportRequest{Day: c.Day, Layout: c.Layout}))
	if err != nil {
		return err
	}
	defer stream.Close()
	out := reportJSON{Day: c.Day, Layout: c.Layout, Missing: []missingJSON{}}
	for stream.Receive() {
		for _, m := range stream.Msg().GetMissing() {
			out.Missing = append(out.Missing, missingToJSON(m))
		}
		out.CSV += string(stream.Msg().GetCsv())
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return s.printReport(out)
}

func missingToJSON(m *pb.MissingHost) missingJSON {
	out := missingJSON{Host: m.GetHost(), Incarnation: m.GetIncarnation(), Problem: m.GetProblem()}
	if m.GetCoveredUntil() != nil {
		out.CoveredUntil = formatTime(m.GetCoveredUntil())
	}
	return out
}

// printReport writes a report that was received completely. Nothing is written
// before that, so that a broken connection cannot leave a partial report that looks
// complete.
func (s *session) printReport(r reportJSON) error {
	if s.json {
		return s.printValue(r, nil)
	}
	for _, m := range r.Missing {
		fmt.Fprintf(s.Err, "usherctl: warning: host %s: %s\n", m.Host, oneLine(m.Problem))
	}
	_, err := fmt.Fprint(s.Out, r.CSV)
	return err
}
