package idempotency

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/model"
)

// oracleState is the expected state of a key.
type oracleState int

const (
	unspent oracleState = iota
	running
	recorded
)

// oracleKey is an issued key with the expected state of its operation.
type oracleKey struct {
	text        string
	scope       Scope
	issued      time.Time
	secret      byte
	state       oracleState
	fingerprint Fingerprint
	record      Record
	holder      *oracleLedger // the ledger at which it was begun
	late        bool          // the request ended after the key's expiry
	use         uint32        // number of releases
}

// oracleLedger is a ledger under test. exportDelay is the total transfer time of
// the exports that led to its adoption, by which its clock is behind.
type oracleLedger struct {
	ledger      *Ledger
	exportDelay time.Duration
	secrets     []byte
	limits      Limits
	sealed      bool
	adopted     bool
}

// machine drives the ledger of one incarnation and the ledgers that adopt it.
type machine struct {
	now      time.Time
	lifetime time.Duration
	ledgers  []*oracleLedger // in order of adoption; only the last one may spend keys
	keys     []*oracleKey
}

func testSecret(b byte) []byte { return []byte{b, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15} }

func testSecrets(names []byte) Secrets {
	var s Secrets
	for _, b := range names {
		s = append(s, testSecret(b))
	}
	return s
}

func newMachine(t *rapid.T) *machine {
	m := &machine{now: time.Unix(1_000_000, 0), lifetime: 10 * time.Second}
	limits := Limits{Lifetime: m.lifetime, MaxKeys: 12, MaxBytes: 40, MaxRecordBytes: 16}
	names := []byte{1}
	m.ledgers = []*oracleLedger{{
		ledger:  NewLedger("host-1", "run-1", testSecrets(names), limits, m.now),
		secrets: names, limits: limits,
	}}
	return m
}

func (m *machine) last() *oracleLedger { return m.ledgers[len(m.ledgers)-1] }

func (m *machine) expired(k *oracleKey, l *oracleLedger) bool {
	return m.now.Sub(k.issued)-l.exportDelay >= m.lifetime
}

func (m *machine) drawKey(t *rapid.T) *oracleKey {
	if len(m.keys) == 0 {
		t.Skip("no keys")
	}
	return m.keys[rapid.IntRange(0, len(m.keys)-1).Draw(t, "key")]
}

func (m *machine) Issue(t *rapid.T) {
	l := m.last()
	scope := Scope{Workspace: model.WorkspaceID(rapid.SampledFrom([]string{"a", "ab"}).Draw(t, "workspace")), Route: "bc"}
	n := rapid.IntRange(1, 5).Draw(t, "n")
	live := 0
	for _, k := range m.keys {
		if !m.expired(k, l) {
			live++
		}
	}
	texts, err := l.ledger.Issue(m.now, scope, n)
	switch {
	case l.sealed || l.adopted:
		if !errors.Is(err, ErrSealed) {
			t.Fatalf("Issue of a sealed or adopted ledger returned %v; want ErrSealed", err)
		}
		return
	case live+n > l.limits.MaxKeys || l.ledger.bytes+l.limits.MaxRecordBytes > l.limits.MaxBytes:
		if !errors.Is(err, ErrLedgerFull) {
			t.Fatalf("%d of %d keys unexpired, %d bytes recorded, and Issue of %d more returned %v; want ErrLedgerFull", live, l.limits.MaxKeys, l.ledger.bytes, n, err)
		}
		return
	case errors.Is(err, ErrLedgerFull) && m.issuedWithin(m.lifetime+2*bucketWidth)+n > l.limits.MaxKeys:
		return // keys are counted in buckets, which count them for some time after their expiry
	case err != nil:
		t.Fatalf("%d of %d keys unexpired, and %d more were refused: %v", live, l.limits.MaxKeys, n, err)
	}
	for _, text := range texts {
		m.keys = append(m.keys, &oracleKey{text: text, scope: scope, issued: m.now, secret: l.secrets[0]})
	}
}

func (m *machine) issuedWithin(d time.Duration) int {
	n := 0
	for _, k := range m.keys {
		if m.now.Sub(k.issued) <= d {
			n++
		}
	}
	return n
}

