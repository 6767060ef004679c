package operator

import (
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	pb "github.com/agateusher/agateusher/gen/agateusher/v1"
)

var kindsOf = map[pb.Kind]snapshot.Kind{
	pb.Kind_KIND_SERVICE:       snapshot.KindService,
	pb.Kind_KIND_SERVER:        snapshot.KindServer,
	pb.Kind_KIND_ROUTE:         snapshot.KindRoute,
	pb.Kind_KIND_WORKSPACE:     snapshot.KindWorkspace,
	pb.Kind_KIND_REPORT_LAYOUT: snapshot.KindReportLayout,
}

// KindFromProto converts a kind; it returns false for an unspecified or unknown
// one.
func KindFromProto(k pb.Kind) (snapshot.Kind, bool) {
	kind, ok := kindsOf[k]
	return kind, ok
}

// KindToProto converts a kind; an unknown one becomes KIND_UNSPECIFIED.
func KindToProto(k snapshot.Kind) pb.Kind {
	for p, kind := range kindsOf {
		if kind == k {
			return p
		}
	}
	return pb.Kind_KIND_UNSPECIFIED
}

// RefFromProto converts a reference. It returns a *RequestError if the kind is
// unknown or the name is empty.
func RefFromProto(r *pb.Ref) (snapshot.Ref, error) {
	kind, ok := KindFromProto(r.GetKind())
	if !ok {
		return snapshot.Ref{}, &RequestError{Field: "ref.kind", Expected: "a known kind"}
	}
	if r.GetName() == "" {
		return snapshot.Ref{}, &RequestError{Field: "ref.name", Expected: "a name"}
	}
	return snapshot.Ref{Kind: kind, Name: r.GetName()}, nil
}

// RefToProto converts a reference.
func RefToProto(r snapshot.Ref) *pb.Ref { return &pb.Ref{Kind: KindToProto(r.Kind), Name: r.Name} }

// RefsToProto converts references.
func RefsToProto(refs []snapshot.Ref) []*pb.Ref { return mapSlice(refs, RefToProto) }

// ObjectsFromProto converts objects.
func ObjectsFromProto(o *pb.Objects) snapshot.Objects {
	return snapshot.Objects{
		Services:      mapSlice(o.GetServices(), serviceFromProto),
		Servers:       mapSlice(o.GetServers(), serverFromProto),
		Routes:        mapSlice(o.GetRoutes(), routeFromProto),
		Workspaces:    mapSlice(o.GetWorkspaces(), workspaceFromProto),
		ReportLayouts: mapSlice(o.GetReportLayouts(), layoutFromProto),
	}
}

// ObjectsToProto converts objects.
func ObjectsToProto(o snapshot.Objects) *pb.Objects {
	return &pb.Objects{
		Services:      mapSlice(o.Services, serviceToProto),
		Servers:       mapSlice(o.Servers, serverToProto),
		Routes:        mapSlice(o.Routes, routeToProto),
		Workspaces:    mapSlice(o.Workspaces, workspaceToProto),
		ReportLayouts: mapSlice(o.ReportLayouts, layoutToProto),
	}
}

func mapSlice[A, B any](in []A, convert func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = convert(v)
	}
	return out
}

func serviceFromProto(s *pb.Service) snapshot.Service {
	return snapshot.Service{
		Name:             model.ServiceName(s.GetName()),
		Floor:            snapshot.Floor{Share: s.GetFloor().GetShare(), MinServers: int(s.GetFloor().GetMinServers())},
		Policy:           snapshot.Policy(s.GetPolicy()),
		DeadlineMs:       int(s.GetDeadlineMs()),
		RetryBudgetShare: s.GetRetryBudgetShare(),
		QueueLimit:       int(s.GetQueueLimit()),
		CancelPath:       s.GetCancelPath(),
		ShedHeader:       s.GetShedHeader(),
		Shards:           int(s.GetShards()),
	}
}

