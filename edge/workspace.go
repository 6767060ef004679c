package edge

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/workspace"
)

const (
	authorizationHeader = "Authorization"
	// unconfirmedRetryAfter is sent to callers that are refused because the
	// configuration is not confirmed, which ends when the store is back.
	unconfirmedRetryAfter = time.Second
)

// keysRequired reports whether requests of routes that are not public need a key. An
// empty table of workspaces asks for keys only where the settings say that the
// deployment has workspaces: there it means that all keys were revoked, elsewhere that
// the deployment has none.
func (n *Node) keysRequired(v *catalog.View) bool {
	switch v.Workspaces.Policy() {
	case workspace.KeysUnused, workspace.KeysUndecoded:
		return false
	}
	return !v.Workspaces.Empty() || n.keys.revocationBound() > 0
}

// isPublic reports whether the request needs no key by the configuration in force, which
// may be newer than that of the request's route.
func (f *forwarding) isPublic(v *catalog.View) bool {
	if v == f.view {
		return f.route.Public
	}
	if r, result := v.Routes.Match(f.request.host, f.request.path()); result == catalog.Matched {
		return r.Public
	}
	return f.route.Public
}

// authorize decides by the configuration in force whether the request may be sent to a
// server, and returns it as it is to be sent: without keys, and with the name of its
// workspace. It is called before each attempt. While the configuration is about to be
// confirmed, it waits.
func (f *forwarding) authorize(ctx context.Context) (*request, model.Reason) {
	n := f.node
	v := n.view.Load()
	trusted := true
	if n.keysRequired(v) && f.credentials.Present() && (f.credentials.HasKey || f.isPublic(v)) {
		trusted = n.awaitTrust(ctx, f.deadline)
		v = n.view.Load()
	}
	d := v.Workspaces.Decide(workspace.Request{
		Credentials: f.credentials, Required: n.keysRequired(v) && !f.isPublic(v), Trusted: trusted,
	}, n.keys.revoked)
	if d.Refused != model.ReasonNone {
		return nil, d.Refused
	}
	f.workspace = d.Workspace
	out := *f.request
	out.header = withoutKeys(out.header, d.Withheld)
	if d.Workspace != nil {
		out.workspace = d.Workspace.Name
	}
	return &out, model.ReasonNone
}

// withoutKeys returns the headers without those values of Authorization that are
// withheld.
func withoutKeys(h http.Header, withheld []bool) http.Header {
	var kept []string
	for i, v := range h[authorizationHeader] {
		if !withheld[i] {
			kept = append(kept, v)
		}
	}
	if len(kept) == len(withheld) {
		return h
	}
	h = maps.Clone(h)
	delete(h, authorizationHeader)
	if len(kept) > 0 {
		h[authorizationHeader] = kept
	}
	return h
}

// refuseUnauthorized returns the response to a request that must not be sent to any
// server, or nil.
func (f *forwarding) refuseUnauthorized(ctx context.Context) *response {
	if _, reason := f.authorize(ctx); reason != model.ReasonNone {
		f.reason = reason
		return f.failureResponse()
	}
	return nil
}

// refuseForKey returns the response to a request that did not run because of its key.
func (n *Node) refuseForKey(q *request, reason model.Reason) *response {
	switch reason {
	case model.ReasonUnauthorized:
		r := n.localResponse(q, http.StatusUnauthorized, reason)
		r.header.Set("WWW-Authenticate", "Bearer")
		return r
	case model.ReasonConfigUnconfirmed:
		r := n.refuse(q, reason)
		setRetryAfter(r, unconfirmedRetryAfter)
		return r
	}
	return n.refuse(q, reason)
}

// priority returns the priority of the request: that of its workspace, or else of its
// route.
func (f *forwarding) priority() int {
	if f.workspace != nil {
		return f.workspace.Priority
	}
	return f.route.Priority
}
