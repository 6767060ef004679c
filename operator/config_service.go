package operator

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"slices"

	"connectrpc.com/connect"

	"github.com/agateusher/agateusher/adminapi"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	pb "github.com/agateusher/agateusher/gen/agateusher/v1"
)

// configService implements ConfigService.
type configService struct {
	store ConfigStore
	fleet Fleet
}

// Apply implements ConfigService.
func (s *configService) Apply(ctx context.Context, req *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ApplyResponse], error) {
	change, err := changeFromProto(ctx, req.Msg)
	if err != nil {
		return nil, toConnect(err)
	}
	epoch, err := s.apply(ctx, change, model.Epoch(req.Msg.GetExpectedEpoch()))
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&pb.ApplyResponse{Epoch: uint64(epoch), ChangeId: change.ID}), nil
}

func changeFromProto(ctx context.Context, m *pb.ApplyRequest) (snapshot.Change, error) {
	put, deletes, err := objectsOf(m)
	if err != nil {
		return snapshot.Change{}, err
	}
	id := m.GetChangeId()
	if id == "" {
		id = rand.Text()
	}
	return snapshot.Change{ID: id, Author: operatorName(ctx), Put: put, Delete: deletes}, nil
}

// objectsOf returns what a request creates or replaces and what it deletes.
func objectsOf(m interface {
	GetPut() *pb.Objects
	GetDelete() []*pb.Ref
}) (snapshot.Objects, []snapshot.Ref, error) {
	deletes, err := refsFromProto(m.GetDelete())
	if err != nil {
		return snapshot.Objects{}, nil, err
	}
	put := ObjectsFromProto(m.GetPut())
	return put, deletes, checkOnce(put, deletes)
}

func refsFromProto(in []*pb.Ref) ([]snapshot.Ref, error) {
	var refs []snapshot.Ref
	for _, r := range in {
		ref, err := RefFromProto(r)
		if err != nil {
			return nil, err
		}
		refs = append(refs, ref)
	}
	return refs, nil
}

// apply resolves omitted server states, checks the floor for changes that eject
// servers and hands the change to the store. Both hold because the store accepts
// the change only at the epoch that was read.
func (s *configService) apply(ctx context.Context, change snapshot.Change, expected model.Epoch) (model.Epoch, error) {
	if needsCurrent(change.Put) {
		current, err := s.store.Load(ctx)
		if err != nil {
			return 0, err
		}
		if current.Epoch < expected {
			return 0, &ConflictError{Expected: expected, Current: current.Epoch}
		}
		change.Put = fillStates(change.Put, current.Objects)
		// Epochs only increase. With a later one the store refuses the change
		// and says who made the conflicting one.
		if current.Epoch == expected {
			if err := s.checkEjections(ctx, change, current.Objects); err != nil {
				return 0, err
			}
		}
	}
	return s.store.Apply(ctx, change, expected)
}

func needsCurrent(put snapshot.Objects) bool {
	return slices.ContainsFunc(put.Servers, func(s snapshot.Server) bool {
		return s.State == snapshot.ServerEjected || s.State == ""
	})
}

// fillStates gives servers without a state their current one, so that applying
// a file does not undo a drain or an ejection that the file does not mention.
func fillStates(put, current snapshot.Objects) snapshot.Objects {
	states := map[model.ServerID]snapshot.ServerState{}
	for _, s := range current.Servers {
		states[s.ID] = s.State
	}
	put.Servers = slices.Clone(put.Servers)
	for i := range put.Servers {
		s := &put.Servers[i]
		if s.State == "" {
			s.State = cmp.Or(states[s.ID], snapshot.ServerActive)
		}
	}
	return put
}

func (s *configService) checkEjections(ctx context.Context, change snapshot.Change, current snapshot.Objects) error {
	after := mergeChange(current, change.Put, change.Delete)
	if len(ejectedPools(current, after)) == 0 {
		return nil
	}
	return checkFloor(current, after, s.ejectedByFleet(ctx))
}

