package idempotency

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// ExportedEntry is one spent or released key of an exported ledger.
type ExportedEntry struct {
	Sequence    uint64        `json:"sequence"`
	Expiry      time.Duration `json:"expiry"`
	Fingerprint Fingerprint   `json:"fingerprint"`
	Record      Record        `json:"record"`
	// Released is set for a key that may be used again.
	Released bool `json:"released,omitempty"`
	// Use is the number of the key's releases.
	Use uint32 `json:"use,omitempty"`
}

// ExportedLedger is the content of a sealed ledger, for the one successor that
// may spend its remaining keys. Durations are relative to the issuer's start.
type ExportedLedger struct {
	Host   model.HostID      `json:"host"`
	Issuer model.Incarnation `json:"issuer"`
	Age    time.Duration     `json:"age"`
	// Lifetime is the key lifetime that the issuer used. The successor keeps it,
	// so that with other settings it accepts no key whose record it has dropped.
	Lifetime time.Duration   `json:"lifetime"`
	Entries  []ExportedEntry `json:"entries"`
}

// Seal stops the ledger from issuing keys and from marking more keys as spent.
// Duplicates of spent keys are still answered. Sealing is final, because the
// successor may already have taken over.
func (l *Ledger) Seal() { l.sealed = true }

// InProgress returns the number of requests that Begin let run and that have not
// been completed or released.
func (l *Ledger) InProgress() int {
	n := 0
	for _, e := range l.entries {
		if e.state == inProgress {
			n++
		}
	}
	return n
}

// Export returns the content of the ledger. It returns ErrBusy unless the ledger
// is sealed and has no requests in progress.
func (l *Ledger) Export(now time.Time) (ExportedLedger, error) {
	l.expire(now)
	if !l.sealed || l.InProgress() > 0 {
		return ExportedLedger{}, ErrBusy
	}
	x := ExportedLedger{Host: l.host, Issuer: l.issuer, Age: now.Sub(l.issuerStart), Lifetime: l.limits.Lifetime}
	for _, s := range l.spent {
		if e, ok := l.entries[s.sequence]; ok {
			x.Entries = append(x.Entries, ExportedEntry{
				Sequence: s.sequence, Expiry: s.expiry, Fingerprint: e.fingerprint, Record: e.record,
				Released: e.state == released, Use: e.use,
			})
		}
	}
	return x, nil
}

// Adopt returns a ledger with which the successor answers for the keys of an
// exported one. It issues no keys. Responses beyond limits are dropped, but their
// keys stay marked as spent. The transfer time of the export extends the lifetime
// of the keys and of their records equally, so no mark is dropped while its key
// is still accepted.
func Adopt(x ExportedLedger, secrets Secrets, limits Limits, now time.Time) *Ledger {
	limits.Lifetime = x.Lifetime
	l := NewLedger(x.Host, x.Issuer, secrets, limits, now.Add(-x.Age))
	l.adopted, l.lastIssue = true, x.Age
	for _, e := range x.Entries {
		if _, dup := l.entries[e.Sequence]; dup {
			continue
		}
		if l.bytes+e.Record.size() > limits.MaxBytes {
			e.Record = notKept()
		}
		adopted := &entry{fingerprint: e.Fingerprint, state: done, record: e.Record, use: e.Use}
		if e.Released {
			adopted.state = released
		}
		l.entries[e.Sequence] = adopted
		l.bytes += e.Record.size()
		l.spent.push(e.Expiry, e.Sequence)
	}
	return l
}
