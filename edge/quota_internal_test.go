package edge

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/quota"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/gossip"
	"github.com/agateusher/agateusher/telemetry"
)

// loneQuotas returns the quotas of a host that is its own issuer, and a function that
// advances its clock.
func loneQuotas() (q *quotas, advance func(time.Duration)) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := DefaultSettings()
	s.Host = HostSettings{ID: "h", DataCentre: "a", Region: "r"}
	s.Regions = map[model.DataCentre]model.Region{"a": "r"}
	q = newQuotas(s, telemetry.NewMetrics("test").Scope, log, func(_ string, f func()) bool { f(); return true })
	var mu sync.Mutex
	now := time.Unix(100, 0)
	q.now = func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	q.host = quota.NewHost(now, "h", "a", s.Regions, quota.Rule{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
	q.setFleet([]gossip.Host{{ID: "h", DataCentre: "a"}}, 0)
	q.host.Prefer("h")
	q.apply(&catalog.Config{Workspaces: []catalog.Workspace{{Name: "w", RatePerSecond: 10, Burst: 10}, {Name: "free"}}})
	return q, func(d time.Duration) {
		mu.Lock()
		now = now.Add(d)
		mu.Unlock()
		q.mu.Lock()
		defer q.mu.Unlock()
		q.host.Tick(q.now())
	}
}

// Guards against an admission that is lost when its request is refused for another reason,
// and against one that is given back and used after it has expired.
func TestAdmissionIsGivenBack(t *testing.T) {
	g := NewWithT(t)
	q, advance := loneQuotas()
	advance(2 * time.Second)
	advance(3 * time.Second)
	deadline := time.Now().Add(time.Second)
	first := q.admit(context.Background(), "w", deadline)
	g.Expect(first.result).To(Equal(quotaIssued))
	q.release(first)
	second := q.admit(context.Background(), "w", deadline)
	g.Expect(second.result).To(Equal(quotaStored))
	q.release(second)
	advance(time.Second)
	g.Expect(q.admit(context.Background(), "w", deadline).result).To(Equal(quotaIssued))
	g.Expect(q.admit(context.Background(), "free", deadline)).To(Equal(quotaDecision{}))
}

// Guards against callers that disconnect while their requests are held and leave them
// behind, and against requests that are held without bound.
func TestHeldRequestsEnd(t *testing.T) {
	g := NewWithT(t)
	q, advance := loneQuotas()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for range maxQuotaWaiting {
		wait.Go(func() {
			g.Expect(q.admit(ctx, "w", time.Now().Add(time.Minute)).result).To(Equal(quotaCancelled))
		})
	}
	waiting := func() int {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.waiting
	}
	g.Eventually(waiting).Should(Equal(maxQuotaWaiting))
	g.Expect(q.admit(ctx, "w", time.Now().Add(time.Minute)).result).To(Equal(quotaUnavailable))
	cancel()
	wait.Wait()
	g.Expect(waiting()).To(BeZero())
	done := make(chan string)
	go func() { done <- q.admit(context.Background(), "w", time.Now().Add(time.Minute)).result }()
	g.Eventually(waiting).Should(Equal(1))
	advance(2 * time.Second)
	g.Eventually(done).Should(Receive(Equal(quotaIssued)))
}

// Guards against a restarted host that votes at once although another than its issuer may
// hold the vote of its earlier process, and against one that waits although none can.
func TestVoteAfterRestart(t *testing.T) {
	g := NewWithT(t)
	registry := []gossip.Host{{ID: "h", DataCentre: "a"}, {ID: "issuer", DataCentre: "a"}, {ID: "mate", DataCentre: "a"}, {ID: "far", DataCentre: "b"}}
	votes := func(registry []gossip.Host, mate *gen.QuotaState) bool {
		q, advance := loneQuotas()
		q.fleet, q.started = 0, q.now()
		q.setFleet(registry, 0)
		q.host.Prefer("issuer")
		advance(withoutVotesDelay)
		q.PeerQuotaState("issuer", &gen.QuotaState{Stamp: 7, HoldsVotes: true})
		if mate != nil {
			q.PeerQuotaState("mate", mate)
		}
		q.checkEarlierVote("issuer")
		return q.QuotaState().Echo == 7
	}
	g.Expect(votes(registry, nil)).To(BeFalse(), "a host that was not heard")
	g.Expect(votes(registry, &gen.QuotaState{HoldsVotes: true})).To(BeFalse(), "a host that holds votes")
	g.Expect(votes(registry[1:], &gen.QuotaState{})).To(BeFalse(), "a host that was not in the registry")
	g.Expect(votes(registry, &gen.QuotaState{})).To(BeTrue())
}

// localHeaders sets no headers in responses made by the daemon.
type localHeaders struct{ Headers }

func (localHeaders) SetLocalResponse(http.Header, model.RequestID) {}

// Guards against a refusal without a time, or with a status that says that the workspace
// is over its limit when nobody knows.
func TestQuotaRefusals(t *testing.T) {
	g := NewWithT(t)
	q, advance := loneQuotas()
	n := &Node{quotas: q, headers: localHeaders{}, localResponses: telemetry.NewCounterVec(telemetry.NewMetrics("test").Scope, "answers", "status", "reason")}
	request := func(timeout time.Duration) *response {
		f := &forwarding{node: n, request: &request{}, workspace: &catalog.Workspace{Name: "w"}, deadline: time.Now().Add(timeout)}
		return f.admitQuota(context.Background())
	}
	resp := request(50 * time.Millisecond)
	g.Expect(resp.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.header.Get("Retry-After")).To(Equal("0.3"))
	advance(2 * time.Second)
	advance(3 * time.Second)
	last := 0
	for range 40 {
		if resp = request(time.Second); resp != nil {
			last = resp.status
		}
	}
	g.Expect(last).To(Equal(http.StatusTooManyRequests))
	g.Expect(resp.header.Get("Retry-After")).NotTo(BeEmpty())
}
