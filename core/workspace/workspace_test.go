package workspace

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
)

func never(Digest) bool { return false }

func need(values ...string) Request {
	return Request{Credentials: ParseCredentials(values), Required: true, Trusted: true}
}

// Guards against a key that is accepted for the wrong workspace, and against a refusal
// that tells the caller that its key is unknown while the host cannot know that.
func TestDecide(t *testing.T) {
	g := NewWithT(t)
	a, b := Workspace{Name: "a", Keys: []Digest{DigestOf("ka"), DigestOf("kab"), DigestOf("kau")}}, Workspace{Name: "b", Keys: []Digest{DigestOf("kb"), DigestOf("kab"), DigestOf("kab")}}
	u := Unreadable{Name: "u", Keys: []Digest{DigestOf("ku"), DigestOf("kau")}}
	table := NewTable(KeysRequired, []Workspace{a, b}, []Unreadable{u})
	stale := need("Bearer ka")
	stale.Trusted = false
	malformed := need("Basic x")
	malformed.Trusted = false
	for _, c := range []struct {
		name    string
		r       Request
		refused model.Reason
		want    model.WorkspaceID
	}{
		{"other key", need("bearer  kb"), model.ReasonNone, "b"},
		{"shared", need("Bearer kab"), model.ReasonUnauthorized, ""},
		{"shared with an unreadable one", need("Bearer kau"), model.ReasonWorkspaceUnreadable, ""},
		{"tab", need("Bearer\tka"), model.ReasonUnauthorized, ""},
		{"not confirmed", stale, model.ReasonConfigUnconfirmed, ""},
		{"malformed, not confirmed", malformed, model.ReasonUnauthorized, ""},
	} {
		d := table.Decide(c.r, never)
		g.Expect(d.Refused).To(Equal(c.refused), c.name)
		g.Expect(d.Workspace != nil).To(Equal(c.want != ""), c.name)
		if c.want != "" {
			g.Expect(d.Workspace.Name).To(Equal(c.want), c.name)
		}
	}
	incomplete := NewTable(KeysRequired, []Workspace{a}, []Unreadable{{Name: "u", KeysUnknown: true}})
	g.Expect(incomplete.Decide(need("Bearer kx"), never).Refused).To(Equal(model.ReasonWorkspaceUnreadable))
	g.Expect(incomplete.Decide(need("Bearer ka"), never).Workspace.Name).To(Equal(model.WorkspaceID("a")))
}

// Guards against a key in unusual credentials that a public route passes on, and against
// other credentials that it withholds.
func TestWithheldCredentials(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(KeysRequired, []Workspace{{Name: "a", Keys: []Digest{DigestOf("ka"), DigestOf("k,=\"")}}}, nil)
	revoked := func(d Digest) bool { return d == DigestOf("old") }
	for value, withheld := range map[string]bool{
		"Bearer ka": true, "ka": true, "Bearer\tka": true, "Basic x, Bearer ka": true, `Token token="ka"`: true, "bearer old": true,
		`Bearer k,="`: true, "Token token=ka": true, "Digest " + strings.Repeat("a=1, ", 25) + "b=ka": true, "x " + strings.Repeat("a ", 3000) + "ka": true,
		"Bearer kb": false, "Digest " + strings.Repeat("a=1, ", 25): false, "Basic a2E6": false, "": false, "Bearer kaa": false,
	} {
		d := table.Decide(Request{Credentials: ParseCredentials([]string{value}), Trusted: true}, revoked)
		g.Expect(d.Withheld).To(Equal([]bool{withheld}), value)
		g.Expect(d.Refused).To(Equal(model.ReasonNone), value)
	}
	many := Request{Credentials: ParseCredentials([]string{strings.Repeat("a ", 3000)})}
	g.Expect(NewTable(KeysUnused, nil, nil).Decide(many, never).Withheld).To(Equal([]bool{false}), "there are no keys")
}

