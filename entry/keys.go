package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
)

const (
	// PathKeys issues idempotency keys.
	PathKeys = PathPrefix + "keys"
	// maxKeysPerCall bounds a batch of keys.
	maxKeysPerCall = 100
	// maxKeysBody bounds the request body in bytes.
	maxKeysBody = 16 << 10
	// keysTimeout bounds the issue of keys.
	keysTimeout = 2 * time.Second
)

// keysQuery is the body of a call of PathKeys: keys for requests with this
// method and path. Host defaults to the call's own.
type keysQuery struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	Path   string `json:"path"`
	Count  int    `json:"count"`
}

// serveOwn serves the entry's own paths.
func (e *Entry) serveOwn(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	if r.URL.Path != PathKeys {
		writeResponse(w, id, fleet.NotRun(model.ReasonNoRoute, 0))
		return
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		writeResponse(w, id, fleet.NotRun(model.ReasonBadRequest, 0))
		return
	}
	resp, reason := e.issueKeys(r)
	if reason != model.ReasonNone {
		writeResponse(w, id, fleet.NotRun(reason, time.Second))
		return
	}
	body, err := json.Marshal(resp)
	if err != nil {
		writeResponse(w, id, fleet.NotRun(model.ReasonBadRequest, 0))
		return
	}
	writeResponse(w, id, fleet.Response{
		Outcome: model.Answered, Status: http.StatusOK, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}, "Cache-Control": {"no-store"}},
	})
}

func (e *Entry) issueKeys(r *http.Request) (fleet.KeysResponse, model.Reason) {
	body, err := fleet.ReadBody(r.Body, r.ContentLength, maxKeysBody)
	if err != nil {
		return fleet.KeysResponse{}, model.ReasonBadRequest
	}
	query := keysQuery{Host: r.Host, Count: 1}
	if err := json.Unmarshal(body, &query); err != nil || query.Count < 1 || query.Count > maxKeysPerCall {
		return fleet.KeysResponse{}, model.ReasonBadRequest
	}
	catalog := e.o.Catalog()
	if catalog == nil {
		return fleet.KeysResponse{}, model.ReasonNoConfiguration
	}
	route, ok := catalog.Match(query.Host, query.Method, query.Path)
	if !ok || route.Repeatable {
		return fleet.KeysResponse{}, model.ReasonNoRoute
	}
	ctx, cancel := context.WithTimeout(r.Context(), keysTimeout)
	defer cancel()
	return e.keysFrom(ctx, catalog.Pools(route.Service), fleet.KeysRequest{
		Workspace: model.WorkspaceID(r.Header.Get(fleet.HeaderWorkspace)), Route: route.Name, Count: query.Count,
	})
}

// keysFrom asks the owners of the service's pools in turn. Issuing is
// idempotent: keys that get lost on the way expire unused.
func (e *Entry) keysFrom(ctx context.Context, choices []PoolChoice, q fleet.KeysRequest) (fleet.KeysResponse, model.Reason) {
	reason := model.ReasonNoOwner
	for _, choice := range choices {
		for _, to := range e.peers.order(e.o.Directory.Owners(choice.Pool, maxOwners)) {
			resp, err := e.keysAt(ctx, to, q)
			if err == nil && resp.Reason == model.ReasonNone {
				return resp, model.ReasonNone
			}
			if err == nil {
				reason = resp.Reason
			}
			if ctx.Err() != nil {
				return fleet.KeysResponse{}, reason
			}
		}
	}
	return fleet.KeysResponse{}, reason
}

// keysPerOwnerTimeout leaves time for another owner if one is silent.
const keysPerOwnerTimeout = 500 * time.Millisecond

func (e *Entry) keysAt(ctx context.Context, to fleet.Peer, q fleet.KeysRequest) (fleet.KeysResponse, error) {
	if to.Host == e.o.Host {
		return e.o.Local.IssueKeys(q), nil
	}
	ctx, cancel := context.WithTimeout(ctx, keysPerOwnerTimeout)
	defer cancel()
	resp, err := e.o.Client.IssueKeys(ctx, to, q)
	if err != nil {
		e.peers.suspect(to, err)
	}
	return resp, err
}

// pendingKey is a key that is at hand, or is being issued while a lookup runs.
type pendingKey struct {
	ready  string
	issued chan string
}

// attachKey provides a key for the named route, from the cache or by issuing a
// batch while the lookup runs.
func (e *Entry) attachKey(ctx context.Context, route model.RouteName, workspace model.WorkspaceID) pendingKey {
	if route == "" {
		return pendingKey{}
	}
	r, ok := e.o.Catalog().Route(route)
	if !ok || r.Repeatable {
		return pendingKey{}
	}
	scope := idempotency.Scope{Workspace: workspace, Route: route}
	if key, ok := e.keys.take(time.Now(), scope, e.peers.usable); ok {
		return pendingKey{ready: key}
	}
	p := pendingKey{issued: make(chan string, 1)}
	choices := e.o.Catalog().Pools(r.Service)
	go func() {
		defer close(p.issued)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keysTimeout)
		defer cancel()
		resp, reason := e.keysFrom(ctx, choices, fleet.KeysRequest{Workspace: workspace, Route: route, Count: keyBatch})
		if reason == model.ReasonNone && len(resp.Keys) > 0 {
			p.issued <- resp.Keys[0]
			e.keys.put(time.Now(), scope, resp.Keys[1:])
		}
	}()
	return p
}

// attachWait is how long an answer is held back for its key. The caller can
// ask PathKeys instead.
const attachWait = 50 * time.Millisecond

// addTo puts the key on an answer.
func (p pendingKey) addTo(r *fleet.Response) {
	if r.Outcome != model.Answered {
		return
	}
	key := p.ready
	if p.issued != nil {
		select {
		case key = <-p.issued:
		case <-time.After(attachWait):
		}
	}
	if key == "" {
		return
	}
	if r.Header == nil {
		r.Header = http.Header{}
	}
	r.Header.Set(fleet.HeaderKey, key)
}
