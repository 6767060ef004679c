package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/agateusher/agateusher/core/snapshot"
	pb "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/operator"
)

// pollInterval is the time between two rollout queries during a wait. A shorter
// interval would not be noticed: the rollout target for 40 hosts is 2 s.
const pollInterval = 250 * time.Millisecond

// applyAttempts limits the calls for one change. All of them carry the same change
// ID, so that the change is accepted at most once.
const applyAttempts = 2

type applyCommand struct {
	noExecute
	File    string        `short:"f" long:"file" value-name:"FILE" required:"yes" description:"File to apply; - is standard input"`
	Epoch   *uint64       `long:"epoch" value-name:"N" description:"Epoch that the file was made against; default: the current one"`
	Wait    bool          `long:"wait" description:"Wait until every host runs the new epoch"`
	Timeout time.Duration `long:"timeout" default:"30s" value-name:"DURATION" description:"Longest wait"`
}

func (c *applyCommand) run(ctx context.Context, s *session) error {
	file, err := s.parseFile(c.File)
	if err != nil {
		return err
	}
	req := &pb.ApplyRequest{ChangeId: rand.Text(), Put: operator.ObjectsToProto(file.Objects), Delete: operator.RefsToProto(file.Refs())}
	if req.ExpectedEpoch, err = c.baseEpoch(ctx, s); err != nil {
		return err
	}
	epoch, err := s.apply(ctx, req)
	if err != nil {
		return err
	}
	if !c.Wait {
		return s.print(&pb.ApplyResponse{Epoch: epoch, ChangeId: req.GetChangeId()}, func(t *table) {
			t.line("epoch %d accepted, change %s", epoch, req.GetChangeId())
		})
	}
	return s.waitForRollout(ctx, epoch, c.Timeout)
}

func (s *session) parseFile(path string) (File, error) {
	data, err := readFile(path, s.In)
	if err != nil {
		return File{}, err
	}
	return ParseFile(path, data)
}

// baseEpoch returns the epoch of the option --epoch, or else the current one.
func (c *applyCommand) baseEpoch(ctx context.Context, s *session) (uint64, error) {
	if c.Epoch != nil {
		return *c.Epoch, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := s.config.GetEpoch(ctx, connect.NewRequest(&pb.GetEpochRequest{}))
	if err != nil {
		return 0, err
	}
	return res.Msg.GetEpoch(), nil
}

// apply retries if the API was unavailable, because the change may have been
// accepted and only the response lost.
func (s *session) apply(ctx context.Context, req *pb.ApplyRequest) (uint64, error) {
	var err error
	for range applyAttempts {
		var epoch uint64
		if epoch, err = s.applyOnce(ctx, req); err == nil || connect.CodeOf(err) != connect.CodeUnavailable {
			return epoch, err
		}
	}
	return 0, err
}

func (s *session) applyOnce(ctx context.Context, req *pb.ApplyRequest) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := s.config.Apply(ctx, connect.NewRequest(req))
	if err == nil {
		return res.Msg.GetEpoch(), nil
	}
	if epoch, ok := acceptedBefore(err, req.GetChangeId()); ok {
		return epoch, nil
	}
	return 0, err
}

// acceptedBefore reports whether err is a conflict with the change of this ID
// itself, which was accepted although its response was lost, and returns the epoch
// of the change.
func acceptedBefore(err error, id string) (uint64, bool) {
	ce, ok := errors.AsType[*connect.Error](err)
	if !ok {
		return 0, false
	}
	for _, d := range ce.Details() {
		m, err := d.Value()
		if err != nil {
			continue
		}
		conflict, ok := m.(*pb.ConflictDetail)
		if !ok {
			continue
		}
		for _, c := range conflict.GetChanges() {
			if c.GetChangeId() == id {
				return c.GetEpoch(), true
			}
		}
	}
	return 0, false
}

