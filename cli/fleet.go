package cli

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "github.com/agateusher/agateusher/gen/agateusher/v1"
)

type rolloutCommand struct {
	noExecute
	Args struct {
		Epoch uint64 `positional-arg-name:"EPOCH"`
	} `positional-args:"yes"`
}

func (c *rolloutCommand) run(ctx context.Context, s *session) error {
	res, err := s.rollout(ctx, c.Args.Epoch)
	if err != nil {
		return err
	}
	return s.printRollout(res)
}

func (s *session) rollout(ctx context.Context, epoch uint64) (*pb.RolloutResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := s.fleet.Rollout(ctx, connect.NewRequest(&pb.RolloutRequest{Epoch: epoch}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

func (s *session) printRollout(res *pb.RolloutResponse) error {
	return s.print(res, func(t *table) {
		t.line("epoch %d: %d in force, %d behind, %d silent", res.GetEpoch(), len(res.GetInForce()), len(res.GetBehind()), len(res.GetSilent()))
		t.row("HOST", "DATA CENTRE", "ROLLOUT", "EPOCH", "CONFIRMED", "PROBLEM")
		add := func(rollout string, hosts []*pb.Host) {
			for _, h := range hosts {
				t.row(h.GetId(), h.GetDataCentre(), rollout, h.GetEpoch(), h.GetConfirmed(), orDash(h.GetProblem()))
			}
		}
		add("behind", res.GetBehind())
		add("silent", res.GetSilent())
		add("in force", res.GetInForce())
	})
}

type hostsCommand struct{ noExecute }

func (c *hostsCommand) run(ctx context.Context, s *session) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := s.fleet.ListHosts(ctx, connect.NewRequest(&pb.ListHostsRequest{}))
	if err != nil {
		return err
	}
	return s.print(res.Msg, func(t *table) {
		t.row("HOST", "DATA CENTRE", "LISTED", "EPOCH", "CONFIRMED", "LEAVING", "STARTED", "PROBLEM")
		for _, h := range res.Msg.GetHosts() {
			t.row(h.GetId(), h.GetDataCentre(), orDash(h.GetListedState()), h.GetEpoch(), h.GetConfirmed(), h.GetLeaving(),
				formatTime(h.GetStartedAt()), orDash(h.GetProblem()))
		}
	})
}

// formatTime formats a time in UTC, or returns "-" for nil.
func formatTime(t *timestamppb.Timestamp) string {
	if t == nil {
		return "-"
	}
	return t.AsTime().Format(time.RFC3339)
}

type poolsCommand struct {
	noExecute
	Service string `long:"service" value-name:"NAME" description:"Only this service's pools"`
}

func (c *poolsCommand) run(ctx context.Context, s *session) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := s.fleet.ListPools(ctx, connect.NewRequest(&pb.ListPoolsRequest{Service: c.Service}))
	if err != nil {
		return err
	}
	return s.print(res.Msg, func(t *table) { printPools(t, res.Msg) })
}

func printPools(t *table, res *pb.ListPoolsResponse) {
	if silent := hostIDs(res.GetSilent()); len(silent) > 0 {
		t.line("silent hosts, whose pools are missing: %s", strings.Join(silent, ", "))
	}
	t.row("SERVICE", "DATA CENTRE", "SHARD", "OWNER", "QUEUED", "DELAY MS", "FREE", "SERVER", "STATE", "SINCE", "BUSY", "EVIDENCE")
	for _, p := range res.GetPools() {
		pool := []any{p.GetService(), p.GetDataCentre(), p.GetShard(), p.GetOwner(), p.GetQueued(),
			time.Duration(p.GetQueueDelayUs() * int64(time.Microsecond)).Milliseconds(), p.GetFreeSlots()}
		for _, v := range p.GetServers() {
			t.row(append(pool[:len(pool):len(pool)], v.GetId(), v.GetState(), formatTime(v.GetSince()), v.GetBusySlots(), orDash(v.GetEvidence()))...)
		}
	}
}

// stateAction calls the RPC that sets a backend server's state, and returns the
// epoch that contains it.
type stateAction func(ctx context.Context, s *session, server string) (uint64, error)

// stateCommand is the sub-command drain, eject or readmit.
type stateCommand struct {
	noExecute
	action stateAction
	Args   struct {
		Server string `positional-arg-name:"SERVER" required:"yes"`
	} `positional-args:"yes"`
}

func (c *stateCommand) run(ctx context.Context, s *session) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch, err := c.action(ctx, s, c.Args.Server)
	if err != nil {
		return err
	}
	return s.print(&pb.DrainResponse{Epoch: epoch}, func(t *table) { t.line("epoch %d", epoch) })
}

func drain(ctx context.Context, s *session, server string) (uint64, error) {
	res, err := s.fleet.Drain(ctx, connect.NewRequest(&pb.DrainRequest{Server: server}))
	if err != nil {
		return 0, err
	}
	return res.Msg.GetEpoch(), nil
}

func eject(ctx context.Context, s *session, server string) (uint64, error) {
	res, err := s.fleet.Eject(ctx, connect.NewRequest(&pb.EjectRequest{Server: server}))
	if err != nil {
		return 0, err
	}
	return res.Msg.GetEpoch(), nil
}

func readmit(ctx context.Context, s *session, server string) (uint64, error) {
	res, err := s.fleet.Readmit(ctx, connect.NewRequest(&pb.ReadmitRequest{Server: server}))
	if err != nil {
		return 0, err
	}
	return res.Msg.GetEpoch(), nil
}
