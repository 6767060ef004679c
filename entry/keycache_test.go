package entry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/model"
)

// Guards against handing one key to two callers, handing out expired keys or keys
// of a lost issuer, and a cache that grows with the workspaces that callers name.
func TestKeyCache(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	secrets := idempotency.Secrets{[]byte("secret")}
	scope := idempotency.Scope{Workspace: "w", Route: "r"}
	keys := func(host string, n int) []string {
		ledger := idempotency.NewLedger(model.HostID(host), "i", secrets, idempotency.DefaultLimits, now)
		list, err := ledger.Issue(now, scope, n)
		g.Expect(err).NotTo(HaveOccurred())
		return list
	}
	all := func(model.HostID) bool { return true }

	c := newKeyCache()
	c.put(now, scope, keys("a", 2))
	first, ok := c.take(now, scope, all)
	g.Expect(ok).To(BeTrue())
	second, ok := c.take(now, scope, all)
	g.Expect(ok).To(BeTrue())
	g.Expect(second).NotTo(Equal(first))
	_, ok = c.take(now, scope, all)
	g.Expect(ok).To(BeFalse())

	c.put(now, scope, keys("lost", 5))
	_, ok = c.take(now, scope, func(h model.HostID) bool { return h != "lost" })
	g.Expect(ok).To(BeFalse())
	c.put(now, scope, keys("a", 5))
	_, ok = c.take(now.Add(cachedKeyLifetime), scope, all)
	g.Expect(ok).To(BeFalse())

	for i := range 2 * maxCachedScopes {
		c.put(now, idempotency.Scope{Workspace: model.WorkspaceID(fmt.Sprint(i))}, []string{"k"})
	}
	g.Expect(len(c.scopes)).To(BeNumerically("<=", maxCachedScopes))
}
