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

// keysPath is where the fleet issues idempotency keys.
const keysPath = "/.well-known/agateusher/keys"

// keyLife is the share of a key's lifetime after which it is not used any more,
// so that repeats of its request still find it valid.
const keyLife = 0.5

// KeyError reports that no idempotency keys were issued.
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

// keyrings holds unused keys for each workspace and operation.
type keyrings struct {
	config Config
	http   *http.Client
	rings  [][]*keyring
}

// keyring holds unused keys of one workspace and operation, oldest first. Its
// lock is held while a batch is fetched, so that waiting requests share it.
type keyring struct {
	mu   sync.Mutex
	keys []timedKey
}

type timedKey struct {
	key     string
	useless time.Time
}

func newKeyrings(c Config, client *http.Client) *keyrings {
	k := &keyrings{config: c, http: client, rings: make([][]*keyring, len(c.Workspaces))}
	for i := range k.rings {
		k.rings[i] = make([]*keyring, len(c.Operations))
		for j := range k.rings[i] {
			k.rings[i][j] = &keyring{}
		}
	}
	return k
}

// take returns an unused key and fetches a batch, through the given entry or
// the next ones, if there is none. Errors are *KeyError.
func (k *keyrings) take(ctx context.Context, workspace, operation, entry int) (string, error) {
	ring := k.rings[workspace][operation]
	ring.mu.Lock()
	defer ring.mu.Unlock()
	now := time.Now()
	for len(ring.keys) > 0 {
		first := ring.keys[0]
		ring.keys = ring.keys[1:]
		if now.Before(first.useless) {
			return first.key, nil
		}
	}
	var err error
	for try := 0; try <= max(k.config.Repeats, 0); try++ {
		address := k.config.Entries[(entry+try)%len(k.config.Entries)]
		if ring.keys, err = k.fetch(ctx, workspace, operation, address); err == nil {
			break
		}
	}
	if err != nil {
		return "", err
	}
	key := ring.keys[0].key
	ring.keys = ring.keys[1:]
	return key, nil
}

func (k *keyrings) fetch(ctx context.Context, workspace, operation int, address string) ([]timedKey, error) {
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

func decodeKeys(resp *http.Response) ([]timedKey, error) {
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
	life := time.Duration(float64(issued.ExpiresInMs) * keyLife * float64(time.Millisecond))
	useless := time.Now().Add(life)
	keys := make([]timedKey, len(issued.Keys))
	for i, key := range issued.Keys {
		keys[i] = timedKey{key: key, useless: useless}
	}
	return keys, nil
}
