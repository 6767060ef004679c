package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
)

// keybook holds the ledgers that this process may spend keys of: its own and
// those that stopping daemons handed over. It is safe for concurrent use.
type keybook struct {
	mu      sync.Mutex
	own     *idempotency.Ledger
	ledgers map[model.Incarnation]*idempotency.Ledger
	// retired names the issuers of dropped ledgers. A late repetition of their
	// handover would bring keys back without the marks made since.
	retired map[model.Incarnation]struct{}
	swept   time.Time
	sealed  bool
	waiting map[keyID][]chan fleet.Response
	life    time.Duration
}

// sweepInterval is the shortest time between looks for retired ledgers.
const sweepInterval = time.Second

type keyID struct {
	issuer   model.Incarnation
	sequence uint64
}

func newKeybook(own *idempotency.Ledger, lifetime time.Duration) *keybook {
	return &keybook{
		own:     own,
		ledgers: map[model.Incarnation]*idempotency.Ledger{own.Issuer(): own},
		retired: map[model.Incarnation]struct{}{},
		waiting: map[keyID][]chan fleet.Response{},
		life:    lifetime,
	}
}

func (b *keybook) issue(q fleet.KeysRequest) (fleet.KeysResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.sweep(now)
	keys, err := b.own.Issue(now, idempotency.Scope{Workspace: q.Workspace, Route: q.Route}, q.Count)
	if err != nil {
		return fleet.KeysResponse{}, err
	}
	return fleet.KeysResponse{Keys: keys, ExpiresInMs: b.life.Milliseconds()}, nil
}

// begin checks a key. With idempotency.Wait the channel receives the response
// of the first request.
func (b *keybook) begin(k idempotency.Key, scope idempotency.Scope, fp idempotency.Fingerprint) (idempotency.Verdict, idempotency.Record, <-chan fleet.Response, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.sweep(now)
	ledger, ok := b.ledgers[k.Issuer]
	if !ok {
		return 0, idempotency.Record{}, nil, idempotency.ErrWrongIssuer
	}
	verdict, record, err := ledger.Begin(now, k, scope, fp)
	if err != nil || verdict != idempotency.Wait {
		return verdict, record, nil, err
	}
	id := keyID{issuer: k.Issuer, sequence: k.Sequence}
	wait := make(chan fleet.Response, 1)
	b.waiting[id] = append(b.waiting[id], wait)
	return verdict, record, wait, nil
}

// end records the response of a request that begin let run, and gives it to the
// duplicates that wait. A request that was not run gives its key back.
func (b *keybook) end(k idempotency.Key, r fleet.Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Outcome == model.NotRun {
		b.ledgers[k.Issuer].Release(k.Sequence)
	} else {
		b.ledgers[k.Issuer].Complete(k.Sequence, idempotency.Record{
			Outcome: r.Outcome, Reason: r.Reason, Status: r.Status, Header: r.Header, Body: r.Body,
		})
	}
	id := keyID{issuer: k.Issuer, sequence: k.Sequence}
	for _, wait := range b.waiting[id] {
		wait <- r
	}
	delete(b.waiting, id)
}

// leave ends the wait of a duplicate that gave up. Without it, a caller that
// keeps repeating a slow request would add to the list until the request ends.
func (b *keybook) leave(k idempotency.Key, wait <-chan fleet.Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := keyID{issuer: k.Issuer, sequence: k.Sequence}
	list := slices.DeleteFunc(b.waiting[id], func(w chan fleet.Response) bool { return w == wait })
	if len(list) == 0 {
		delete(b.waiting, id)
		return
	}
	b.waiting[id] = list
}

// sweep drops adopted ledgers that have expired.
func (b *keybook) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepInterval {
		return
	}
	b.swept = now
	for id, l := range b.ledgers {
		if l.Retired(now) {
			delete(b.ledgers, id)
			b.retired[id] = struct{}{}
		}
	}
}

// adoptedBytes returns the size of the answers in adopted ledgers.
func (b *keybook) adoptedBytes() int {
	n := 0
	for _, l := range b.ledgers {
		if l != b.own {
			n += l.Bytes()
		}
	}
	return n
}

// seal stops the issue of keys and the use of unspent ones.
func (b *keybook) seal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
	for _, l := range b.ledgers {
		l.Seal()
	}
}

// export returns all ledgers, sealed, or idempotency.ErrBusy.
func (b *keybook) export() ([]idempotency.ExportedLedger, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []idempotency.ExportedLedger
	for _, l := range b.ledgers {
		x, err := l.Export(time.Now())
		if err != nil {
			return nil, err
		}
		all = append(all, x)
	}
	return all, nil
}

// adopt takes over the ledgers of a stopping daemon. An incarnation that is or
// was known is left as it is, so that a repeated handover changes nothing. The
// answers of all adopted ledgers together stay within limits.MaxBytes. It
// returns idempotency.ErrSealed once this process has begun to hand over.
func (b *keybook) adopt(all []idempotency.ExportedLedger, secrets idempotency.Secrets, limits idempotency.Limits) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sealed {
		return idempotency.ErrSealed
	}
	now := time.Now()
	b.sweep(now)
	for _, x := range all {
		_, known := b.ledgers[x.Issuer]
		_, retired := b.retired[x.Issuer]
		if known || retired {
			continue
		}
		left := limits
		left.MaxBytes = max(0, limits.MaxBytes-b.adoptedBytes())
		b.ledgers[x.Issuer] = idempotency.Adopt(x, secrets, left, now)
	}
	return nil
}

// wait waits for the first request with the same key.
func (b *keybook) wait(ctx context.Context, k idempotency.Key, first <-chan fleet.Response) fleet.Response {
	select {
	case r := <-first:
		return r
	case <-ctx.Done():
		b.leave(k, first)
		return fleet.Unknown(model.ReasonTimeout)
	}
}
