package operator

import (
	"cmp"
	"context"
	"crypto/rand"
	"slices"

	"connectrpc.com/connect"

	"github.com/agateusher/agateusher/adminapi"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	pb "github.com/agateusher/agateusher/gen/agateusher/v1"
)

// configService implements ConfigService.
type configService struct {
	store       ConfigStore
	fleet       Fleet
	checkLayout func(snapshot.ReportLayout) []snapshot.FieldViolation
}

// Apply implements ConfigService.
func (s *configService) Apply(ctx context.Context, req *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ApplyResponse], error) {
	change, err := s.change(ctx, req.Msg)
	if err != nil {
		return nil, toConnect(err)
	}
	epoch, err := s.apply(ctx, change, model.Epoch(req.Msg.GetExpectedEpoch()))
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&pb.ApplyResponse{Epoch: uint64(epoch), ChangeId: change.ID}), nil
}

// change converts the request to a change whose author is the calling operator.
func (s *configService) change(ctx context.Context, m *pb.ApplyRequest) (snapshot.Change, error) {
	deletes, err := refsFromProto(m.GetDelete())
	if err != nil {
		return snapshot.Change{}, err
	}
	id := m.GetChangeId()
	if id == "" {
		id = rand.Text()
	}
	change := snapshot.Change{ID: id, Author: operatorName(ctx), Put: ObjectsFromProto(m.GetPut()), Delete: deletes}
	return change, s.checkLayouts(change.Put)
}

// checkLayouts rejects layouts with unknown fields or invalid formats.
func (s *configService) checkLayouts(put snapshot.Objects) error {
	var violations []snapshot.FieldViolation
	for _, l := range put.ReportLayouts {
		violations = append(violations, s.checkLayout(l)...)
	}
	if len(violations) > 0 {
		return &snapshot.ValidationError{Violations: violations}
	}
	return nil
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

// apply resolves omitted server states, checks the floor if the change ejects
// servers, and applies the change in the store. Neither step can act on outdated
// data, because the store accepts the change only at the epoch that was read.
func (s *configService) apply(ctx context.Context, change snapshot.Change, expected model.Epoch) (model.Epoch, error) {
	if needsCurrentObjects(change.Put) {
		current, err := s.store.Load(ctx)
		if err != nil {
			return 0, err
		}
		if current.Epoch < expected {
			return 0, &ConflictError{Expected: expected, Current: current.Epoch}
		}
		change.Put = fillOmittedStates(change.Put, current.Objects)
		// Epochs only increase. If the current epoch is later than expected,
		// the store rejects the change and returns the conflicting changes with
		// their authors.
		if current.Epoch == expected {
			if err := s.checkEjections(ctx, change, current); err != nil {
				return 0, err
			}
		}
	}
	return s.store.Apply(ctx, change, expected)
}

func needsCurrentObjects(put snapshot.Objects) bool {
	return slices.ContainsFunc(put.Servers, func(s snapshot.Server) bool {
		return s.State == snapshot.ServerEjected || s.State == ""
	})
}

// fillOmittedStates sets the state of servers without one to their current state,
// so that applying a file without states does not undo a drain or an ejection. New
// servers become active.
func fillOmittedStates(put, current snapshot.Objects) snapshot.Objects {
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

func (s *configService) checkEjections(ctx context.Context, change snapshot.Change, current snapshot.Snapshot) error {
	next, err := current.Apply(change)
	if err != nil {
		return err
	}
	if len(newlyEjected(current.Objects, next.Objects)) == 0 {
		return nil
	}
	return checkFloor(current.Objects, next.Objects, s.ejectedByHealth(ctx))
}

// ejectedByHealth returns the servers that pool owners have ejected. Pools of
// hosts that do not answer are missing; the floor check then uses the
// configuration and the owners that did answer.
func (s *configService) ejectedByHealth(ctx context.Context) map[model.ServerID]bool {
	ejected := map[model.ServerID]bool{}
	hosts, err := s.fleet.Pools(ctx)
	if err != nil {
		return ejected
	}
	for _, h := range hosts {
		for _, p := range h.Pools {
			for _, server := range p.Servers {
				if server.State == adminapi.ServerEjected {
					ejected[server.ID] = true
				}
			}
		}
	}
	return ejected
}

// maxStateAttempts limits the attempts of setState, including the first. It
// retries after a conflict with a change of other objects.
const maxStateAttempts = 4

// setState sets a server's state as one change. After a conflict with a change of
// other objects it reads the configuration and checks the floor again; if the
// server itself was changed, it returns the conflict.
func (s *configService) setState(ctx context.Context, id model.ServerID, state snapshot.ServerState) (model.Epoch, error) {
	current, server, err := s.findServer(ctx, id)
	for attempt := 1; err == nil; attempt++ {
		if server.State == state {
			return current.Epoch, nil
		}
		epoch, applyErr := s.apply(ctx, stateChange(ctx, server, state), current.Epoch)
		if !is[*ConflictError](applyErr) || attempt == maxStateAttempts {
			return epoch, applyErr
		}
		previous := server
		if current, server, err = s.findServer(ctx, id); err == nil && server != previous {
			return 0, applyErr
		}
	}
	return 0, err
}

func (s *configService) findServer(ctx context.Context, id model.ServerID) (snapshot.Snapshot, snapshot.Server, error) {
	current, err := s.store.Load(ctx)
	if err != nil {
		return snapshot.Snapshot{}, snapshot.Server{}, err
	}
	found, err := selectObject(current.Objects, snapshot.Server{ID: id}.Ref())
	if err != nil {
		return snapshot.Snapshot{}, snapshot.Server{}, err
	}
	return current, found.Servers[0], nil
}

func stateChange(ctx context.Context, server snapshot.Server, state snapshot.ServerState) snapshot.Change {
	server.State = state
	return snapshot.Change{ID: rand.Text(), Author: operatorName(ctx), Put: snapshot.Objects{Servers: []snapshot.Server{server}}}
}

// Diff implements ConfigService.
func (s *configService) Diff(ctx context.Context, req *connect.Request[pb.DiffRequest]) (*connect.Response[pb.DiffResponse], error) {
	change, err := s.change(ctx, &pb.ApplyRequest{Put: req.Msg.GetPut(), Delete: req.Msg.GetDelete()})
	if err != nil {
		return nil, toConnect(err)
	}
	current, err := s.store.Load(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	change.Put = fillOmittedStates(change.Put, current.Objects).Normalized()
	// A change that could not be applied has no meaningful diff.
	if _, err := current.Apply(change); err != nil {
		return nil, toConnect(err)
	}
	diffs, err := diffObjects(current.Objects, change.Put, change.Delete)
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
