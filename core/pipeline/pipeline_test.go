package pipeline

import (
	"testing"

	. "github.com/onsi/gomega"
)

func add(g *WithT, p *Pipeline) Number {
	n, ok := p.Add()
	g.Expect(ok).To(BeTrue())
	return n
}

// Guards against a forwarded request that loses its response because an earlier one is
// streamed and breaks off, and against a request that waits for nothing.
func TestForwardedRequestsAreNotBehindStreams(t *testing.T) {
	g := NewWithT(t)
	var p Pipeline
	first, second, third := add(g, &p), add(g, &p), add(g, &p)
	g.Expect(p.MayForward(second, false)).To(BeTrue())
	g.Expect(p.MayForward(first, true)).To(BeTrue())
	g.Expect(p.MayForward(second, true)).To(BeFalse(), "memory is scarce")
	g.Expect(p.Forward(first)).To(BeTrue())
	g.Expect(p.Forward(second)).To(BeTrue())
	allowed, exposed := p.Stream(first, false)
	g.Expect(allowed).To(BeFalse())
	g.Expect(exposed).To(Equal(1))
	allowed, _ = p.Stream(second, false)
	g.Expect(allowed).To(BeTrue(), "the third request has not been forwarded")
	g.Expect(p.MayForward(third, false)).To(BeFalse())
	g.Expect(p.MayForward(first, false)).To(BeTrue())
	p.Done(first)
	p.Done(second)
	g.Expect(p.MayForward(third, true)).To(BeTrue())
	allowed, exposed = p.Stream(first, false)
	g.Expect(allowed && exposed == 0).To(BeTrue(), "late result of an answered request")
}

// Guards against a response that can neither be buffered nor streamed.
func TestForcedStream(t *testing.T) {
	g := NewWithT(t)
	var p Pipeline
	first, second := add(g, &p), add(g, &p)
	p.Forward(second)
	allowed, exposed := p.Stream(first, true)
	g.Expect(allowed).To(BeTrue())
	g.Expect(exposed).To(Equal(1))
	g.Expect(p.MayForward(add(g, &p), false)).To(BeFalse())
}

// Guards against a request that is forwarded although its connection closes, and against
// a reading goroutine that waits for room for ever.
func TestClosingPipeline(t *testing.T) {
	g := NewWithT(t)
	var p Pipeline
	var last Number
	for range MaxRequests {
		g.Expect(p.HasRoom()).To(BeTrue())
		last = add(g, &p)
	}
	g.Expect(p.HasRoom()).To(BeFalse())
	p.Close()
	g.Expect(p.HasRoom()).To(BeTrue())
	g.Expect(p.Forward(last)).To(BeFalse())
	_, ok := p.Add()
	g.Expect(ok).To(BeFalse())
}
