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
	g.Expect(p.Forward(first, true)).To(Equal(Forwarded))
	g.Expect(p.Forward(second, true)).To(Equal(Wait), "memory is scarce")
	g.Expect(p.Forward(second, false)).To(Equal(Forwarded))
	allowed, exposed := p.Stream(first, false)
	g.Expect(allowed).To(BeFalse())
	g.Expect(exposed).To(Equal(1))
	allowed, _ = p.Stream(second, false)
	g.Expect(allowed).To(BeTrue(), "the third request has not been forwarded")
	g.Expect(p.Forward(third, false)).To(Equal(Wait))
	p.Done(first)
	p.Done(second)
	g.Expect(p.Forward(third, true)).To(Equal(Forwarded))
	allowed, exposed = p.Stream(first, false)
	g.Expect(allowed && exposed == 0).To(BeTrue(), "late result of an answered request")
}

// Guards against a response that can neither be buffered nor streamed.
func TestForcedStream(t *testing.T) {
	g := NewWithT(t)
	var p Pipeline
	first, second := add(g, &p), add(g, &p)
	g.Expect(p.Forward(second, false)).To(Equal(Forwarded))
	allowed, exposed := p.Stream(first, true)
	g.Expect(allowed).To(BeTrue())
	g.Expect(exposed).To(Equal(1))
	g.Expect(p.Forward(add(g, &p), false)).To(Equal(Wait))
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
	g.Expect(p.Forward(last, false)).To(Equal(Dropped))
	_, ok := p.Add()
	g.Expect(ok).To(BeFalse())
}