// Begin uses a key at any of the ledgers, in its own scope or another.
func (m *machine) Begin(t *rapid.T) {
	k := m.drawKey(t)
	l := m.ledgers[rapid.IntRange(0, len(m.ledgers)-1).Draw(t, "ledger")]
	fp := Fingerprint{byte(rapid.IntRange(0, 1).Draw(t, "content"))}
	scope := k.scope
	if rapid.IntRange(0, 4).Draw(t, "wrong scope") == 0 {
		// The same concatenation of workspace and route, split elsewhere.
		scope = map[model.WorkspaceID]Scope{"a": {Workspace: "ab", Route: "c"}, "ab": {Workspace: "a", Route: "bbc"}}[k.scope.Workspace]
	}
	key, err := Decode(k.text)
	if err != nil {
		t.Fatalf("an issued key is malformed: %v", err)
	}
	key.Use = k.use
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 && k.use > 0 {
		key.Use = uint32(rapid.IntRange(0, int(k.use)-1).Draw(t, "use"))
	}
	verdict, record, err := l.ledger.Begin(m.now, key, scope, fp)
	if key.Use != k.use {
		m.checkStale(t, verdict, err)
		return
	}
	authentic := scope == k.scope && contains(l.secrets, k.secret)
	m.check(t, k, l, authentic, fp, verdict, record, err)
}

// checkStale checks that a request made before the key's release does not run. It
// may receive the response of another request.
func (m *machine) checkStale(t *rapid.T, verdict Verdict, err error) {
	if err == nil && verdict == Run {
		t.Fatalf("a request from before the release ran")
	}
}

func contains(list []byte, b byte) bool {
	for _, x := range list {
		if x == b {
			return true
		}
	}
	return false
}

// check compares the result of Begin with what the oracle allows.
func (m *machine) check(t *rapid.T, k *oracleKey, l *oracleLedger, authentic bool, fingerprint Fingerprint, verdict Verdict, record Record, err error) {
	spent := k.state != unspent && (k.holder == l || m.holdsMark(l, k))
	expired := m.expired(k, l)
	switch {
	case !authentic && (spent || expired):
		if !errors.Is(err, ErrUnverified) && !(expired && errors.Is(err, ErrForged)) {
			t.Fatalf("spent=%t expired=%t key that is not authentic: %v", spent, expired, err)
		}
		if spent && !expired && !errors.Is(err, ErrUnverified) {
			t.Fatalf("a spent key is reported as never spent: %v", err)
		}
	case !authentic:
		if !errors.Is(err, ErrForged) {
			t.Fatalf("unspent key that is not authentic: verdict %d, %v", verdict, err)
		}
	case spent && expired && k.state == recorded && errors.Is(err, ErrExpired):
	case spent && fingerprint != k.fingerprint:
		if !errors.Is(err, ErrMismatch) {
			t.Fatalf("spent key with a different request: verdict %d, %v", verdict, err)
		}
	case spent && k.state == running:
		if verdict != Wait || err != nil {
			t.Fatalf("duplicate of a request in progress: verdict %d, %v", verdict, err)
		}
	case spent:
		if verdict != Replay || err != nil || !sameRecord(record, k.record) {
			t.Fatalf("duplicate of a completed request: verdict %d, %+v, %v; want %+v", verdict, record, err, k.record)
		}
	case expired:
		if !errors.Is(err, ErrExpired) {
			t.Fatalf("expired key: verdict %d, %v", verdict, err)
		}
	case l.sealed:
		if !errors.Is(err, ErrSealed) {
			t.Fatalf("unspent key at a sealed ledger: verdict %d, %v", verdict, err)
		}
	default:
		if verdict != Run || err != nil {
			t.Fatalf("unspent key: verdict %d, %v", verdict, err)
		}
		if k.state != unspent {
			t.Fatalf("a spent key ran again")
		}
		k.state, k.fingerprint, k.holder = running, fingerprint, l
	}
}

// sameRecord also accepts a response that was dropped for lack of space, which may
// happen at each adoption.
func sameRecord(got, want Record) bool {
	return reflect.DeepEqual(got, want) || reflect.DeepEqual(got, notKept())
}

// holdsMark reports whether a ledger has the mark of a key that was begun at it or
// at one of its predecessors.
func (m *machine) holdsMark(l *oracleLedger, k *oracleKey) bool {
	began, here := -1, -1
	for i, x := range m.ledgers {
		if x == k.holder {
			began = i
		}
		if x == l {
			here = i
		}
	}
	return began >= 0 && began <= here
}

func (m *machine) drawRunning(t *rapid.T) (*oracleKey, Key) {
	var list []*oracleKey
	for _, k := range m.keys {
		if k.state == running {
			list = append(list, k)
		}
	}
	if len(list) == 0 {
		t.Skip("no request in progress")
	}
	k := list[rapid.IntRange(0, len(list)-1).Draw(t, "running")]
	key, err := Decode(k.text)
	if err != nil {
		t.Fatal(err)
	}
	return k, key
}

