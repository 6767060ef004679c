package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
)

// errCallerGone is the cancellation cause of a request that its caller abandoned.
var errCallerGone = errors.New("the caller abandoned the request")

// KeysError is returned when an entry issued no keys.
type KeysError struct {
	Status int
	Reason model.Reason
}

// Error implements error.
func (e *KeysError) Error() string {
	return fmt.Sprintf("entry issued no idempotency keys: status %d, reason %s", e.Status, e.Reason)
}

// Caller sends requests to entries. It is safe for concurrent use.
type Caller struct {
	HTTP *http.Client
	// Host is the Host header of all requests. If it is empty, the entry's
	// address is sent.
	Host      string
	Workspace model.WorkspaceID
}

// NewCaller returns a caller whose requests end after at most timeout.
func NewCaller(host string, workspace model.WorkspaceID, timeout time.Duration) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second}
	return &Caller{HTTP: &http.Client{Transport: transport, Timeout: timeout}, Host: host, Workspace: workspace}
}

// Close closes idle connections.
func (c *Caller) Close() { c.HTTP.CloseIdleConnections() }

// Send sends one request and returns its record. If abandonAfter is positive,
// the request is cancelled after that time.
func (c *Caller) Send(ctx context.Context, entry, method, target, key string, body []byte, abandonAfter time.Duration) Request {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if abandonAfter > 0 {
		timer := time.AfterFunc(abandonAfter, func() { cancel(errCallerGone) })
		defer timer.Stop()
	}
	s := Request{Entry: entry, Sent: time.Now()}
	s.Err = c.exchange(ctx, &s, entry, method, target, key, body)
	s.Ended = time.Now()
	s.Abandoned = s.Err != nil && errors.Is(context.Cause(ctx), errCallerGone)
	return s
}

func (c *Caller) exchange(ctx context.Context, s *Request, entry, method, target, key string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if c.Host != "" {
		r.Host = c.Host
	}
	r.Header.Set(fleet.HeaderWorkspace, string(c.Workspace))
	if key != "" {
		r.Header.Set(fleet.HeaderKey, key)
	}
	resp, err := c.HTTP.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	s.Status = resp.StatusCode
	s.RequestID = model.RequestID(resp.Header.Get(fleet.HeaderRequestID))
	s.Reason = model.Reason(resp.Header.Get(fleet.HeaderReason))
	s.Outcome, _ = model.ParseOutcome(resp.Header.Get(fleet.HeaderOutcome))
	s.Body, err = io.ReadAll(resp.Body)
	return err
}

// RequestKeys asks an entry for n idempotency keys for the given method and
// path. The error is a *KeysError or comes from net/http.
func (c *Caller) RequestKeys(ctx context.Context, entry, method, path string, n int) ([]string, error) {
	query, err := json.Marshal(map[string]any{"method": method, "path": path, "count": n})
	if err != nil {
		return nil, err
	}
	s := c.Send(ctx, entry, http.MethodPost, "/.well-known/agateusher/keys", "", query, 0)
	if s.Err != nil {
		return nil, s.Err
	}
	var keys fleet.KeysResponse
	if s.Status != http.StatusOK || json.Unmarshal(s.Body, &keys) != nil || len(keys.Keys) == 0 {
		return nil, &KeysError{Status: s.Status, Reason: s.Reason}
	}
	return keys.Keys, nil
}
