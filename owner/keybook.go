package owner

import (
	"context"
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
	waiting map[keyID][]chan fleet.Response
	life    time.Duration
}

type keyID struct {
	issuer   model.Incarnation
	sequence uint64
}

func newKeybook(own *idempotency.Ledger, lifetime time.Duration) *keybook {
	return &keybook{
		own:     own,
		ledgers: map[model.Incarnation]*idempotency.Ledger{own.Issuer(): own},
		waiting: map[keyID][]chan fleet.Response{},
		life:    lifetime,
	}
}

func (b *keybook) issue(q fleet.KeysRequest) (fleet.KeysResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys, err := b.own.Issue(time.Now(), idempotency.Scope{Workspace: q.Workspace, Route: q.Route}, q.Count)
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
	ledger, ok := b.ledgers[k.Issuer]
	if !ok {
		return 0, idempotency.Record{}, nil, idempotency.ErrWrongIssuer
	}
	verdict, record, err := ledger.Begin(time.Now(), k, scope, fp)
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

// seal stops the issue of keys and the use of unspent ones.
func (b *keybook) seal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.ledgers {
		l.Seal()
	}
}

// export returns all ledgers, sealed, or idempotency.ErrBusy.
func (b *keybook) export() ([]idempotency.Exported, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []idempotency.Exported
	for _, l := range b.ledgers {
		x, err := l.Export(time.Now())
		if err != nil {
			return nil, err
		}
		all = append(all, x)
	}
	return all, nil
}

// adopt takes over the ledgers of a stopping daemon. An incarnation that is
// known already is left as it is, so that a repeated handover changes nothing.
func (b *keybook) adopt(all []idempotency.Exported, secrets idempotency.Secrets, limits idempotency.Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range all {
		if _, known := b.ledgers[x.Issuer]; !known {
			b.ledgers[x.Issuer] = idempotency.Adopt(x, secrets, limits, time.Now())
		}
	}
}

// waitResponse waits for the first request with the same key.
func waitResponse(ctx context.Context, wait <-chan fleet.Response) fleet.Response {
	select {
	case r := <-wait:
		return r
	case <-ctx.Done():
		return fleet.Unknown(model.ReasonTimeout)
	}
}