// Guards against remembered keys without bound, and against the latest being forgotten
// before older ones.
func TestTombstones(t *testing.T) {
	g := NewWithT(t)
	tombs := NewTombstones(3)
	table := func(keys ...string) *Table {
		w := Workspace{Name: "a"}
		for _, k := range keys {
			w.Keys = append(w.Keys, DigestOf(k))
		}
		return NewTable(KeysRequired, []Workspace{w}, nil)
	}
	for i := range 10 {
		tombs.Add(table("kept", fmt.Sprint(i)), table("kept", fmt.Sprint(i+1)))
	}
	for i := range 10 {
		g.Expect(tombs.Has(DigestOf(fmt.Sprint(i)))).To(Equal(i >= 7), fmt.Sprint(i))
	}
	g.Expect(tombs.Has(DigestOf("kept"))).To(BeFalse())
	g.Expect(tombs.revoked).To(HaveLen(3))
}

// Guards, in virtual time, against keys that are accepted by an old configuration: with
// the store away, after a freeze, and after one whose end buffered input is read.
func TestGuard(t *testing.T) {
	g := NewWithT(t)
	const second = time.Second
	closed, open := RevocationLimits{Within: 5 * second, FailClosed: true}, RevocationLimits{Within: 5 * second}
	for _, c := range []struct {
		name      string
		limits    RevocationLimits
		wakeAt    time.Duration // zero: no freeze
		confirmed time.Duration // question asked and answered; zero: none
		now, age  time.Duration
		want      Trust
	}{
		{"fresh", closed, 0, 0, 10 * second, second, Trusted},
		{"old, fail closed", closed, 0, 0, 10 * second, 5100 * time.Millisecond, Untrusted},
		{"old, fail open", open, 0, 0, 10 * second, time.Hour, Trusted},
		{"woke", open, 10 * second, 0, 10100 * time.Millisecond, 9 * second, Pending},
		{"woke, buffered confirmation", open, 10 * second, 0, 10100 * time.Millisecond, 0, Pending},
		{"woke, asked before", open, 10 * second, 9 * second, 10100 * time.Millisecond, 0, Pending},
		{"woke, confirmed", open, 10 * second, 10 * second, 10100 * time.Millisecond, 0, Trusted},
		{"woke, nobody answers, fail open", open, 10 * second, 0, 11300 * time.Millisecond, 11 * second, Trusted},
		{"woke, nobody answers, fail closed", closed, 10 * second, 0, 11300 * time.Millisecond, 4 * second, Untrusted},
		{"woke, confirmed later by others", closed, 10 * second, 0, 11300 * time.Millisecond, 500 * time.Millisecond, Trusted},
	} {
		guard := NewGuard(c.limits, 0)
		for now := time.Duration(0); now < c.now; now += 50 * time.Millisecond {
			if c.wakeAt == 0 || now == 0 || now >= c.wakeAt {
				g.Expect(guard.Observe(now)).To(Equal(now > 0 && now == c.wakeAt), c.name)
			}
		}
		if c.confirmed > 0 {
			guard.Confirm(c.confirmed)
		}
		g.Expect(guard.Trust(c.now, c.age)).To(Equal(c.want), c.name)
	}
}

// Guards against metrics without bound, against requests that are counted nowhere, and
// against small workspaces that keep their names while large ones have none.
func TestUsage(t *testing.T) {
	g := NewWithT(t)
	u := NewUsage(3)
	total := uint64(0)
	for round := range 6 {
		for i := range 10 {
			for range 1 + i*i {
				u.Record(model.WorkspaceID(fmt.Sprint("w", i)), Result((i+round)%3))
				total++
			}
		}
		u.Rebalance()
	}
	var names []model.WorkspaceID
	sum := uint64(0)
	other := u.Each(func(name model.WorkspaceID, c Counts) {
		names = append(names, name)
		sum += c[Admitted] + c[OverQuota] + c[Refused]
	})
	g.Expect(names).To(ConsistOf(model.WorkspaceID("w9"), model.WorkspaceID("w8"), model.WorkspaceID("w7")))
	g.Expect(sum + other[Admitted] + other[OverQuota] + other[Refused]).To(Equal(total))
	for range 20 {
		u.Rebalance()
	}
	g.Expect(u.recent).To(BeEmpty())
}
