// Package pipeline decides, for one connection of a caller, which of the pipelined
// requests may be forwarded to a server, and which response may be streamed before it has
// arrived whole.
//
// A streamed response that breaks off ends the connection, since HTTP/1.1 has no other way
// to show it. The responses behind it can then not be delivered. So a request is not
// forwarded while a response ahead of it is streamed, and a response is not streamed while
// requests behind it are forwarded, as long as memory allows to buffer it instead.
package pipeline

// MaxRequests bounds the requests of one connection whose responses have not been written.
const MaxRequests = 32

// Number identifies a request of a connection; later requests have higher numbers.
type Number uint64

// request is the state of one request.
type request struct {
	number    Number
	forwarded bool
	streamed  bool
}

// Pipeline is the state of one connection. The zero value has no requests.
type Pipeline struct {
	requests []request
	last     Number
	closing  bool
}

// Len returns the number of requests whose responses have not been written.
func (p *Pipeline) Len() int { return len(p.requests) }

// HasRoom reports whether a further request may be added, or the connection is closing
// and no one has to wait for room.
func (p *Pipeline) HasRoom() bool { return p.closing || len(p.requests) < MaxRequests }

// Add adds a request. It returns false if the connection is closing: the request then
// counts as not read.
func (p *Pipeline) Add() (Number, bool) {
	if p.closing {
		return 0, false
	}
	p.last++
	p.requests = append(p.requests, request{number: p.last})
	return p.last, true
}

// Decision is whether a request is forwarded.
type Decision uint8

const (
	// Wait: not yet.
	Wait Decision = iota
	// Forwarded: the request is forwarded now.
	Forwarded
	// Dropped: the connection is closing, and the request must not be forwarded.
	Dropped
)

// Forward decides whether a request is forwarded now, and records it if so. memoryScarce is
// set if a response could probably not be buffered; requests are then forwarded one at a
// time.
func (p *Pipeline) Forward(n Number, memoryScarce bool) Decision {
	r := p.find(n)
	if r == nil || p.closing {
		return Dropped
	}
	for _, ahead := range p.requests {
		if ahead.number >= n {
			break
		}
		if ahead.streamed || memoryScarce {
			return Wait
		}
	}
	r.forwarded = true
	return Forwarded
}

// Stream asks whether a response may be streamed before it has arrived whole, and records
// it if so. It may not if requests behind it have been forwarded. force allows it in any
// case and is for a response that cannot be buffered; exposed is the number of forwarded
// requests that lose their responses should it break off.
func (p *Pipeline) Stream(n Number, force bool) (allowed bool, exposed int) {
	r := p.find(n)
	if r == nil {
		return true, 0 // the request has been answered already
	}
	for _, behind := range p.requests {
		if behind.number > n && behind.forwarded {
			exposed++
		}
	}
	if exposed > 0 && !force {
		return false, exposed
	}
	r.streamed = true
	return true, exposed
}

// Done removes a request whose response is about to end the connection or has been written.
func (p *Pipeline) Done(n Number) {
	for i, r := range p.requests {
		if r.number == n {
			p.requests = append(p.requests[:i], p.requests[i+1:]...)
			return
		}
	}
}

// Close begins to close the connection: no further request is added or forwarded.
func (p *Pipeline) Close() { p.closing = true }

// Closing reports whether the connection is closing.
func (p *Pipeline) Closing() bool { return p.closing }

func (p *Pipeline) find(n Number) *request {
	for i := range p.requests {
		if p.requests[i].number == n {
			return &p.requests[i]
		}
	}
	return nil
}
