package gossip

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
)

// quotaRecorder is a QuotaHandler that records its calls.
type quotaRecorder struct {
	*node
	asked int
	lease *gen.QuotaLease
}

func (q *quotaRecorder) QuotaState() *gen.QuotaState                  { return nil }
func (q *quotaRecorder) PeerQuotaState(model.HostID, *gen.QuotaState) {}
func (q *quotaRecorder) QuotaIssuer() model.HostID                    { return q.PreferredIssuer() }
func (q *quotaRecorder) QuotaSolicited([]uint64)                      {}
func (q *quotaRecorder) AnswerQuota(a *gen.QuotaAsk) *gen.QuotaAnswer {
	q.with(func() { q.asked++ })
	return &gen.QuotaAnswer{Granted: a.Need}
}
func (q *quotaRecorder) QuotaReport(from model.HostID, dc model.DataCentre, r *gen.QuotaReport) *gen.QuotaLease {
	return &gen.QuotaLease{Echo: r.Stamp}
}
func (q *quotaRecorder) QuotaLease(from model.HostID, dc model.DataCentre, l *gen.QuotaLease) {
	q.with(func() { q.lease = l })
}

func (q *quotaRecorder) askedTimes() (n int) {
	q.with(func() { n = q.asked })
	return n
}

// quotaNodes returns the daemons of permitNodes with limits of workspaces.
func quotaNodes(t *testing.T) (x, y []*quotaRecorder) {
	t.Helper()
	enable := func(nodes []*node) (list []*quotaRecorder) {
		for _, n := range nodes {
			q := &quotaRecorder{node: n}
			n.EnableQuotas(q)
			list = append(list, q)
		}
		return list
	}
	nx, ny := permitNodes(t)
	return enable(nx), enable(ny)
}

// Guards against two issuers of a data centre, as seen from its own daemons and from
// another data centre, and against a lost issuer that is asked for ever.
func TestAdmissionsComeFromOneIssuer(t *testing.T) {
	g := NewWithT(t)
	x, y := quotaNodes(t)
	issuer := x[0].PreferredIssuer()
	index := map[model.HostID]*quotaRecorder{}
	for _, n := range x {
		g.Expect(n.PreferredIssuer()).To(Equal(issuer))
		index[n.self.ID] = n
	}
	for _, n := range x {
		if n != index[issuer] {
			_, err := n.AskIssuer(context.Background(), issuer, &gen.QuotaAsk{Need: 1})
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	for _, n := range y {
		answer, err := n.AskDataCentre(context.Background(), "x", &gen.QuotaAsk{Need: 3})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Granted).To(Equal(uint32(3)))
		// A daemon that is not the issuer passes the request on.
		for _, other := range x {
			m := n.members.byID[other.self.ID]
			_, err := n.askQuota(context.Background(), m, &gen.QuotaAsk{Need: 1})
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	g.Expect(index[issuer].askedTimes()).To(Equal(2 + 2 + 2*3))
	y[0].SendQuotaReport("x", &gen.QuotaReport{Stamp: 7})
	g.Eventually(func() (echo uint64) {
		y[0].with(func() { echo = y[0].lease.GetEcho() })
		return echo
	}).WithTimeout(time.Second).Should(Equal(uint64(7)))

	index[issuer].stop()
	for _, n := range x {
		if n != index[issuer] {
			g.Eventually(n.PreferredIssuer).WithTimeout(2 * time.Second).ShouldNot(Equal(issuer))
		}
	}
	g.Eventually(func() error {
		_, err := y[0].AskDataCentre(context.Background(), "x", &gen.QuotaAsk{Need: 1})
		return err
	}).WithTimeout(2 * time.Second).Should(Succeed())
}

// Guards against an issuer that is avoided for long after a single pause, because several
// requests were waiting for replies meanwhile.
func TestOnePauseCountsOnce(t *testing.T) {
	g := NewWithT(t)
	x, _ := quotaNodes(t)
	issuer := x[0].PreferredIssuer()
	n := x[0]
	for _, other := range x {
		if other.self.ID != issuer {
			n = other
			continue
		}
		other.stop()
	}
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			_, err := n.AskIssuer(context.Background(), issuer, &gen.QuotaAsk{Need: 1})
			g.Expect(err).To(MatchError(context.DeadlineExceeded))
		})
	}
	wait.Wait()
	_, err := n.AskIssuer(context.Background(), issuer, &gen.QuotaAsk{Need: 1})
	g.Expect(err).To(MatchError(context.DeadlineExceeded), "it is not avoided yet")
	_, err = n.AskIssuer(context.Background(), issuer, &gen.QuotaAsk{Need: 1})
	g.Expect(err).To(MatchError(errAvoided))
}

// Guards against reports that go to a lost daemon for ever, because reports alone are sent to
// the data centre.
func TestReportsReachAnotherDaemon(t *testing.T) {
	g := NewWithT(t)
	x, y := quotaNodes(t)
	issuer := x[0].PreferredIssuer()
	for _, n := range x {
		if n.self.ID == issuer {
			n.stop()
		}
	}
	g.Eventually(func() bool {
		y[0].SendQuotaReport("x", &gen.QuotaReport{Stamp: 8})
		received := false
		y[0].with(func() { received = y[0].lease != nil })
		return received
	}).WithTimeout(3 * time.Second).WithPolling(100 * time.Millisecond).Should(BeTrue())
}

// Guards against a datagram that is received twice and issues admissions twice, and
// against an answer that is used by another request.
func TestDuplicateRequestIsAnsweredOnce(t *testing.T) {
	g := NewWithT(t)
	x, _ := quotaNodes(t)
	from := x[0].members.byID["b"].udpAddress
	for range 3 {
		x[0].handle(&gen.Gossip{Host: "b", DataCentre: "x", QuotaAsk: &gen.QuotaAsk{Id: 1, Need: 1}}, from)
	}
	x[0].handle(&gen.Gossip{Host: "c", DataCentre: "x", QuotaAsk: &gen.QuotaAsk{Id: 1, Need: 1}}, from)
	g.Expect(x[0].askedTimes()).To(Equal(2))
	x[0].handle(&gen.Gossip{Host: "b", DataCentre: "x", QuotaAnswer: &gen.QuotaAnswer{Id: 99, Granted: 1}}, from)
	x[0].mu().Lock()
	defer x[0].mu().Unlock()
	g.Expect(x[0].permitRequests).To(BeEmpty())
}