func (m *machine) Complete(t *rapid.T) {
	k, key := m.drawRunning(t)
	r := Record{Outcome: model.Answered, Status: 200, Body: make([]byte, rapid.IntRange(0, 20).Draw(t, "bytes"))}
	if rapid.Bool().Draw(t, "header") {
		r.Header = map[string][]string{"Name": {"value"}}
	}
	before := k.holder.ledger.bytes
	k.holder.ledger.Complete(key.Sequence, r)
	size := len(r.Body)
	if r.Header != nil {
		size += len("Name") + len("value")
	}
	if size > k.holder.limits.MaxRecordBytes || before+size > k.holder.limits.MaxBytes {
		r = notKept()
	}
	k.state, k.record, k.late = recorded, r, m.expired(k, k.holder)
}

func (m *machine) Release(t *rapid.T) {
	k, key := m.drawRunning(t)
	k.holder.ledger.Release(key.Sequence)
	k.state, k.holder = unspent, nil
	k.use++
}

func (m *machine) Advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 500, 1000, 3000, 11000}).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) Seal(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "seal") == 0 {
		m.last().ledger.Seal()
		m.last().sealed = true
	}
}

// Handover exports the last ledger to a successor with other settings.
func (m *machine) Handover(t *rapid.T) {
	l := m.last()
	x, err := l.ledger.Export(m.now)
	busy := !l.sealed
	for _, k := range m.keys {
		busy = busy || k.state == running && k.holder == l
	}
	if busy {
		if !errors.Is(err, ErrBusy) {
			t.Fatalf("export of a ledger that is not sealed or has requests in progress: %v; want ErrBusy", err)
		}
		return
	}
	if err != nil {
		t.Fatalf("export: %v", err)
	}
	travel := time.Duration(rapid.SampledFrom([]int{0, 20, 2000}).Draw(t, "travel")) * time.Millisecond
	m.now = m.now.Add(travel)
	next := &oracleLedger{
		exportDelay: l.exportDelay + travel, adopted: true,
		secrets: rapid.SampledFrom([][]byte{{1}, {2, 1}, {2}}).Draw(t, "secrets"),
		limits:  Limits{Lifetime: rapid.SampledFrom([]time.Duration{time.Second, time.Hour}).Draw(t, "lifetime"), MaxKeys: 1, MaxBytes: rapid.SampledFrom([]int{0, 20, 64}).Draw(t, "max bytes"), MaxRecordBytes: 16},
	}
	next.ledger = Adopt(x, testSecrets(next.secrets), next.limits, m.now)
	m.ledgers = append(m.ledgers, next)
}

// Forge changes or truncates a genuine key. No ledger may accept it.
func (m *machine) Forge(t *rapid.T) {
	k := m.drawKey(t)
	raw := []byte(k.text)
	if rapid.Bool().Draw(t, "cut") {
		raw = raw[:rapid.IntRange(0, len(raw)-1).Draw(t, "length")]
	} else {
		i := rapid.IntRange(0, len(raw)-1).Draw(t, "at")
		raw[i] = rapid.SampledFrom([]byte("AZaz09-_=\n")).Filter(func(b byte) bool { return b != k.text[i] }).Draw(t, "byte")
	}
	key, err := Decode(string(raw))
	if err != nil {
		return
	}
	for _, l := range m.ledgers {
		verdict, _, err := l.ledger.Begin(m.now, key, k.scope, k.fingerprint)
		if err == nil {
			t.Fatalf("a forged key was accepted with verdict %d", verdict)
		}
	}
}

// Check runs after every step. It checks the limits on memory, the accounting of
// record sizes, and that a retired ledger has no usable key.
func (m *machine) Check(t *rapid.T) {
	for _, l := range m.ledgers {
		size := 0
		for _, e := range l.ledger.entries {
			size += e.record.size()
		}
		if size != l.ledger.bytes || size > l.limits.MaxBytes {
			t.Fatalf("%d bytes are recorded, %d counted, %d allowed", size, l.ledger.bytes, l.limits.MaxBytes)
		}
		if n := len(l.ledger.entries); n > len(l.ledger.spent) {
			t.Fatalf("%d spent keys, of which only %d have an expiry queued", n, len(l.ledger.spent))
		}
		if l.adopted && l.ledger.Retired(m.now) {
			m.checkRetired(t, l)
		}
	}
}

func (m *machine) checkRetired(t *rapid.T, l *oracleLedger) {
	for _, k := range m.keys {
		if !m.expired(k, l) || k.state == running && k.holder == l {
			t.Fatalf("a ledger was retired although its key %s can still be used", k.text)
		}
	}
}

// Guards against a request that runs twice or after its key's expiry, a spent mark
// or record that is dropped while its key is accepted, and a ledger beyond its
// limits.
func TestLedgerMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
	})
}
