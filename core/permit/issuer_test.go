package permit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/permit"
)

const server = 7

var start = time.Unix(1_700_000_000, 0)

// span is the sliding span over which requests are counted against a limit.
const span = 4 * time.Second

// allowedWithin returns how many requests a server with the limit, in requests per
// second, may get within span.
func allowedWithin(perSecond float64) int { return int(1.5*perSecond*span.Seconds()) + 5 }

// mostWithin returns the largest number of times within span.
func mostWithin(times []time.Time) (most int) {
	first := 0
	for i, t := range times {
		for t.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// demand is hosts that want to send requests to one server at random times.
type demand struct {
	hosts int
	// perHost is the rate of each, in requests per second.
	perHost float64
	// issuerChange is how often another daemon becomes the issuer; zero: never.
	issuerChange time.Duration
	duration     time.Duration
}

// play returns when permits were issued. A host that was denied one asks again with its
// next request after the wait that it was told.
func (d demand) play(perSecond float64, seed uint64) (issued []time.Time) {
	random := rand.New(rand.NewPCG(seed, 0))
	issuer, changedAt := permit.NewIssuer(), start
	noPermitUntil := make([]time.Time, d.hosts)
	rate := float64(d.hosts) * d.perHost
	for now := start; now.Sub(start) < d.duration; now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
		if d.issuerChange > 0 && now.Sub(changedAt) >= d.issuerChange {
			issuer, changedAt = permit.NewIssuer(), now
		}
		host := random.IntN(d.hosts)
		if now.Before(noPermitUntil[host]) {
			continue
		}
		wait, granted := issuer.Request(now, server, perSecond)
		if !granted {
			noPermitUntil[host] = now.Add(wait)
			continue
		}
		issued = append(issued, now)
	}
	return issued
}

// Guards against a limit that many hosts exceed together because each of them has far
// less than one request a second, and against one that leaves capacity of the server
// unused because each host gets a fixed share.
func TestLimitHoldsForAnyNumberOfHosts(t *testing.T) {
	for _, hosts := range []int{1, 24, 442} {
		for _, limit := range []float64{0.3, 1, 3.8, 20} {
			for _, changes := range []time.Duration{0, 3 * time.Second} {
				t.Run(fmt.Sprint(hosts, "/", limit, "/", changes), func(t *testing.T) {
					g := NewWithT(t)
					d := demand{hosts: hosts, perHost: 4 * limit / float64(hosts), issuerChange: changes, duration: 2 * time.Minute}
					issued := d.play(limit, 1)
					g.Expect(mostWithin(issued)).To(BeNumerically("<=", allowedWithin(limit)))
					used := 0.9
					if changes > 0 {
						used = 0.75 // hosts wait for as long as the last issuer told them
					}
					g.Expect(len(issued)).To(BeNumerically(">=", int(used*limit*d.duration.Seconds())))
				})
			}
		}
	}
}

// Guards against permits that are denied although the hosts want less than the server
// takes.
func TestDemandBelowTheLimitIsServed(t *testing.T) {
	g := NewWithT(t)
	d := demand{hosts: 442, perHost: 3.0 / 442, duration: 2 * time.Minute}
	g.Expect(len(d.play(6, 1))).To(BeNumerically(">=", int(0.9*3*d.duration.Seconds())))
}

// Guards against a server that names a limit of zero, or none that is a number, and then
// gets no request that could show that the limit has ended.
func TestLimitOfZeroLeavesSomeRequests(t *testing.T) {
	for _, limit := range []float64{0, -1, math.NaN(), math.Inf(-1)} {
		g := NewWithT(t)
		d := demand{hosts: 10, perHost: 1, duration: time.Minute}
		issued := d.play(limit, 1)
		g.Expect(len(issued)).To(BeNumerically(">=", 10))
		g.Expect(mostWithin(issued)).To(BeNumerically("<=", allowedWithin(0)))
	}
	g := NewWithT(t)
	issuer := permit.NewIssuer()
	for i := range 1000 {
		_, granted := issuer.Request(start.Add(time.Duration(i)*time.Millisecond), server, math.Inf(1))
		g.Expect(granted).To(BeTrue())
	}
}

// Guards against memory that grows with each server that ever named a limit.
func TestUnusedBucketsAreRemoved(t *testing.T) {
	g := NewWithT(t)
	issuer, now := permit.NewIssuer(), start
	for k := range 100 {
		now = now.Add(time.Second)
		issuer.Request(now, balance.ServerKey(k), 1)
	}
	g.Expect(issuer.Len()).To(BeNumerically("<", 25))
}
