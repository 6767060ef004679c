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

// keyStore holds the ledgers of the keys that this process may accept: its own ledger
// and those that stopping daemons handed over. It is safe for concurrent use.
type keyStore struct {
	mu        sync.Mutex
	ownLedger *idempotency.Ledger
	ledgers   map[model.Incarnation]*idempotency.Ledger
	// retiredIssuers are the issuers of dropped ledgers. If a late repetition of
	// their handover were adopted, keys that were used since the handover would be
	// accepted again.
	retiredIssuers map[model.Incarnation]struct{}
	lastSweep      time.Time
	sealed         bool
	waiters        map[keyID][]chan fleet.Response
	keyLifetime    time.Duration
}

// sweepInterval is the minimum interval between sweeps for expired ledgers.
const sweepInterval = time.Second

// keyID identifies a key within the fleet.
type keyID struct {
	issuer   model.Incarnation
	sequence uint64
}

func newKeyStore(own *idempotency.Ledger, lifetime time.Duration) *keyStore {
	return &keyStore{
		ownLedger:      own,
		ledgers:        map[model.Incarnation]*idempotency.Ledger{own.Issuer(): own},
		retiredIssuers: map[model.Incarnation]struct{}{},
		waiters:        map[keyID][]chan fleet.Response{},
		keyLifetime:    lifetime,
	}
}

// issue issues q.Count keys from this process's own ledger.
func (b *keyStore) issue(q fleet.KeysRequest) (fleet.KeysResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.sweep(now)
	keys, err := b.ownLedger.Issue(now, idempotency.Scope{Workspace: q.Workspace, Route: q.Route}, q.Count)
	if err != nil {
		return fleet.KeysResponse{}, err
	}
	return fleet.KeysResponse{Keys: keys, ExpiresInMs: b.keyLifetime.Milliseconds()}, nil
}

// begin checks a key before a request with it runs. If the verdict is
// idempotency.Wait, the channel receives the response of the first request with the
// key. The error is idempotency.ErrWrongIssuer if the issuer's ledger is not here.
func (b *keyStore) begin(k idempotency.Key, scope idempotency.Scope, fp idempotency.Fingerprint) (idempotency.Verdict, idempotency.Record, <-chan fleet.Response, error) {
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
	b.waiters[id] = append(b.waiters[id], wait)
	return verdict, record, wait, nil
}

// end records the response of a request for which begin returned idempotency.Run, and
// sends it to the waiting duplicates. If the request was not run, the key is released.
func (b *keyStore) end(k idempotency.Key, r fleet.Response) {
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
	for _, wait := range b.waiters[id] {
		wait <- r
	}
	delete(b.waiters, id)
}

// removeWaiter removes a duplicate that stopped waiting. Otherwise a caller that keeps
// repeating a slow request would lengthen the list until the request ends.
func (b *keyStore) removeWaiter(k idempotency.Key, wait <-chan fleet.Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := keyID{issuer: k.Issuer, sequence: k.Sequence}
	list := slices.DeleteFunc(b.waiters[id], func(w chan fleet.Response) bool { return w == wait })
	if len(list) == 0 {
		delete(b.waiters, id)
		return
	}
	b.waiters[id] = list
}

// sweep drops adopted ledgers that have expired.
func (b *keyStore) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < sweepInterval {
		return
	}
	b.lastSweep = now
	for id, l := range b.ledgers {
		if l.Retired(now) {
			delete(b.ledgers, id)
			b.retiredIssuers[id] = struct{}{}
		}
	}
}

// adoptedBytes returns the size of the responses in adopted ledgers, in bytes.
func (b *keyStore) adoptedBytes() int {
	n := 0
	for _, l := range b.ledgers {
		if l != b.ownLedger {
			n += l.Bytes()
		}
	}
	return n
}

// seal makes all ledgers stop issuing keys and accepting unused ones.
func (b *keyStore) seal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
	for _, l := range b.ledgers {
		l.Seal()
	}
}

// export returns the content of all ledgers, which must be sealed. It returns
// idempotency.ErrBusy while a request with a key is in progress.
func (b *keyStore) export() ([]idempotency.ExportedLedger, error) {
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

// adopt takes over the ledgers of a stopping daemon. Ledgers of incarnations that are
// or were known are skipped, so that a repeated handover is idempotent. The responses
// of all adopted ledgers together take at most limits.MaxBytes. adopt returns
// idempotency.ErrSealed once this process has begun its own handover.
func (b *keyStore) adopt(all []idempotency.ExportedLedger, secrets idempotency.Secrets, limits idempotency.Limits) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sealed {
		return idempotency.ErrSealed
	}
	now := time.Now()
	b.sweep(now)
	for _, x := range all {
		_, known := b.ledgers[x.Issuer]
		_, retired := b.retiredIssuers[x.Issuer]
		if known || retired {
			continue
		}
		remaining := limits
		remaining.MaxBytes = max(0, limits.MaxBytes-b.adoptedBytes())
		b.ledgers[x.Issuer] = idempotency.Adopt(x, secrets, remaining, now)
	}
	return nil
}

// waitForFirst returns the response of the first request with the key, or "unknown"
// with the reason timeout if ctx ends before.
func (b *keyStore) waitForFirst(ctx context.Context, k idempotency.Key, first <-chan fleet.Response) fleet.Response {
	select {
	case r := <-first:
		return r
	case <-ctx.Done():
		b.removeWaiter(k, first)
		return fleet.Unknown(model.ReasonTimeout)
	}
}
