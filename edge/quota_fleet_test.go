package edge

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
)

// Guards against an issuer that cannot read the registry and loses its rate and its tokens
// each time that the numbers of hosts from other daemons are renewed, because the first
// heartbeat comes from a daemon that does not know the number either.
func TestNumberOfHostsFromOthersIsKept(t *testing.T) {
	g := NewWithT(t)
	q, advance := loneQuotas()
	q.setFleet(nil, 0)
	hosts := func() float64 { return q.gauges()["quota_fleet_hosts"] }
	for range 100 {
		q.PeerQuotaState("b", &gen.QuotaState{Fleet: 40})
		advance(200 * time.Millisecond)
		q.PeerQuotaState("a", &gen.QuotaState{})
		g.Expect(hosts()).To(Equal(40.0))
	}
	for range 3 {
		q.PeerQuotaState("b", &gen.QuotaState{Fleet: 30})
		advance(fleetPeriod)
	}
	g.Expect(hosts()).To(Equal(30.0), "hosts that were removed are forgotten")
}

// Guards against a request below the limit that is refused as over it, because its host
// was paused until the admission for it had expired.
func TestLateAdmissionIsAskedForAgain(t *testing.T) {
	g := NewWithT(t)
	q, advance := loneQuotas()
	advance(2 * time.Second)
	advance(3 * time.Second)
	// The clock advances while the first admission is asked for.
	clock, calls, paused := q.now, 0, time.Duration(0)
	q.now = func() time.Time {
		if calls++; calls > 2 && calls < 6 {
			paused += 150 * time.Millisecond
		}
		return clock().Add(paused)
	}
	g.Expect(q.admit(context.Background(), "w", time.Now().Add(time.Second)).result).To(Equal(quotaIssued))
}
