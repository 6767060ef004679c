package operator

import (
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/snapshot"
	pb "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/standin/platform"
)

// Guards against errors of the store over the object API that reach operators
// with the wrong code, and against a change that is applied twice when the object
// API's replies are lost and the caller retries.
func TestServiceOverTheObjectAPI(t *testing.T) {
	g := NewWithT(t)
	p := platform.New(platform.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	server := httptest.NewServer(p)
	defer server.Close()
	api, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: server.URL})
	g.Expect(err).NotTo(HaveOccurred())
	r := newHarness(t, func(o *Options) { o.Store = NewConfigStore(configstore.NewStore(api)) })
	config := r.config(aliceToken)

	none, err := config.GetEpoch(ctx, connect.NewRequest(&pb.GetEpochRequest{}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(none.Msg.GetEpoch()).To(BeZero())

	first := &pb.ApplyRequest{ChangeId: "first", Put: ObjectsToProto(booking(snapshot.Floor{}, 2))}
	p.SetFaults(platform.Faults{LoseReplies: 3})
	for range 2 {
		res, err := config.Apply(ctx, connect.NewRequest(first))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res.Msg.GetEpoch()).To(Equal(uint64(1)))
	}

	_, err = r.config(bobToken).Apply(ctx, applyServer("b3", 0))
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeAborted))
	change := detail[*pb.ConflictDetail](g, err).GetChanges()[0]
	g.Expect(change.GetAuthor()).To(Equal("alice"))
	g.Expect(change.GetObjectCount()).To(Equal(int64(3)))

	reused := applyServer("b3", 0)
	reused.Msg.ChangeId = "first"
	_, err = config.Apply(ctx, reused)
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument))

	wrong := applyServer("b3", 1)
	wrong.Msg.Put.Servers[0].Service = "none"
	_, err = config.Apply(ctx, wrong)
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument))
	g.Expect(detail[*pb.InvalidDetail](g, err).GetObjects()[0].GetRef().GetName()).To(Equal("b3"))

	p.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
	_, err = config.Apply(ctx, applyServer("b3", 1))
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
}
