package idempotency

import (
	"encoding/base64"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a panic on malformed input, and against two texts that decode to
// the same key.
func FuzzDecode(f *testing.F) {
	secrets := Secrets{[]byte("0123456789abcdef")}
	text, err := secrets.Encode(Key{Host: "host-1", Issuer: "run-1", Sequence: 7, IssuedAt: time.Second}, Scope{Workspace: "w", Route: "r"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, text string) {
		k, err := Decode(text)
		if err != nil {
			return
		}
		again := encodeUnsigned(k)
		if again != text {
			t.Fatalf("%q decodes to the key whose text is %q", text, again)
		}
	})
}

func encodeUnsigned(k Key) string {
	return base64.RawURLEncoding.EncodeToString(append(k.payload(), k.mac[:]...))
}

// Guards against adopted records that exceed the successor's MaxBytes, and against
// an adopted ledger that is dropped while one of its keys may still be used.
func TestAdoptedLedgerRetires(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	limits := Limits{Lifetime: time.Minute, MaxKeys: 10, MaxBytes: 100, MaxRecordBytes: 100}
	secrets := Secrets{[]byte("0123456789abcdef")}
	l := NewLedger("h", "i", secrets, limits, start)
	texts, err := l.Issue(start, Scope{}, 1)
	g.Expect(err).NotTo(HaveOccurred())
	k, err := Decode(texts[0])
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = l.Begin(start, k, Scope{}, Fingerprint{})
	g.Expect(err).NotTo(HaveOccurred())
	l.Complete(k.Sequence, Record{Body: make([]byte, 50)})
	l.Seal()
	x, err := l.Export(start)
	g.Expect(err).NotTo(HaveOccurred())
	adopted := Adopt(x, secrets, Limits{MaxBytes: 40}, start)
	g.Expect(adopted.Bytes()).To(BeZero())
	g.Expect(adopted.Retired(start.Add(time.Minute - 1))).To(BeFalse())
	g.Expect(adopted.Retired(start.Add(time.Minute))).To(BeTrue())
}
