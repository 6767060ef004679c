package operator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/agateusher/agateusher/adminapi"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	pb "github.com/agateusher/agateusher/gen/agateusher/v1"
)

// fleetService implements FleetService.
type fleetService struct {
	config *configService
	fleet  Fleet
}

// Rollout implements FleetService.
func (s *fleetService) Rollout(ctx context.Context, req *connect.Request[pb.RolloutRequest]) (*connect.Response[pb.RolloutResponse], error) {
	epoch := req.Msg.GetEpoch()
	if epoch == 0 {
		current, err := s.config.store.Load(ctx)
		if err != nil {
			return nil, toConnect(err)
		}
		epoch = uint64(current.Epoch)
	}
	hosts, err := s.hosts(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	res := &pb.RolloutResponse{Epoch: epoch}
	for _, h := range hosts {
		switch {
		case h.GetProblem() != "":
			res.Silent = append(res.Silent, h)
		case h.GetEpoch() < epoch:
			res.Behind = append(res.Behind, h)
		default:
			res.InForce = append(res.InForce, h)
		}
	}
	return connect.NewResponse(res), nil
}

// ListHosts implements FleetService.
func (s *fleetService) ListHosts(ctx context.Context, _ *connect.Request[pb.ListHostsRequest]) (*connect.Response[pb.ListHostsResponse], error) {
	hosts, err := s.hosts(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&pb.ListHostsResponse{Hosts: hosts}), nil
}

func (s *fleetService) hosts(ctx context.Context) ([]*pb.Host, error) {
	statuses, err := s.fleet.Status(ctx)
	if err != nil {
		return nil, err
	}
	hosts := mapSlice(statuses, hostToProto)
	slices.SortFunc(hosts, compareHosts)
	return hosts, nil
}

func compareHosts(a, b *pb.Host) int {
	return cmp.Or(cmp.Compare(a.GetDataCentre(), b.GetDataCentre()), cmp.Compare(a.GetId(), b.GetId()))
}

func hostToProto(h HostStatus) *pb.Host {
	out := hostEntryToProto(h.Host, h.Err)
	if h.Err != nil {
		return out
	}
	out.Incarnation = string(h.Status.Incarnation)
	out.Epoch = uint64(h.Status.Epoch)
	out.Confirmed = h.Status.Confirmed
	out.Leaving = h.Status.Leaving
	out.StartedAt = timestamp(h.Status.StartedAt)
	return out
}

// hostEntryToProto converts a host list entry; err is the reason why the host's
// own state is missing, if it is.
func hostEntryToProto(h Host, err error) *pb.Host {
	out := &pb.Host{Id: string(h.ID), DataCentre: string(h.DataCentre), ListedState: string(h.State)}
	if err != nil {
		out.Problem = err.Error()
	}
	return out
}

// timestamp converts a time; the zero time becomes nil.
func timestamp(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

// ListPools implements FleetService.
func (s *fleetService) ListPools(ctx context.Context, req *connect.Request[pb.ListPoolsRequest]) (*connect.Response[pb.ListPoolsResponse], error) {
	hosts, err := s.fleet.Pools(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	res := &pb.ListPoolsResponse{}
	for _, h := range hosts {
		if h.Err != nil {
			res.Silent = append(res.Silent, hostEntryToProto(h.Host, h.Err))
		}
		for _, p := range h.Pools {
			if want := req.Msg.GetService(); want == "" || want == string(p.Service) {
				res.Pools = append(res.Pools, poolToProto(h.Host.ID, p))
			}
		}
	}
	slices.SortFunc(res.Silent, compareHosts)
	slices.SortFunc(res.Pools, comparePools)
	return connect.NewResponse(res), nil
}

func comparePools(a, b *pb.Pool) int {
	return cmp.Or(
		cmp.Compare(a.GetService(), b.GetService()),
		cmp.Compare(a.GetDataCentre(), b.GetDataCentre()),
		cmp.Compare(a.GetShard(), b.GetShard()),
		cmp.Compare(a.GetOwner(), b.GetOwner()),
	)
}

func poolToProto(owner model.HostID, p adminapi.Pool) *pb.Pool {
	return &pb.Pool{
		Service:      string(p.Service),
		DataCentre:   string(p.DataCentre),
		Shard:        int32(p.Shard),
		Owner:        string(owner),
		QueueDelayUs: p.QueueDelayUs,
		Queued:       int32(p.Queued),
		FreeSlots:    int32(p.FreeSlots),
		Servers: mapSlice(p.Servers, func(s adminapi.Server) *pb.PoolServer {
			return &pb.PoolServer{
				Id: string(s.ID), State: string(s.State), Evidence: s.Evidence, Since: timestamp(s.Since),
				Slots: int32(s.Slots), BusySlots: int32(s.BusySlots),
			}
		}),
	}
}

// Drain implements FleetService.
func (s *fleetService) Drain(ctx context.Context, req *connect.Request[pb.DrainRequest]) (*connect.Response[pb.DrainResponse], error) {
	epoch, err := s.config.setState(ctx, model.ServerID(req.Msg.GetServer()), snapshot.ServerDraining)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&pb.DrainResponse{Epoch: uint64(epoch)}), nil
}

// Eject implements FleetService.
func (s *fleetService) Eject(ctx context.Context, req *connect.Request[pb.EjectRequest]) (*connect.Response[pb.EjectResponse], error) {
	epoch, err := s.config.setState(ctx, model.ServerID(req.Msg.GetServer()), snapshot.ServerEjected)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&pb.EjectResponse{Epoch: uint64(epoch)}), nil
}

// Readmit implements FleetService.
func (s *fleetService) Readmit(ctx context.Context, req *connect.Request[pb.ReadmitRequest]) (*connect.Response[pb.ReadmitResponse], error) {
	epoch, err := s.config.setState(ctx, model.ServerID(req.Msg.GetServer()), snapshot.ServerActive)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&pb.ReadmitResponse{Epoch: uint64(epoch)}), nil
}
