package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ratelimit"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against allowing more requests than this process's share of the fleet
// rate.
func TestRateIsSplitByShare(t *testing.T) {
	for _, c := range []struct{ share, workspaceRate, routeRate, want float64 }{
		{1, 100, 0, 100}, {0.25, 100, 0, 25}, {0.25, 100, 40, 10}, {1, 0, 30, 30},
	} {
		g := NewWithT(t)
		l := ratelimit.New(c.share)
		allowed := 0
		for ms := range 20000 {
			if _, ok := l.Allow(start.Add(time.Duration(ms)*time.Millisecond), "w", c.workspaceRate, "r", c.routeRate); ok {
				allowed++
			}
		}
		// 20 s at the rate, and a burst of one second.
		g.Expect(float64(allowed)).To(BeNumerically("~", 21*c.want, 2))
	}
}

// Guards against taking a token from one bucket for a request that the other
// bucket refuses, and against a wrong time to wait before a retry.
func TestRefusalTakesNothing(t *testing.T) {
	g := NewWithT(t)
	l := ratelimit.New(1)
	_, ok := l.Allow(start, "w", 1, "r", 10)
	g.Expect(ok).To(BeTrue())
	for range 20 {
		wait, ok := l.Allow(start, "w", 1, "r", 10)
		g.Expect(ok).To(BeFalse())
		g.Expect(wait).To(Equal(time.Second))
	}
	for range 9 {
		_, ok = l.Allow(start, "other", 0, "r", 10)
		g.Expect(ok).To(BeTrue())
	}
}

// Guards against memory use that grows with the number of workspaces ever seen.
func TestIdleBucketsAreDropped(t *testing.T) {
	g := NewWithT(t)
	l := ratelimit.New(1)
	for i := range 10000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		l.Allow(now, model.WorkspaceID(fmt.Sprint(i)), 10, "", 0)
		g.Expect(l.Len()).To(BeNumerically("<", 30))
	}
}
