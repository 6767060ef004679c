package reuse

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_700_000_000, 0)

func clean(int) bool { return true }

// Guards against requests on connections that the server has probably closed, and against
// requests that must not repeat on those that it may have dropped or not yet finished with.
func TestIdleTimeBoundsReuse(t *testing.T) {
	for _, x := range []struct {
		announced, idle time.Duration
		idempotent      bool
		ok              bool
	}{
		{-1, 0, true, true}, {-1, 6900 * time.Millisecond, true, true}, {-1, 7 * time.Second, true, false},
		{-1, 0, false, false}, {-1, 20 * time.Millisecond, false, true}, {-1, 149 * time.Millisecond, false, true}, {-1, 150 * time.Millisecond, false, false},
		{5 * time.Second, 2900 * time.Millisecond, true, true}, {5 * time.Second, 3 * time.Second, true, false},
		{time.Hour, 7 * time.Second, true, false}, {0, 0, true, false},
		{time.Second, 149 * time.Millisecond, true, true}, {time.Second, 150 * time.Millisecond, true, false},
	} {
		p := NewPool[string, int](10, 2)
		p.Put(start, "s", 1, KeepAlive(x.announced))
		_, idle, ok, _ := p.Take(start.Add(x.idle), "s", x.idempotent, clean)
		NewWithT(t).Expect(ok).To(Equal(x.ok), "%+v", x)
		if ok {
			NewWithT(t).Expect(idle).To(Equal(x.idle))
		}
	}
}

// Guards against idle connections beyond the bounds, against connections that nobody
// closes, and against a dirty connection that is used.
func TestPoolIsBounded(t *testing.T) {
	g := NewWithT(t)
	p := NewPool[int, int](5, 2)
	open := map[int]bool{}
	next := 0
	for i := range 200 {
		next++
		open[next] = true
		for _, c := range p.Put(start.Add(time.Duration(i)*time.Millisecond), i%7, next, KeepAlive(-1)) {
			delete(open, c)
		}
		g.Expect(p.Len()).To(BeNumerically("<=", 5))
		g.Expect(open).To(HaveLen(p.Len()))
	}
	now := start.Add(200 * time.Millisecond)
	g.Expect(p.Warm(now, true)).To(HaveLen(5))
	_, _, ok, closing := p.Take(now, p.Warm(now, true)[0], true, func(int) bool { return false })
	g.Expect(ok).To(BeFalse())
	g.Expect(closing).To(HaveLen(1))
	g.Expect(p.Expire(now.Add(7 * time.Second))).To(HaveLen(4))
	g.Expect(p.Len()).To(BeZero())
}

// Guards against one failed request for each idle connection after a cut, and in hours in
// which servers drop idle connections early: the connections to the server are dropped at
// the first failure, and those to others are used only if they were idle for less.
func TestFailuresLowerTheLimit(t *testing.T) {
	g := NewWithT(t)
	p := NewPool[string, int](10, 2)
	p.Put(start, "s", 1, KeepAlive(-1))
	p.Put(start, "s", 2, KeepAlive(-1))
	p.Put(start, "other", 3, KeepAlive(-1))
	now := start.Add(4 * time.Second)
	_, idle, ok, _ := p.Take(now, "s", true, clean)
	g.Expect(ok).To(BeTrue())
	g.Expect(p.Failed(now, "s", idle)).To(ConsistOf(1))
	g.Expect(p.Warm(now, true)).To(BeEmpty(), "idle for longer than half of what failed")
	g.Expect(p.Limit(now)).To(Equal(2 * time.Second))
	for range 10 {
		p.Failed(now, "s", p.Limit(now)-1)
	}
	g.Expect(p.Limit(now)).To(Equal(minIdle))
	p.Put(now, "s", 4, KeepAlive(-1))
	_, _, ok, _ = p.Take(now.Add(60*time.Millisecond), "s", false, clean)
	g.Expect(ok).To(BeFalse())
	g.Expect(p.Limit(now.Add(7 * recoveryInterval))).To(Equal(idempotentIdle))

	p.Put(now, "s", 5, KeepAlive(-1))
	g.Expect(p.Distrust(now, "s")).To(ConsistOf(4, 5))
	g.Expect(p.Put(now.Add(distrust-1), "s", 6, KeepAlive(-1))).To(ConsistOf(6))
	g.Expect(p.Put(now.Add(distrust), "s", 7, KeepAlive(-1))).To(BeEmpty())
}
