package entry

import (
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/model"
)

const (
	// keyBatch is how many keys an entry asks for at a time for lookups that
	// bring a key along; one call for each lookup would double the requests.
	keyBatch = 20
	// keyFreshness is how long a key may wait in the cache. It is short against
	// a key's lifetime, so that callers lose little of it, and it bounds how long
	// keys of a lost issuer are handed out.
	keyFreshness = 10 * time.Second
	// maxCachedScopes bounds the pairs of route and workspace with cached keys.
	maxCachedScopes = 4096
)

type cachedKeys struct {
	keys []string
	// until is when the keys are dropped.
	until time.Time
}

// keyCache holds keys for lookups that bring one along. It is safe for
// concurrent use.
type keyCache struct {
	mu     sync.Mutex
	scopes map[idempotency.Scope]*cachedKeys
}

func newKeyCache() *keyCache { return &keyCache{scopes: map[idempotency.Scope]*cachedKeys{}} }

// take returns a fresh key whose issuer is usable, or false.
func (c *keyCache) take(now time.Time, scope idempotency.Scope, usable func(model.HostID) bool) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.scopes[scope]
	if !ok {
		return "", false
	}
	for len(cached.keys) > 0 && now.Before(cached.until) {
		text := cached.keys[0]
		cached.keys = cached.keys[1:]
		if key, err := idempotency.Decode(text); err == nil && usable(key.Host) {
			return text, true
		}
	}
	delete(c.scopes, scope)
	return "", false
}

// put adds newly issued keys. A full cache drops what is out of date, and
// everything if that does not help; unused keys expire at their issuer.
func (c *keyCache) put(now time.Time, scope idempotency.Scope, keys []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.scopes) >= maxCachedScopes {
		c.sweep(now)
	}
	c.scopes[scope] = &cachedKeys{keys: keys, until: now.Add(keyFreshness)}
}

func (c *keyCache) sweep(now time.Time) {
	for scope, cached := range c.scopes {
		if !now.Before(cached.until) {
			delete(c.scopes, scope)
		}
	}
	if len(c.scopes) >= maxCachedScopes {
		clear(c.scopes)
	}
}
