package edge

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/gossip"
)

// Guards against an attempt without a permit because the reply that denies one names no
// wait, and against a long wait, or a caller that leaves, that keeps a server out of use
// for all other requests.
func TestPermitResult(t *testing.T) {
	for _, c := range []struct {
		reply  *gen.PermitReply
		err    error
		result string
		wait   time.Duration
	}{
		{&gen.PermitReply{Granted: true}, nil, permitGranted, 0},
		{&gen.PermitReply{Unlimited: true}, nil, permitUnlimited, 0},
		{&gen.PermitReply{WaitMs: 250}, nil, permitDenied, 250 * time.Millisecond},
		{&gen.PermitReply{}, nil, permitDenied, time.Millisecond},
		{&gen.PermitReply{WaitMs: math.MaxUint32}, nil, permitDenied, maxPermitWait},
		{nil, errors.New("no reply"), permitNoReply, permitErrorWait},
		{nil, &gossip.PermitError{Err: context.Canceled}, permitCancelled, 0},
	} {
		result, wait := permitResult(c.reply, c.err)
		NewWithT(t).Expect(result).To(Equal(c.result))
		NewWithT(t).Expect(wait).To(Equal(c.wait))
	}
}
