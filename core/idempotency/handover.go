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
	// Released is set for a key that may be used again, and Use counts its
	// releases.
	Released bool   `json:"released,omitempty"`
	Use      uint32 `json:"use,omitempty"`
}

// ExportedLedger is a sealed ledger on its way to the one successor that may spend
// its remaining keys. Durations are relative to the issuer's start.
type ExportedLedger struct {
	Host   model.HostID      `json:"host"`
	Issuer model.Incarnation `json:"issuer"`
	Age    time.Duration     `json:"age"`
	// Lifetime is the issuer's, so that a successor with other settings accepts
	// no key whose record it has dropped.
	Lifetime time.Duration   `json:"lifetime"`
	Entries  []ExportedEntry `json:"entries"`
}

// Seal stops the ledger from issuing keys and from marking new ones as spent.
// Duplicates of spent keys are still answered. It cannot be undone, because
// the successor may already have taken over.
func (l *Ledger) Seal() { l.sealed = true }

// InProgress returns the number of requests that were begun and have not ended.
func (l *Ledger) InProgress() int {
	n := 0
	for _, e := range l.entries {
		if e.state == inProgress {
			n++
		}
	}
	return n
}

// Export returns the content of a sealed ledger without requests in progress;
// otherwise ErrBusy.
func (l *Ledger) Export(now time.Time) (ExportedLedger, error) {
	l.expire(now)
	if !l.sealed || l.InProgress() > 0 {
		return ExportedLedger{}, ErrBusy
	}
	x := ExportedLedger{Host: l.host, Issuer: l.issuer, Age: now.Sub(l.origin), Lifetime: l.limits.Lifetime}
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

// Adopt returns the ledger of an exported incarnation at its successor. It
// issues no keys. Responses over limits are not kept, their marks are. The time
// that the export travelled lengthens the keys' lifetime and that of the kept
// records alike, so no mark is dropped while its key is accepted.
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
