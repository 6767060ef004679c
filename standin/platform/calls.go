package platform

import "sync/atomic"

// Calls counts the clients' calls through all endpoints. A call is counted when
// it arrives, also if it then fails.
type Calls struct {
	Gets    int64 `json:"gets"`
	Puts    int64 `json:"puts"`
	Deletes int64 `json:"deletes"`
	Lists   int64 `json:"lists"`
	Watches int64 `json:"watches"`
	Hosts   int64 `json:"hosts"`
	// Limited is the number of these calls that exceeded a rate limit.
	Limited int64 `json:"limited"`
	// Waiting is the number of watches in progress.
	Waiting int64 `json:"waiting"`
	// ValueBytesIn and ValueBytesOut are the bytes of request and response bodies
	// that were read and sent, without headers.
	ValueBytesIn  int64 `json:"valueBytesIn"`
	ValueBytesOut int64 `json:"valueBytesOut"`
}

// Total returns the number of calls. Each watch counts as one.
func (c Calls) Total() int64 {
	return c.Gets + c.Puts + c.Deletes + c.Lists + c.Watches + c.Hosts
}

type callKind int

const (
	callGet callKind = iota
	callPut
	callDelete
	callList
	callWatch
	callHosts
	callLimited
	numCallKinds
)

type counters struct {
	kinds          [numCallKinds]atomic.Int64
	waitingWatches atomic.Int64
	valueBytesIn   atomic.Int64
	valueBytesOut  atomic.Int64
}

func (c *counters) add(k callKind)  { c.kinds[k].Add(1) }
func (c *counters) waiting(n int64) { c.waitingWatches.Add(n) }
func (c *counters) received(n int)  { c.valueBytesIn.Add(int64(n)) }
func (c *counters) sent(n int)      { c.valueBytesOut.Add(int64(n)) }

func (c *counters) read() Calls {
	return Calls{
		Gets:          c.kinds[callGet].Load(),
		Puts:          c.kinds[callPut].Load(),
		Deletes:       c.kinds[callDelete].Load(),
		Lists:         c.kinds[callList].Load(),
		Watches:       c.kinds[callWatch].Load(),
		Hosts:         c.kinds[callHosts].Load(),
		Limited:       c.kinds[callLimited].Load(),
		Waiting:       c.waitingWatches.Load(),
		ValueBytesIn:  c.valueBytesIn.Load(),
		ValueBytesOut: c.valueBytesOut.Load(),
	}
}
