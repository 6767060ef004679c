package idempotency

import (
	"errors"
	"fmt"
	"time"

	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/model"
)

var (
	// ErrLedgerFull is returned by Issue until issued keys or records expire.
	ErrLedgerFull = errors.New("idempotency key ledger is full")
	// ErrSealed is returned by a ledger that is sealed for a handover; its successor
	// accepts the key. Issue also returns it for an adopted ledger.
	ErrSealed = errors.New("idempotency key ledger is sealed")
	// ErrExpired is returned for a key whose lifetime is over.
	ErrExpired = errors.New("idempotency key has expired")
	// ErrMismatch is returned for a key that was spent on a different request.
	ErrMismatch = errors.New("idempotency key was used with a different request")
	// ErrWrongIssuer is returned for a key that another incarnation issued.
	ErrWrongIssuer = errors.New("idempotency key belongs to another incarnation")
	// ErrBusy is returned by Export if the ledger is not sealed or has requests in
	// progress.
	ErrBusy = errors.New("idempotency key ledger has requests in progress")
)

// ReleasedError is returned for a request that was made before the key's latest
// release. The release told the caller that the operation had not run; a request
// delayed by the network must not run it afterwards. A request that is still
// wanted is retried with the current use.
type ReleasedError struct {
	// Use is the number of the key's releases so far.
	Use uint32
}

// Error implements error.
func (e *ReleasedError) Error() string {
	return fmt.Sprintf("idempotency key has been released %d times since it was issued", e.Use)
}

// Limits bounds the size of a ledger and the lifetime of its keys.
type Limits struct {
	// Lifetime of a key from its issue. The default is 15 minutes.
	Lifetime time.Duration
	// MaxKeys is the largest number of unexpired keys, spent or not.
	MaxKeys int
	// MaxBytes bounds the total size of the recorded responses, bodies and headers.
	MaxBytes int
	// MaxRecordBytes bounds the size of one recorded response, body and headers.
	MaxRecordBytes int
}

// DefaultLimits holds the defaults: at 170 spent keys a second and 15 minutes,
// 153,000 keys are unexpired.
var DefaultLimits = Limits{
	Lifetime:       15 * time.Minute,
	MaxKeys:        200_000,
	MaxBytes:       64 << 20,
	MaxRecordBytes: 64 << 10,
}

// Fingerprint identifies the content of a request: method, path and body.
type Fingerprint [16]byte

// Record is the recorded response, which duplicates of the request receive.
type Record struct {
	Outcome model.Outcome       `json:"outcome"`
	Reason  model.Reason        `json:"reason,omitempty"`
	Status  int                 `json:"status"`
	Header  map[string][]string `json:"header,omitempty"`
	Body    []byte              `json:"body,omitempty"`
}

// size returns the number of bytes that count towards the ledger's limits.
func (r Record) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// notKept returns the record stored in place of a response that exceeds the
// ledger's limits.
func notKept() Record {
	return Record{Outcome: model.Unknown, Reason: model.ReasonAnswerNotKept}
}

// Verdict says how to handle a request that carries a valid key.
type Verdict uint8

const (
	// Run means that the key is now marked as spent. The request must be
	// dispatched, followed by a call of Complete or Release.
	Run Verdict = iota + 1
	// Wait means that the first request with this key is in progress.
	Wait
	// Replay means that the recorded response is to be returned.
	Replay
)

type entryState uint8

const (
	inProgress entryState = iota
	done
	released
)

type entry struct {
	fingerprint Fingerprint
	state       entryState
	record      Record
	use         uint32 // number of releases
}

// Ledger holds the spent keys of one incarnation. Unspent keys need no state. It
// is not safe for concurrent use.
type Ledger struct {
	host        model.HostID
	issuer      model.Incarnation
	secrets     Secrets
	limits      Limits
	issuerStart time.Time // on this process's clock
	sequence    uint64
	// lastIssue is the latest time, relative to issuerStart, at which a key of an
	// adopted ledger may have been issued.
	lastIssue time.Duration
	sealed    bool
	adopted   bool

	entries map[uint64]*entry
	bytes   int
	issued  issueWindow
	spent   spentQueue
}

// NewLedger returns the empty ledger of an incarnation that starts now.
func NewLedger(host model.HostID, issuer model.Incarnation, secrets Secrets, limits Limits, now time.Time) *Ledger {
	return &Ledger{host: host, issuer: issuer, secrets: secrets, limits: limits, issuerStart: now, entries: map[uint64]*entry{}}
}

// Issuer returns the incarnation that issued the ledger's keys.
func (l *Ledger) Issuer() model.Incarnation { return l.issuer }

// Len returns the number of spent, unexpired keys.
func (l *Ledger) Len() int { return len(l.entries) }

