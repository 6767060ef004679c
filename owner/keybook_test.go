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
	bookLimits  = idempotency.Limits{Lifetime: time.Minute, MaxKeys: 100, MaxBytes: 100, MaxRecordBytes: 100}
	bookSecrets = idempotency.Secrets{[]byte("0123456789abcdef")}
	bookScope   = idempotency.Scope{Workspace: "w", Route: "r"}
)

func newBook(issuer model.Incarnation) *keybook {
	return newKeybook(idempotency.NewLedger("h", issuer, bookSecrets, bookLimits, time.Now()), bookLimits.Lifetime)
}

// spend issues a key and begins a request with it.
func spend(g Gomega, b *keybook) idempotency.Key {
	resp, err := b.issue(fleet.KeysRequest{Workspace: bookScope.Workspace, Route: bookScope.Route, Count: 1})
	g.Expect(err).NotTo(HaveOccurred())
	k, err := idempotency.Decode(resp.Keys[0])
	g.Expect(err).NotTo(HaveOccurred())
	verdict, _, _, err := b.begin(k, bookScope, idempotency.Fingerprint{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(verdict).To(Equal(idempotency.Run))
	return k
}

func exportOf(g Gomega, issuer model.Incarnation, answer int) ([]idempotency.ExportedLedger, idempotency.Key) {
	b := newBook(issuer)
	k := spend(g, b)
	b.end(k, fleet.Response{Outcome: model.Answered, Body: make([]byte, answer)})
	b.seal()
	all, err := b.export()
	g.Expect(err).NotTo(HaveOccurred())
	return all, k
}

// Guards against adopted ledgers that are kept for ever, and against a late
// repetition of a handover that would let a spent key run again.
func TestAdoptedLedgersRetire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all, k := exportOf(g, "old", 10)
		b := newBook("new")
		g.Expect(b.adopt(all, bookSecrets, bookLimits)).To(Succeed())
		verdict, _, _, err := b.begin(k, bookScope, idempotency.Fingerprint{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(verdict).To(Equal(idempotency.Replay))
		time.Sleep(bookLimits.Lifetime)
		_, _, _, err = b.begin(k, bookScope, idempotency.Fingerprint{})
		g.Expect(err).To(MatchError(idempotency.ErrWrongIssuer))
		g.Expect(b.ledgers).To(HaveLen(1))
		g.Expect(b.adopt(all, bookSecrets, bookLimits)).To(Succeed())
		g.Expect(b.ledgers).To(HaveLen(1))
	})
}

// Guards against answers of adopted ledgers that grow with the number of
// daemons that stop, and against marks that are dropped to make room.
func TestAdoptedAnswersAreBounded(t *testing.T) {
	g := NewWithT(t)
	b := newBook("new")
	var keys []idempotency.Key
	for _, issuer := range []model.Incarnation{"a", "b", "c"} {
		all, k := exportOf(g, issuer, 60)
		g.Expect(b.adopt(all, bookSecrets, bookLimits)).To(Succeed())
		keys = append(keys, k)
	}
	g.Expect(b.adoptedBytes()).To(BeNumerically("<=", bookLimits.MaxBytes))
	for i, k := range keys {
		verdict, record, _, err := b.begin(k, bookScope, idempotency.Fingerprint{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(verdict).To(Equal(idempotency.Replay))
		g.Expect(record.Outcome == model.Answered).To(Equal(i == 0))
	}
}

// Guards against a ledger that a stopping daemon takes over and loses.
func TestSealedBookAdoptsNothing(t *testing.T) {
	g := NewWithT(t)
	all, _ := exportOf(g, "old", 0)
	b := newBook("new")
	b.seal()
	g.Expect(b.adopt(all, bookSecrets, bookLimits)).To(MatchError(idempotency.ErrSealed))
	exported, err := b.export()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(exported).To(HaveLen(1))
}

// Guards against a list of waiting duplicates that a caller can grow by
// repeating a slow request.
func TestDuplicatesThatGaveUpAreForgotten(t *testing.T) {
	g := NewWithT(t)
	b := newBook("run")
	k := spend(g, b)
	for range 10 {
		_, _, first, err := b.begin(k, bookScope, idempotency.Fingerprint{})
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		g.Expect(b.wait(ctx, k, first).Outcome).To(Equal(model.Unknown))
	}
	g.Expect(b.waiting).To(BeEmpty())
}

// Guards against "not run" said with a key whose operation may have run.
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
