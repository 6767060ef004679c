package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// keysPath is the path at which the fleet issues idempotency keys.
const keysPath = "/.well-known/agateusher/keys"

// keyLifetimeShare is the share of a key's lifetime during which a request may
// start with it, so that the key is still valid for repeats of the request.
const keyLifetimeShare = 0.5

// KeyError reports that the fleet issued no idempotency keys.
type KeyError struct {
	// Status is the HTTP status, zero if no answer arrived.
	Status int
	Reason model.Reason
	Err    error
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("obtain idempotency keys: status %d, reason %q: %v", e.Status, e.Reason, e.Err)
}

// Unwrap returns the cause, if any.
func (e *KeyError) Unwrap() error { return e.Err }

type keyRequest struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Count  int    `json:"count"`
}

type keyResponse struct {
	Keys        []string `json:"keys"`
	ExpiresInMs int64    `json:"expiresInMs"`
}

// keyPools holds unused keys for each workspace and operation.
type keyPools struct {
	config Config
	http   *http.Client
	pools  [][]*keyPool
}

// keyPool holds unused keys of one workspace and operation, oldest first. Its
// lock is held while a batch is fetched, so that waiting requests share the
// batch.
type keyPool struct {
	mu   sync.Mutex
	keys []pooledKey
}

type pooledKey struct {
	key      string
	useUntil time.Time
}

func newKeyPools(c Config, client *http.Client) *keyPools {
	k := &keyPools{config: c, http: client, pools: make([][]*keyPool, len(c.Workspaces))}
	for i := range k.pools {
		k.pools[i] = make([]*keyPool, len(c.Operations))
		for j := range k.pools[i] {
			k.pools[i][j] = &keyPool{}
		}
	}
	return k
}

// acquire returns an unused key. If there is none, it fetches a batch through
// the given entry, or through the next ones if that fails. Errors are *KeyError.
func (k *keyPools) acquire(ctx context.Context, workspace, operation, entry int) (string, error) {
	pool := k.pools[workspace][operation]
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := time.Now()
	for len(pool.keys) > 0 {
		first := pool.keys[0]
		pool.keys = pool.keys[1:]
		if now.Before(first.useUntil) {
			return first.key, nil
		}
	}
	var err error
	for attempt := 0; attempt <= max(k.config.Repeats, 0); attempt++ {
		address := k.config.Entries[(entry+attempt)%len(k.config.Entries)]
		if pool.keys, err = k.fetch(ctx, workspace, operation, address); err == nil {
			break
		}
	}
	if err != nil {
		return "", err
	}
	key := pool.keys[0].key
	pool.keys = pool.keys[1:]
	return key, nil
}

func (k *keyPools) fetch(ctx context.Context, workspace, operation int, address string) ([]pooledKey, error) {
	ctx, cancel := context.WithTimeout(ctx, k.config.Timeout)
	defer cancel()
	op := k.config.Operations[operation]
	body, err := json.Marshal(keyRequest{Method: op.Method, Path: op.Path, Count: k.config.KeyBatch})
	if err != nil {
		return nil, &KeyError{Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+keysPath, bytes.NewReader(body))
	if err != nil {
		return nil, &KeyError{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerWorkspace, string(k.config.Workspaces[workspace].ID))
	if k.config.Host != "" {
		req.Host = k.config.Host
	}
	resp, err := k.http.Do(req)
	if err != nil {
		return nil, &KeyError{Err: err}
	}
	defer resp.Body.Close()
	return decodeKeys(resp)
}

func decodeKeys(resp *http.Response) ([]pooledKey, error) {
	reason := model.Reason(resp.Header.Get(headerReason))
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, &KeyError{Status: resp.StatusCode, Reason: reason}
	}
	var issued keyResponse
	if err := json.NewDecoder(resp.Body).Decode(&issued); err != nil {
		return nil, &KeyError{Status: resp.StatusCode, Reason: reason, Err: err}
	}
	if len(issued.Keys) == 0 {
		return nil, &KeyError{Status: resp.StatusCode, Reason: reason}
	}
	lifetime := time.Duration(float64(issued.ExpiresInMs) * keyLifetimeShare * float64(time.Millisecond))
	useUntil := time.Now().Add(lifetime)
	keys := make([]pooledKey, len(issued.Keys))
	for i, key := range issued.Keys {
		keys[i] = pooledKey{key: key, useUntil: useUntil}
	}
	return keys, nil
}