// Retired reports whether an adopted ledger can be dropped because all keys of
// its issuer and all its records have expired.
func (l *Ledger) Retired(now time.Time) bool {
	l.expire(now)
	return l.adopted && len(l.entries) == 0 && now.Sub(l.issuerStart) >= l.lastIssue+l.limits.Lifetime
}

// Bytes returns the size of the recorded responses.
func (l *Ledger) Bytes() int { return l.bytes }

// Issue returns n new keys for scope, or ErrLedgerFull or ErrSealed. It also
// returns ErrLedgerFull while there is no room for one more record of the largest
// size, because the responses to requests with the new keys could not be kept.
func (l *Ledger) Issue(now time.Time, scope Scope, n int) ([]string, error) {
	l.expire(now)
	if l.sealed || l.adopted {
		return nil, ErrSealed
	}
	if n > l.limits.MaxKeys-l.issued.count() || l.bytes+min(l.limits.MaxRecordBytes, l.limits.MaxBytes) > l.limits.MaxBytes {
		return nil, ErrLedgerFull
	}
	keys := make([]string, n)
	for i := range keys {
		l.sequence++
		k := Key{Host: l.host, Issuer: l.issuer, Sequence: l.sequence, IssuedAt: now.Sub(l.issuerStart)}
		text, err := l.secrets.Encode(k, scope)
		if err != nil {
			return nil, err
		}
		keys[i] = text
	}
	l.issued.add(now.Sub(l.issuerStart), n)
	return keys, nil
}

// Begin checks a key and marks it as spent if the verdict is Run. The record is
// set only for Replay. Errors are ErrWrongIssuer, ErrForged, ErrUnverified,
// ErrExpired, ErrSealed, ErrMismatch and *ReleasedError; on an error the key is
// not marked.
func (l *Ledger) Begin(now time.Time, k Key, scope Scope, fp Fingerprint) (Verdict, Record, error) {
	l.expire(now)
	if k.Issuer != l.issuer {
		return 0, Record{}, ErrWrongIssuer
	}
	e, known := l.entries[k.Sequence]
	spent := known && e.state != released
	expired := now.Sub(l.issuerStart) >= k.IssuedAt+l.limits.Lifetime
	if err := l.secrets.Verify(k, scope); err != nil {
		if spent || expired {
			err = ErrUnverified
		}
		return 0, Record{}, err
	}
	if spent {
		return l.duplicate(e, fp)
	}
	if expired {
		return 0, Record{}, ErrExpired
	}
	if l.sealed {
		return 0, Record{}, ErrSealed
	}
	var use uint32
	if known {
		use = e.use
	}
	if k.Use != use {
		return 0, Record{}, &ReleasedError{Use: use}
	}
	l.entries[k.Sequence] = &entry{fingerprint: fp, use: use}
	if !known {
		l.spent.push(k.IssuedAt+l.limits.Lifetime, k.Sequence)
	}
	return Run, Record{}, nil
}

func (l *Ledger) duplicate(e *entry, fp Fingerprint) (Verdict, Record, error) {
	switch {
	case e.fingerprint != fp:
		return 0, Record{}, ErrMismatch
	case e.state == inProgress:
		return Wait, Record{}, nil
	}
	return Replay, e.record, nil
}

// Complete records the response to a request that Begin let run. A response over
// the limits is not kept, and duplicates then get the outcome unknown.
func (l *Ledger) Complete(sequence uint64, r Record) {
	e, ok := l.inProgressEntry(sequence)
	if !ok {
		return
	}
	if r.size() > l.limits.MaxRecordBytes || l.bytes+r.size() > l.limits.MaxBytes {
		r = notKept()
	}
	e.state, e.record = done, r
	l.bytes += r.size()
}

// Release removes the spent mark of a request that certainly did not run, so that
// the caller may use the key again. Requests made before the release can no
// longer run.
func (l *Ledger) Release(sequence uint64) {
	if e, ok := l.inProgressEntry(sequence); ok {
		e.state = released
		e.use++
	}
}

func (l *Ledger) inProgressEntry(sequence uint64) (*entry, bool) {
	e, ok := l.entries[sequence]
	ok = ok && e.state == inProgress
	invariant.Check(ok, invariant.KeyLedger, "key %d ended without a request in progress", sequence)
	return e, ok
}

// expire drops the keys and records past their lifetime. A request in progress
// keeps its mark until it ends, because a late duplicate must not run.
func (l *Ledger) expire(now time.Time) {
	age := now.Sub(l.issuerStart)
	l.issued.expire(age - l.limits.Lifetime)
	for {
		sequence, ok := l.spent.popExpired(age)
		if !ok {
			return
		}
		e, ok := l.entries[sequence]
		if !ok {
			continue
		}
		if e.state == inProgress {
			l.spent.push(age+l.limits.Lifetime, sequence)
			continue
		}
		l.bytes -= e.record.size()
		delete(l.entries, sequence)
	}
}
