package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
)

var (
	testLimits  = idempotency.Limits{Lifetime: time.Minute, MaxKeys: 100, MaxBytes: 100, MaxRecordBytes: 100}
	testSecrets = idempotency.Secrets{[]byte("0123456789abcdef")}
	testScope   = idempotency.Scope{Workspace: "w", Route: "r"}
)

func newTestKeyStore(issuer model.Incarnation) *keyStore {
	return newKeyStore(idempotency.NewLedger("h", issuer, testSecrets, testLimits, time.Now()), testLimits.Lifetime)
}

// issueAndBegin issues a key and begins a request with it.
func issueAndBegin(g Gomega, b *keyStore) idempotency.Key {
	resp, err := b.issue(fleet.KeysRequest{Workspace: testScope.Workspace, Route: testScope.Route, Count: 1})
	g.Expect(err).NotTo(HaveOccurred())
	k, err := idempotency.Decode(resp.Keys[0])
	g.Expect(err).NotTo(HaveOccurred())
	verdict, _, _, err := b.begin(k, testScope, idempotency.Fingerprint{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(verdict).To(Equal(idempotency.Run))
	return k
}

// exportLedger returns the exported ledger of an issuer with one used key, whose
// response has a body of bodyBytes bytes.
func exportLedger(g Gomega, issuer model.Incarnation, bodyBytes int) ([]idempotency.ExportedLedger, idempotency.Key) {
	b := newTestKeyStore(issuer)
	k := issueAndBegin(g, b)
	b.end(k, fleet.Response{Outcome: model.Answered, Body: make([]byte, bodyBytes)})
	b.seal()
	all, err := b.export()
	g.Expect(err).NotTo(HaveOccurred())
	return all, k
}

// Guards against adopted ledgers that are never dropped, and against a late repetition
// of a handover after which a used key would be accepted again.
func TestAdoptedLedgersRetire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all, k := exportLedger(g, "old", 10)
		b := newTestKeyStore("new")
		g.Expect(b.adopt(all, testSecrets, testLimits)).To(Succeed())
		verdict, _, _, err := b.begin(k, testScope, idempotency.Fingerprint{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(verdict).To(Equal(idempotency.Replay))
		time.Sleep(testLimits.Lifetime)
		_, _, _, err = b.begin(k, testScope, idempotency.Fingerprint{})
		g.Expect(err).To(MatchError(idempotency.ErrWrongIssuer))
		g.Expect(b.ledgers).To(HaveLen(1))
		g.Expect(b.adopt(all, testSecrets, testLimits)).To(Succeed())
		g.Expect(b.ledgers).To(HaveLen(1))
	})
}

// Guards against responses in adopted ledgers that take more memory with every daemon
// that stops, and against used keys that are forgotten to make room.
func TestAdoptedAnswersAreBounded(t *testing.T) {
	g := NewWithT(t)
	b := newTestKeyStore("new")
	var keys []idempotency.Key
	for _, issuer := range []model.Incarnation{"a", "b", "c"} {
		all, k := exportLedger(g, issuer, 60)
		g.Expect(b.adopt(all, testSecrets, testLimits)).To(Succeed())
		keys = append(keys, k)
	}
	g.Expect(b.adoptedBytes()).To(BeNumerically("<=", testLimits.MaxBytes))
	for i, k := range keys {
		verdict, record, _, err := b.begin(k, testScope, idempotency.Fingerprint{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(verdict).To(Equal(idempotency.Replay))
		g.Expect(record.Outcome == model.Answered).To(Equal(i == 0))
	}
}

// Guards against a ledger that a stopping daemon adopts, and that is lost when it
// stops.
func TestSealedKeyStoreAdoptsNothing(t *testing.T) {
	g := NewWithT(t)
	all, _ := exportLedger(g, "old", 0)
	b := newTestKeyStore("new")
	b.seal()
	g.Expect(b.adopt(all, testSecrets, testLimits)).To(MatchError(idempotency.ErrSealed))
	exported, err := b.export()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(exported).To(HaveLen(1))
}

// Guards against a list of waiting duplicates that grows without bound while a caller
// repeats a slow request.
func TestCancelledDuplicatesAreRemoved(t *testing.T) {
	g := NewWithT(t)
	b := newTestKeyStore("run")
	k := issueAndBegin(g, b)
	for range 10 {
		_, _, first, err := b.begin(k, testScope, idempotency.Fingerprint{})
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		g.Expect(b.waitForFirst(ctx, k, first).Outcome).To(Equal(model.Unknown))
	}
	g.Expect(b.waiters).To(BeEmpty())
}

// Guards against "not run" for a key with which a request may have run.
func TestKeyFailureOutcomes(t *testing.T) {
	g := NewWithT(t)
	for _, err := range []error{
		idempotency.ErrMismatch, idempotency.ErrUnverified, idempotency.ErrExpired, idempotency.ErrWrongIssuer, idempotency.ErrSealed,
	} {
		g.Expect(keyFailure(err).Outcome).To(Equal(model.Unknown), err.Error())
	}
	for _, err := range []error{idempotency.ErrForged, idempotency.ErrMalformed} {
		g.Expect(keyFailure(err).Outcome).To(Equal(model.NotRun), err.Error())
	}
}
