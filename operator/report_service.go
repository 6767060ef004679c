package operator

import (
	"bufio"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/agateusher/agateusher/core/snapshot"
	pb "github.com/agateusher/agateusher/gen/agateusher/v1"
)

// reportChunkBytes is the maximum size of the CSV data in one response message.
const reportChunkBytes = 256 << 10

// reportService implements ReportService.
type reportService struct {
	store   ConfigStore
	reports Reports
}

// GetDailyReport implements ReportService.
func (s *reportService) GetDailyReport(ctx context.Context, req *connect.Request[pb.GetDailyReportRequest], stream *connect.ServerStream[pb.GetDailyReportResponse]) error {
	if err := s.send(ctx, req.Msg, stream); err != nil {
		return toConnect(err)
	}
	return nil
}

func (s *reportService) send(ctx context.Context, m *pb.GetDailyReportRequest, stream *connect.ServerStream[pb.GetDailyReportResponse]) error {
	if s.reports == nil {
		return ErrNoReports
	}
	if _, err := time.Parse(time.DateOnly, m.GetDay()); err != nil {
		return &RequestError{Field: "day", Expected: "a day such as 2006-01-02"}
	}
	layout, err := s.layout(ctx, m.GetLayout())
	if err != nil {
		return err
	}
	missing, write, err := s.reports.Daily(ctx, m.GetDay(), layout)
	if err != nil {
		return err
	}
	if err := stream.Send(&pb.GetDailyReportResponse{Missing: mapSlice(missing, missingToProto)}); err != nil {
		return err
	}
	w := bufio.NewWriterSize(chunkWriter{stream}, reportChunkBytes)
	if err := write(w); err != nil {
		return err
	}
	return w.Flush()
}

func (s *reportService) layout(ctx context.Context, name string) (snapshot.ReportLayout, error) {
	current, err := s.store.Load(ctx)
	if err != nil {
		return snapshot.ReportLayout{}, err
	}
	found, err := selectObject(current.Objects, snapshot.Ref{Kind: snapshot.KindReportLayout, Name: name})
	if err != nil {
		return snapshot.ReportLayout{}, err
	}
	return found.ReportLayouts[0], nil
}

// chunkWriter sends written data as response messages with at most
// reportChunkBytes of CSV each.
type chunkWriter struct {
	stream *connect.ServerStream[pb.GetDailyReportResponse]
}

func (w chunkWriter) Write(p []byte) (int, error) {
	for chunk := range slices.Chunk(p, reportChunkBytes) {
		if err := w.stream.Send(&pb.GetDailyReportResponse{Csv: chunk}); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

func missingToProto(m MissingHost) *pb.MissingHost {
	return &pb.MissingHost{
		Host: string(m.Host), Incarnation: string(m.Incarnation),
		CoveredUntil: timestamp(m.CoveredUntil), Problem: m.Problem,
	}
}
