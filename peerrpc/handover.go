package peerrpc

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/model"
)

const (
	// partBytes is the size at which a part of a handover is closed. With the
	// largest record it stays under MaxMessage.
	partBytes = 512 << 10
	// entryOverhead estimates the JSON of a ledger entry without its record.
	entryOverhead = 200
	// HandoverConnections is the number of connections that parts are spread over. A
	// connection encodes and decodes one message at a time, which takes most of
	// the time of a transfer.
	HandoverConnections = 4
	// partTimeout bounds the answer to one part.
	partTimeout = 2 * time.Second
	// stagedBytes bounds the parts that wait for the rest; the ledger of one
	// daemon holds 64 MB of records by default.
	stagedBytes = 128 << 20
	// stagedFor is how long they wait.
	stagedFor = time.Minute
)

// HandoverPart is a part of the key ledgers of a stopping daemon. The ledgers
// are taken over with the last part only.
type HandoverPart struct {
	From model.Incarnation `json:"from"`
	// To is the incarnation that gets the parts; another one refuses them.
	To      model.Incarnation            `json:"to"`
	Index   int                          `json:"index"`
	Parts   int                          `json:"parts"`
	Ledgers []idempotency.ExportedLedger `json:"ledgers"`
}

// SplitLedgers divides ledgers into parts that fit into a message.
func SplitLedgers(from, to model.Incarnation, all []idempotency.ExportedLedger) []HandoverPart {
	parts := []HandoverPart{{From: from, To: to}}
	size := 0
	for _, ledger := range all {
		entries := ledger.Entries
		ledger.Entries = nil
		last := &parts[len(parts)-1]
		last.Ledgers = append(last.Ledgers, ledger)
		for _, e := range entries {
			if n := entrySize(e); size > 0 && size+n > partBytes {
				parts = append(parts, HandoverPart{From: from, To: to, Ledgers: []idempotency.ExportedLedger{ledger}})
				last, size = &parts[len(parts)-1], 0
			}
			size += entrySize(e)
			x := &last.Ledgers[len(last.Ledgers)-1]
			x.Entries = append(x.Entries, e)
		}
	}
	for i := range parts {
		parts[i].Index, parts[i].Parts = i, len(parts)
	}
	return parts
}

// entrySize estimates the bytes of an entry in JSON; bodies are in base64.
func entrySize(e idempotency.ExportedEntry) int {
	n := entryOverhead + len(e.Record.Body)*4/3
	for k, values := range e.Record.Header {
		n += len(k)
		for _, v := range values {
			n += len(v) + 4
		}
	}
	return n
}

// HandoverResponse is the answer to one part.
type HandoverResponse struct {
	// Taken means that all parts have arrived and the ledgers are taken over.
	Taken bool `json:"taken"`
}

// Handover sends one part and reports whether the peer now holds the ledgers.
// Errors are *CallError.
func (c *Client) Handover(ctx context.Context, to Peer, p HandoverPart) (taken bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	var answer HandoverResponse
	lane := handoverLanes + class(p.Index%HandoverConnections)
	err = c.call(ctx, to, lane, methodHandover, p, &answer)
	return answer.Taken, err
}

// HandoverReceiver collects the parts of handovers. It is safe for concurrent use.
type HandoverReceiver struct {
	self  model.Incarnation
	adopt func([]idempotency.ExportedLedger) error

	mu     sync.Mutex
	staged map[model.Incarnation]*staging
	taken  map[model.Incarnation]bool
	bytes  int
}

type staging struct {
	parts map[int]HandoverPart
	bytes int
	since time.Time
}

// NewHandoverReceiver returns an inbox that passes complete handovers to adopt. If adopt
// fails, it must have taken nothing.
func NewHandoverReceiver(self model.Incarnation, adopt func([]idempotency.ExportedLedger) error) *HandoverReceiver {
	return &HandoverReceiver{self: self, adopt: adopt, staged: map[model.Incarnation]*staging{}, taken: map[model.Incarnation]bool{}}
}

// ReceivePart stores a part, and with the last one takes over the ledgers. A repeated
// part changes nothing. The result says whether all have arrived. It returns
// ErrRefused if the parts are meant for
// another incarnation, are malformed or too many, or cannot be adopted.
func (b *HandoverReceiver) ReceivePart(p HandoverPart) (taken bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.taken[p.From] {
		return true, nil
	}
	b.expire()
	n := partSize(p)
	if p.To != b.self || p.Index < 0 || p.Index >= p.Parts || b.bytes+n > stagedBytes {
		return false, ErrRefused
	}
	s, ok := b.staged[p.From]
	if !ok {
		s = &staging{parts: map[int]HandoverPart{}, since: time.Now()}
		b.staged[p.From] = s
	}
	if _, dup := s.parts[p.Index]; !dup {
		s.parts[p.Index] = p
		s.bytes += n
		b.bytes += n
	}
	if len(s.parts) < p.Parts {
		return false, nil
	}
	b.drop(p.From)
	if err := b.adopt(joinParts(s.parts)); err != nil {
		return false, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	b.taken[p.From] = true
	return true, nil
}

func (b *HandoverReceiver) expire() {
	for id, s := range b.staged {
		if time.Since(s.since) > stagedFor {
			b.drop(id)
		}
	}
}

func (b *HandoverReceiver) drop(id model.Incarnation) {
	b.bytes -= b.staged[id].bytes
	delete(b.staged, id)
}

func partSize(p HandoverPart) int {
	n := 0
	for _, l := range p.Ledgers {
		for _, e := range l.Entries {
			n += entrySize(e)
		}
	}
	return n
}

func joinParts(parts map[int]HandoverPart) []idempotency.ExportedLedger {
	var all []idempotency.ExportedLedger
	index := map[model.Incarnation]int{}
	for i := range len(parts) {
		for _, l := range parts[i].Ledgers {
			if at, ok := index[l.Issuer]; ok {
				all[at].Entries = append(all[at].Entries, l.Entries...)
				continue
			}
			index[l.Issuer] = len(all)
			all = append(all, l)
		}
	}
	return all
}
