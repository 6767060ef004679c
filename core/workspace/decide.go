package workspace

import "github.com/agateusher/agateusher/core/model"

// Request is what a decision about a request depends on.
type Request struct {
	Credentials Credentials
	// Required is set if the request needs a key.
	Required bool
	// Trusted is false if the configuration is too old to accept keys by it.
	Trusted bool
}

// Decision is the result of Decide.
type Decision struct {
	// Refused is the reason for which the request is refused; model.ReasonNone if it is
	// not.
	Refused model.Reason
	// Workspace is that of the request's key; nil: none.
	Workspace *Workspace
	// Withheld has an element for each Authorization header: whether it is not passed
	// on to servers.
	Withheld []bool
}

// Decide decides whether a request is accepted, for which workspace, and with which of
// its credentials it is sent to a server. revoked reports whether a key was revoked
// earlier.
func (t *Table) Decide(r Request, revoked func(Digest) bool) Decision {
	d := Decision{Withheld: make([]bool, len(r.Credentials.parts))}
	if r.Required {
		for i := range d.Withheld {
			d.Withheld[i] = true
		}
		d.Workspace, d.Refused = t.accept(r)
		return d
	}
	for i, parts := range r.Credentials.parts {
		// A header that is not searched as a whole may contain a key.
		d.Withheld[i] = r.Credentials.overlong[i] && t.policy == KeysRequired
		for _, p := range parts {
			d.Withheld[i] = d.Withheld[i] || t.Has(p) || revoked(p)
		}
	}
	if r.Credentials.HasKey && r.Trusted {
		d.Workspace = t.holders[r.Credentials.Key].workspace
	}
	return d
}

// accept returns the workspace of a request that needs a key, or the reason for which
// the request is refused.
func (t *Table) accept(r Request) (*Workspace, model.Reason) {
	if !r.Credentials.HasKey {
		return nil, model.ReasonUnauthorized
	}
	if !r.Trusted {
		// The key may have been revoked, or added, since.
		return nil, model.ReasonConfigUnconfirmed
	}
	h, known := t.holders[r.Credentials.Key]
	switch {
	case h.unreadable, !known && t.incomplete:
		return nil, model.ReasonWorkspaceUnreadable
	case h.workspace == nil:
		return nil, model.ReasonUnauthorized
	}
	return h.workspace, model.ReasonNone
}