// waitForRollout returns nil once all hosts run the epoch, or a *WaitError after
// the timeout. Hosts that do not answer and that the platform lists as leaving are
// assumed to have stopped and are not waited for. The wait continues while the API
// is unavailable; any other error ends it.
func (s *session) waitForRollout(ctx context.Context, epoch uint64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		res, err := s.rollout(ctx, epoch)
		if err != nil && exitCode(err) != ExitUnavailable {
			return err
		}
		if err == nil && len(res.GetBehind()) == 0 && len(withoutLeaving(res.GetSilent())) == 0 {
			return s.printRollout(res)
		}
		if time.Until(deadline) <= 0 {
			return s.waitFailed(res, err, epoch, timeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(pollInterval, time.Until(deadline))):
		}
	}
}

func (s *session) waitFailed(last *pb.RolloutResponse, err error, epoch uint64, timeout time.Duration) error {
	if err != nil {
		return fmt.Errorf("epoch %d accepted; the wait failed: %w", epoch, err)
	}
	if err := s.printRollout(last); err != nil {
		return err
	}
	return &WaitError{Epoch: epoch, Timeout: timeout, Behind: hostIDs(last.GetBehind()), Silent: hostIDs(withoutLeaving(last.GetSilent()))}
}

// withoutLeaving returns the hosts that the platform does not list as leaving and
// that should therefore answer.
func withoutLeaving(silent []*pb.Host) []*pb.Host {
	return slices.DeleteFunc(slices.Clone(silent), func(h *pb.Host) bool {
		return h.GetListedState() == string(objectapi.HostLeaving)
	})
}

func hostIDs(hosts []*pb.Host) []string {
	var ids []string
	for _, h := range hosts {
		ids = append(ids, h.GetId())
	}
	return ids
}

type diffCommand struct {
	noExecute
	File string `short:"f" long:"file" value-name:"FILE" required:"yes" description:"File to compare; - is standard input"`
}

func (c *diffCommand) run(ctx context.Context, s *session) error {
	file, err := s.parseFile(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := s.config.Diff(ctx, connect.NewRequest(&pb.DiffRequest{
		Put: operator.ObjectsToProto(file.Objects), Delete: operator.RefsToProto(file.Refs()),
	}))
	if err != nil {
		return err
	}
	return s.print(res.Msg, func(t *table) { printDiff(t, res.Msg) })
}

var actionNames = map[pb.ObjectDiff_Action]string{
	pb.ObjectDiff_ACTION_CREATE:  "create",
	pb.ObjectDiff_ACTION_REPLACE: "replace",
	pb.ObjectDiff_ACTION_DELETE:  "delete",
}

func printDiff(t *table, res *pb.DiffResponse) {
	t.line("against epoch %d", res.GetEpoch())
	for _, d := range res.GetObjects() {
		kind, _ := operator.KindFromProto(d.GetRef().GetKind())
		t.line("%s %s %s", actionNames[d.GetAction()], kind, d.GetRef().GetName())
		if d.GetAction() == pb.ObjectDiff_ACTION_DELETE {
			continue
		}
		for _, f := range d.GetFields() {
			t.line("  %s: %s -> %s", f.GetField(), orDash(f.GetBefore()), orDash(f.GetAfter()))
		}
	}
}

// orDash replaces an empty text by "-".
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

type getCommand struct {
	noExecute
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"yes"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

func (c *getCommand) run(ctx context.Context, s *session) error {
	kind, err := parseKind(c.Args.Kind)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, err := c.fetch(ctx, s, kind)
	if err != nil {
		return err
	}
	return s.printValue(withNonNilColumns(objects), func(t *table) { printObjects(t, objects) })
}

func (c *getCommand) fetch(ctx context.Context, s *session, kind snapshot.Kind) (snapshot.Objects, error) {
	if c.Args.Name == "" {
		res, err := s.config.List(ctx, connect.NewRequest(&pb.ListRequest{Kind: operator.KindToProto(kind)}))
		if err != nil {
			return snapshot.Objects{}, err
		}
		return operator.ObjectsFromProto(res.Msg.GetObjects()), nil
	}
	ref := snapshot.Ref{Kind: kind, Name: c.Args.Name}
	res, err := s.config.Get(ctx, connect.NewRequest(&pb.GetRequest{Ref: operator.RefToProto(ref)}))
	if err != nil {
		return snapshot.Objects{}, err
	}
	return operator.ObjectsFromProto(res.Msg.GetObjects()), nil
}