// ejectedByFleet returns the servers that pool owners have ejected. Hosts that
// do not answer contribute nothing, so the check then rests on the
// configuration and the owners that did answer.
func (s *configService) ejectedByFleet(ctx context.Context) map[model.ServerID]bool {
	down := map[model.ServerID]bool{}
	hosts, err := s.fleet.Pools(ctx)
	if err != nil {
		return down
	}
	for _, h := range hosts {
		for _, p := range h.Pools {
			for _, server := range p.Servers {
				if server.State == adminapi.ServerEjected {
					down[server.ID] = true
				}
			}
		}
	}
	return down
}

// maxStateAttempts bounds how often setState starts again after a conflict with
// a change of other objects.
const maxStateAttempts = 4

// setState sets a server's state as one change. A conflict with a change of
// another object is resolved by reading the configuration and checking the
// floor again; a conflict with a change of the same server is returned.
func (s *configService) setState(ctx context.Context, id model.ServerID, state snapshot.ServerState) (model.Epoch, error) {
	ref := snapshot.Ref{Kind: snapshot.KindServer, Name: string(id)}
	for attempt := 1; ; attempt++ {
		epoch, err := s.trySetState(ctx, ref, state)
		conflict, ok := errors.AsType[*ConflictError](err)
		if !ok || conflict.touches(ref) || attempt == maxStateAttempts {
			return epoch, err
		}
	}
}

func (s *configService) trySetState(ctx context.Context, ref snapshot.Ref, state snapshot.ServerState) (model.Epoch, error) {
	current, err := s.store.Load(ctx)
	if err != nil {
		return 0, err
	}
	found, err := selectObject(current.Objects, ref)
	if err != nil {
		return 0, err
	}
	server := found.Servers[0]
	if server.State == state {
		return current.Epoch, nil
	}
	server.State = state
	change := snapshot.Change{ID: rand.Text(), Author: operatorName(ctx), Put: snapshot.Objects{Servers: []snapshot.Server{server}}}
	return s.apply(ctx, change, current.Epoch)
}

// Diff implements ConfigService.
func (s *configService) Diff(ctx context.Context, req *connect.Request[pb.DiffRequest]) (*connect.Response[pb.DiffResponse], error) {
	put, deletes, err := objectsOf(req.Msg)
	if err != nil {
		return nil, toConnect(err)
	}
	current, err := s.store.Load(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	diffs, err := diffObjects(current.Objects, fillStates(put, current.Objects), deletes)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&pb.DiffResponse{Epoch: uint64(current.Epoch), Objects: diffs}), nil
}

// Get implements ConfigService.
func (s *configService) Get(ctx context.Context, req *connect.Request[pb.GetRequest]) (*connect.Response[pb.GetResponse], error) {
	ref, err := RefFromProto(req.Msg.GetRef())
	if err != nil {
		return nil, toConnect(err)
	}
	current, err := s.store.Load(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	found, err := selectObject(current.Objects, ref)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&pb.GetResponse{Epoch: uint64(current.Epoch), Objects: ObjectsToProto(found)}), nil
}

// List implements ConfigService.
func (s *configService) List(ctx context.Context, req *connect.Request[pb.ListRequest]) (*connect.Response[pb.ListResponse], error) {
	kind, ok := KindFromProto(req.Msg.GetKind())
	if !ok {
		return nil, toConnect(&RequestError{Field: "kind", Expected: "a known kind"})
	}
	current, err := s.store.Load(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	found := selectKind(current.Objects, kind)
	return connect.NewResponse(&pb.ListResponse{Epoch: uint64(current.Epoch), Objects: ObjectsToProto(found)}), nil
}

// GetEpoch implements ConfigService.
func (s *configService) GetEpoch(ctx context.Context, _ *connect.Request[pb.GetEpochRequest]) (*connect.Response[pb.GetEpochResponse], error) {
	current, err := s.store.Load(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&pb.GetEpochResponse{Epoch: uint64(current.Epoch), ChangeId: current.ChangeID}), nil
}
