package kernel

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a bus without handlers that does not stop when its context
// ends, which kept a daemon from terminating.
func TestBusStopsWithoutHandlers(t *testing.T) {
	g := NewWithT(t)
	b, err := NewBus()
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	<-b.Running()
	cancel()
	g.Eventually(done).WithTimeout(2 * time.Second).Should(Receive(BeNil()))
}

func TestBusDeliversTypedEvents(t *testing.T) {
	g := NewWithT(t)
	type changed struct{ Epoch int }
	b, err := NewBus()
	g.Expect(err).NotTo(HaveOccurred())
	got := make(chan changed, 1)
	Handle(b, "test", "config", func(e changed) error { got <- e; return nil })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = b.Run(ctx) }()
	<-b.Running()
	g.Expect(Publish(b, "config", changed{Epoch: 7})).To(Succeed())
	g.Eventually(got).WithTimeout(2 * time.Second).Should(Receive(Equal(changed{Epoch: 7})))
}

// Guards the overflow policies: which items are dropped, and that drops are
// counted.
func TestRingPolicies(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	newest := NewRing[int]("n", 2, DropNewest)
	oldest := NewRing[int]("o", 2, DropOldest)
	for i := range 3 {
		newest.Put(ctx, i)
		oldest.Put(ctx, i)
	}
	g.Expect([]int{<-newest.Items(), <-newest.Items()}).To(Equal([]int{0, 1}))
	g.Expect([]int{<-oldest.Items(), <-oldest.Items()}).To(Equal([]int{1, 2}))
	g.Expect(newest.Dropped() + oldest.Dropped()).To(Equal(uint64(2)))
	block := NewRing[int]("b", 1, Block)
	g.Expect(block.Put(ctx, 1)).To(BeTrue())
	ended, cancel := context.WithCancel(ctx)
	cancel()
	g.Expect(block.Put(ended, 2)).To(BeFalse())
}

func TestRunTasksNamesTheFailedTask(t *testing.T) {
	g := NewWithT(t)
	cause := errors.New("cause")
	err := RunTasks(context.Background(),
		Task{Name: "waits", Run: func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }},
		Task{Name: "fails", Run: func(context.Context) error { return cause }})
	var failed *TaskError
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.Task).To(Equal("fails"))
	g.Expect(errors.Is(err, cause)).To(BeTrue())
}
