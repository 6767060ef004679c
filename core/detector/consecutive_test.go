package detector

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
)

// Guards against counting shed or cancelled attempts as failures, and against
// a count that does not restart after a success or a reset.
func TestConsecutive(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	c := NewConsecutive(2)
	next := model.AttemptID(0)
	end := func(kinds ...Kind) []Suspicion {
		for _, k := range kinds {
			next++
			c.Started(now, "a", next)
			c.Finished(now, "a", next, Result{Kind: k})
		}
		return c.Suspects(now)
	}
	g.Expect(end(Failure, Success, Failure, Shed, Cancelled)).To(BeEmpty())
	got := end(ConnectFailure)
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].Evidence.Signal).To(Equal(SignalConsecutive))
	g.Expect(got[0].Evidence.Failures).To(Equal(3))
	c.Reset(now, "a")
	g.Expect(end(Failure)).To(BeEmpty())
	c.Started(now, "a", 99)
	now = now.Add(time.Second)
	g.Expect(c.Evidence(now, "a").OldestAttempt).To(Equal(time.Second))
	c.Forget("a")
	g.Expect(c.Evidence(now, "a")).To(Equal(Evidence{}))
}
