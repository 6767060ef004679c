package entry

import (
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/model"
)

const (
	// keyBatch is the number of keys requested at a time for lookups whose
	// response carries a key; one call for each lookup would double the requests.
	keyBatch = 20
	// cachedKeyLifetime is how long a key may stay in the cache. It is short
	// compared with a key's own lifetime, so that callers get nearly all of that
	// lifetime, and it limits how long keys of a lost issuer are handed out.
	cachedKeyLifetime = 10 * time.Second
	// maxCachedScopes limits the pairs of route and workspace with cached keys.
	maxCachedScopes = 4096
)

type cachedKeys struct {
	keys []string
	// expiresAt is when the keys leave the cache; their own lifetime is longer.
	expiresAt time.Time
}

// keyCache holds issued keys for lookups whose response carries one. It is safe
// for concurrent use.
type keyCache struct {
	mu     sync.Mutex
	scopes map[idempotency.Scope]*cachedKeys
}

func newKeyCache() *keyCache { return &keyCache{scopes: map[idempotency.Scope]*cachedKeys{}} }

// take removes and returns an unexpired key whose issuer is usable, or returns
// false.
func (c *keyCache) take(now time.Time, scope idempotency.Scope, usable func(model.HostID) bool) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.scopes[scope]
	if !ok {
		return "", false
	}
	for len(cached.keys) > 0 && now.Before(cached.expiresAt) {
		text := cached.keys[0]
		cached.keys = cached.keys[1:]
		if key, err := idempotency.Decode(text); err == nil && usable(key.Host) {
			return text, true
		}
	}
	delete(c.scopes, scope)
	return "", false
}

// put stores newly issued keys in place of those that the scope has. A full cache
// evicts expired keys first, and all keys if it is still full; unused keys expire
// at their issuer.
func (c *keyCache) put(now time.Time, scope idempotency.Scope, keys []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.scopes) >= maxCachedScopes {
		c.evict(now)
	}
	c.scopes[scope] = &cachedKeys{keys: keys, expiresAt: now.Add(cachedKeyLifetime)}
}

func (c *keyCache) evict(now time.Time) {
	for scope, cached := range c.scopes {
		if !now.Before(cached.expiresAt) {
			delete(c.scopes, scope)
		}
	}
	if len(c.scopes) >= maxCachedScopes {
		clear(c.scopes)
	}
}