func serviceToProto(s snapshot.Service) *pb.Service {
	return &pb.Service{
		Name:             string(s.Name),
		Floor:            &pb.Floor{Share: s.Floor.Share, MinServers: int64(s.Floor.MinServers)},
		Policy:           string(s.Policy),
		DeadlineMs:       int64(s.DeadlineMs),
		RetryBudgetShare: s.RetryBudgetShare,
		QueueLimit:       int64(s.QueueLimit),
		CancelPath:       s.CancelPath,
		ShedHeader:       s.ShedHeader,
		Shards:           int64(s.Shards),
	}
}

func serverFromProto(s *pb.Server) snapshot.Server {
	return snapshot.Server{
		ID:          model.ServerID(s.GetId()),
		Service:     model.ServiceName(s.GetService()),
		DataCentre:  model.DataCentre(s.GetDataCentre()),
		Address:     s.GetAddress(),
		Slots:       int(s.GetSlots()),
		Connections: int(s.GetConnections()),
		State:       snapshot.ServerState(s.GetState()),
	}
}

func serverToProto(s snapshot.Server) *pb.Server {
	return &pb.Server{
		Id:          string(s.ID),
		Service:     string(s.Service),
		DataCentre:  string(s.DataCentre),
		Address:     s.Address,
		Slots:       int64(s.Slots),
		Connections: int64(s.Connections),
		State:       string(s.State),
	}
}

func routeFromProto(r *pb.Route) snapshot.Route {
	return snapshot.Route{
		Name:          model.RouteName(r.GetName()),
		Host:          r.GetHost(),
		PathPrefix:    r.GetPathPrefix(),
		Methods:       r.GetMethods(),
		Service:       model.ServiceName(r.GetService()),
		Repeatable:    r.GetRepeatable(),
		IssueKeysFor:  model.RouteName(r.GetIssueKeysFor()),
		RatePerSecond: r.GetRatePerSecond(),
		Split:         splitFromProto(r.GetSplit()),
	}
}

func splitFromProto(parts []*pb.RoutePart) (split []snapshot.RoutePart) {
	for _, p := range parts {
		split = append(split, snapshot.RoutePart{Service: model.ServiceName(p.GetService()), Weight: p.GetWeight()})
	}
	return split
}

func splitToProto(split []snapshot.RoutePart) (parts []*pb.RoutePart) {
	for _, p := range split {
		parts = append(parts, &pb.RoutePart{Service: string(p.Service), Weight: p.Weight})
	}
	return parts
}

func routeToProto(r snapshot.Route) *pb.Route {
	return &pb.Route{
		Name:          string(r.Name),
		Host:          r.Host,
		PathPrefix:    r.PathPrefix,
		Methods:       r.Methods,
		Service:       string(r.Service),
		Repeatable:    r.Repeatable,
		IssueKeysFor:  string(r.IssueKeysFor),
		RatePerSecond: r.RatePerSecond,
		Split:         splitToProto(r.Split),
	}
}

func workspaceFromProto(w *pb.Workspace) snapshot.Workspace {
	return snapshot.Workspace{ID: model.WorkspaceID(w.GetId()), Weight: w.GetWeight(), RatePerSecond: w.GetRatePerSecond()}
}

func workspaceToProto(w snapshot.Workspace) *pb.Workspace {
	return &pb.Workspace{Id: string(w.ID), Weight: w.Weight, RatePerSecond: w.RatePerSecond}
}

func layoutFromProto(l *pb.ReportLayout) snapshot.ReportLayout {
	return snapshot.ReportLayout{
		Name: l.GetName(),
		Columns: mapSlice(l.GetColumns(), func(c *pb.ReportColumn) snapshot.ReportColumn {
			return snapshot.ReportColumn{Heading: c.GetHeading(), Field: c.GetField(), Format: c.GetFormat()}
		}),
		Separator: l.GetSeparator(),
		Decimal:   l.GetDecimal(),
	}
}

func layoutToProto(l snapshot.ReportLayout) *pb.ReportLayout {
	return &pb.ReportLayout{
		Name: l.Name,
		Columns: mapSlice(l.Columns, func(c snapshot.ReportColumn) *pb.ReportColumn {
			return &pb.ReportColumn{Heading: c.Heading, Field: c.Field, Format: c.Format}
		}),
		Separator: l.Separator,
		Decimal:   l.Decimal,
	}
}
