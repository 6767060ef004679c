package ratelimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/ratelimit"
)

// Guards against a bucket that gives tokens while no time passes, and against one that
// holds more than its capacity after a long time or after its rate was lowered.
func TestBucket(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	b := ratelimit.NewBucket(now, 2, 3, 3)
	for range 3 {
		g.Expect(b.Wait(now)).To(BeZero())
		b.Take(now)
	}
	g.Expect(b.Wait(now)).To(Equal(500 * time.Millisecond))
	g.Expect(b.FullAt()).To(BeTemporally("~", now.Add(1500*time.Millisecond), time.Millisecond))
	now = now.Add(time.Hour)
	g.Expect(b.Tokens(now)).To(Equal(3))
	b.SetRate(now, 1, 1)
	g.Expect(b.Tokens(now)).To(Equal(1))
}
