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
	// PathKeys is the path that issues idempotency keys.
	PathKeys = PathPrefix + "keys"
	// maxKeysPerCall limits the keys that one call may request.
	maxKeysPerCall = 100
	// maxKeysBodyBytes limits the request body of PathKeys.
	maxKeysBodyBytes = 16 << 10
	// keysTimeout limits the time to obtain keys, over all owners asked.
	keysTimeout = 2 * time.Second
)

// keysQuery is the request body of PathKeys. It asks for keys for requests with
// this method, host and path. Host defaults to the host of the call itself.
type keysQuery struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	Path   string `json:"path"`
	Count  int    `json:"count"`
}

// serveWellKnown serves the paths below PathPrefix.
func (e *Entry) serveWellKnown(w http.ResponseWriter, r *http.Request) {
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
	body, err := fleet.ReadBody(r.Body, r.ContentLength, maxKeysBodyBytes)
	if err != nil {
		return fleet.KeysResponse{}, model.ReasonBadRequest
	}
	query := keysQuery{Host: r.Host, Count: 1}
	if err := json.Unmarshal(body, &query); err != nil || query.Count < 1 || query.Count > maxKeysPerCall {
		return fleet.KeysResponse{}, model.ReasonBadRequest
	}
	catalog := e.options.Catalog()
	if catalog == nil {
		return fleet.KeysResponse{}, model.ReasonNoConfiguration
	}
	route, ok := catalog.Match(query.Host, query.Method, query.Path)
	if !ok || route.Repeatable {
		return fleet.KeysResponse{}, model.ReasonNoRoute
	}
	ctx, cancel := context.WithTimeout(r.Context(), keysTimeout)
	defer cancel()
	return e.requestKeys(ctx, catalog.Pools(route.Service), fleet.KeysRequest{
		Workspace: model.WorkspaceID(r.Header.Get(fleet.HeaderWorkspace)), Route: route.Name, Count: query.Count,
	})
}

// requestKeys asks the owners of the service's pools in turn until one issues
// keys. The request is idempotent: keys that are lost in transit expire unused.
func (e *Entry) requestKeys(ctx context.Context, choices []PoolChoice, q fleet.KeysRequest) (fleet.KeysResponse, model.Reason) {
	reason := model.ReasonNoOwner
	for _, choice := range choices {
		for _, to := range e.peers.suspectsLast(e.options.Directory.Owners(choice.Pool, maxOwners)) {
			resp, err := e.requestKeysFrom(ctx, to, q)
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

// ownerKeysTimeout limits the request to one owner, so that time is left for
// another if it does not answer.
const ownerKeysTimeout = 500 * time.Millisecond

func (e *Entry) requestKeysFrom(ctx context.Context, to fleet.Peer, q fleet.KeysRequest) (fleet.KeysResponse, error) {
	if to.Host == e.options.Host {
		return e.options.Local.IssueKeys(q), nil
	}
	ctx, cancel := context.WithTimeout(ctx, ownerKeysTimeout)
	defer cancel()
	resp, err := e.options.Client.IssueKeys(ctx, to, q)
	if err != nil {
		e.peers.suspect(to, err)
	}
	return resp, err
}

// pendingKey is a key that is available, or is being issued while a lookup runs.
type pendingKey struct {
	ready  string
	issued chan string
}

// acquireKey returns a key for the named route, from the cache or from a batch
// that is issued while the lookup runs.
func (e *Entry) acquireKey(ctx context.Context, route model.RouteName, workspace model.WorkspaceID) pendingKey {
	if route == "" {
		return pendingKey{}
	}
	r, ok := e.options.Catalog().Route(route)
	if !ok || r.Repeatable {
		return pendingKey{}
	}
	scope := idempotency.Scope{Workspace: workspace, Route: route}
	if key, ok := e.keys.take(time.Now(), scope, e.peers.isUsable); ok {
		return pendingKey{ready: key}
	}
	p := pendingKey{issued: make(chan string, 1)}
	choices := e.options.Catalog().Pools(r.Service)
	go func() {
		defer close(p.issued)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keysTimeout)
		defer cancel()
		resp, reason := e.requestKeys(ctx, choices, fleet.KeysRequest{Workspace: workspace, Route: route, Count: keyBatch})
		if reason == model.ReasonNone && len(resp.Keys) > 0 {
			p.issued <- resp.Keys[0]
			e.keys.put(time.Now(), scope, resp.Keys[1:])
		}
	}()
	return p
}

// pendingKeyTimeout is how long a response is delayed for its key. A caller whose
// response has no key can request one from PathKeys.
const pendingKeyTimeout = 50 * time.Millisecond

// addTo adds the key to a response from a backend server.
func (p pendingKey) addTo(r *fleet.Response) {
	if r.Outcome != model.Answered {
		return
	}
	key := p.ready
	if p.issued != nil {
		select {
		case key = <-p.issued:
		case <-time.After(pendingKeyTimeout):
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
