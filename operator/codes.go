package operator

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/agateusher/agateusher/core/snapshot"
	pb "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/objectapi"
)

// toConnect converts err to a *connect.Error with the matching code and detail
// message.
func toConnect(err error) *connect.Error {
	if ce, ok := errors.AsType[*connect.Error](err); ok {
		return ce
	}
	out := connect.NewError(codeOf(err), err)
	if m := detailOf(err); m != nil {
		if detail, detailErr := connect.NewErrorDetail(m); detailErr == nil {
			out.AddDetail(detail)
		}
	}
	return out
}

func codeOf(err error) connect.Code {
	switch {
	case is[*ConflictError](err):
		return connect.CodeAborted
	case is[*FloorError](err):
		return connect.CodeFailedPrecondition
	case is[*snapshot.ValidationError](err), is[*RequestError](err):
		return connect.CodeInvalidArgument
	case is[*NotFoundError](err):
		return connect.CodeNotFound
	case errors.Is(err, ErrUnauthenticated):
		return connect.CodeUnauthenticated
	case errors.Is(err, ErrNoReports):
		return connect.CodeUnimplemented
	case errors.Is(err, objectapi.ErrUnavailable), is[*objectapi.RateLimitedError](err):
		return connect.CodeUnavailable
	case errors.Is(err, objectapi.ErrTooLarge):
		return connect.CodeResourceExhausted
	case errors.Is(err, context.DeadlineExceeded):
		return connect.CodeDeadlineExceeded
	case errors.Is(err, context.Canceled):
		return connect.CodeCanceled
	}
	return connect.CodeInternal
}

func is[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}

func detailOf(err error) proto.Message {
	if e, ok := errors.AsType[*ConflictError](err); ok {
		return conflictToProto(e)
	}
	if e, ok := errors.AsType[*FloorError](err); ok {
		return &pb.FloorDetail{
			Service: string(e.Pool.Service), DataCentre: string(e.Pool.DataCentre), Shard: int32(e.Pool.Shard),
			RemainingSlots: int32(e.RemainingSlots), RequiredSlots: int32(e.RequiredSlots),
			RemainingServers: int32(e.RemainingServers), RequiredServers: int32(e.RequiredServers),
		}
	}
	if e, ok := errors.AsType[*snapshot.ValidationError](err); ok {
		return &pb.InvalidDetail{Objects: mapSlice(e.Violations, func(v snapshot.FieldViolation) *pb.InvalidObject {
			return &pb.InvalidObject{Ref: RefToProto(v.Object), Field: v.Field, Value: v.Value, Expected: v.Expected}
		})}
	}
	return nil
}

func conflictToProto(e *ConflictError) *pb.ConflictDetail {
	return &pb.ConflictDetail{
		ExpectedEpoch: uint64(e.Expected),
		CurrentEpoch:  uint64(e.Current),
		Changes: mapSlice(e.Changes, func(c ChangeSummary) *pb.ChangeSummary {
			return &pb.ChangeSummary{Epoch: uint64(c.Epoch), ChangeId: c.ChangeID, Author: c.Author, Objects: RefsToProto(c.Objects), ObjectCount: int64(c.ObjectCount)}
		}),
	}
}
