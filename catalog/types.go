package catalog

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/workspace"
)

// Workspace is a workspace of the configuration. It has digests of keys only.
type Workspace = workspace.Workspace

// Route assigns the requests of a host and path prefix to services.
type Route struct {
	Name model.RouteName `json:"name"`
	// Host is in lower case and without a port.
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Services share the route's requests by weight. There is at least one.
	Services []WeightedService `json:"parts"`
	// Idempotent is set if the route's requests may be executed more than once.
	Idempotent bool `json:"repeatable"`
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the latency up to which a response has its full value.
	TargetLatency time.Duration `json:"target"`
	// MaxAttempts is the maximum number of servers that one request is sent to.
	MaxAttempts int `json:"maxAttempts"`
	// Priority of the route; zero is the highest. That of a request's workspace takes
	// precedence.
	Priority int `json:"priority"`
	// Public is set if requests need no key of a workspace.
	Public bool `json:"public,omitempty"`
}

// UnreadableRoute is the place of a route that could not be decoded. Requests there
// are refused: they must neither be told that the route is missing nor be served
// by a route with a shorter prefix. Without a readable host and prefix, both are
// empty and any request that matches no route may belong to it.
type UnreadableRoute struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
}

// WeightedService is a service with its weight in a route.
type WeightedService struct {
	Service model.ServiceName `json:"service"`
	Weight  float64           `json:"weight"`
}

// Limits are the bounds on callers' requests and connections.
type Limits struct {
	MaxHeaderBytes int           `json:"maxHeaderBytes"`
	MaxBodyBytes   int64         `json:"maxBodyBytes"`
	HeaderTimeout  time.Duration `json:"headerTimeout"`
	IdleTimeout    time.Duration `json:"idleTimeout"`
}

// Config is the operators' configuration at one epoch.
type Config struct {
	Epoch  model.Epoch `json:"epoch"`
	Routes []Route     `json:"routes"`
	Limits Limits      `json:"limits"`
	// Unreadable lists the routes that could not be decoded.
	Unreadable []UnreadableRoute `json:"unreadable,omitempty"`
	// KeyPolicy says whether requests need a key of a workspace.
	KeyPolicy workspace.KeyPolicy `json:"keyPolicy,omitempty"`
	// Workspaces are ordered by name.
	Workspaces []Workspace `json:"workspaces,omitempty"`
	// UnreadableWorkspaces lists the workspaces that could not be decoded.
	UnreadableWorkspaces []workspace.Unreadable `json:"unreadableWorkspaces,omitempty"`
}

// Server is one incarnation of a backend server, as registered by itself.
type Server struct {
	ID model.ServerID `json:"id"`
	// StartedAtMs is the start time in Unix milliseconds. It changes when a
	// server restarts under the same ID.
	StartedAtMs int64             `json:"born"`
	Service     model.ServiceName `json:"service"`
	DataCentre  model.DataCentre  `json:"dataCentre"`
	Address     string            `json:"address"`
	Slots       int               `json:"slots"`
	// Draining is set if the server takes no new requests.
	Draining bool `json:"leaving,omitempty"`
	// WarmupRemaining is the time until WarmAt in a Snapshot.
	WarmupRemaining time.Duration `json:"warmup,omitempty"`
	// WarmAt is when the server is expected to have warmed up, by this
	// daemon's clock.
	WarmAt time.Time `json:"-"`
	// GraceRemaining marks an entry that a daemon of an older version retains by itself
	// and sends nevertheless; the receiver ignores it.
	GraceRemaining time.Duration `json:"lapsedFor,omitempty"`
	// GraceUntil is the time, by this daemon's clock, up to which it retains the server
	// after its entry lapsed during an outage of the store; zero if it has not lapsed.
	GraceUntil time.Time `json:"-"`
}

// Key returns a hash of ID and start time, which identifies the incarnation.
func (s *Server) Key() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(s.ID))
	var born [8]byte
	for i := range born {
		born[i] = byte(s.StartedAtMs >> (8 * i))
	}
	_, _ = d.Write(born[:])
	return d.Sum64()
}

// ServerEvent is a change of one server's entry.
type ServerEvent struct {
	// Name is the entry's name in the store.
	Name    string
	Removed bool
	// Server is nil if the entry was removed or describes no usable server.
	Server *Server
}

// Source reads the platform's store. Reads are linearizable. Any error other
// than ErrHistoryGone and ErrEraChanged means that the store could not be read.
type Source interface {
	// Config returns the configuration; nil if none has been written yet.
	Config(ctx context.Context) (*Config, Revision, error)
	// WatchConfig waits for a change after a revision, at most for wait. It
	// returns a nil Config if there was none.
	WatchConfig(ctx context.Context, after Revision, wait time.Duration) (*Config, Revision, error)
	// Servers returns the entries by name.
	Servers(ctx context.Context) (map[string]*Server, Revision, error)
	// WatchServers waits for changes after a revision, at most for wait.
	WatchServers(ctx context.Context, after Revision, wait time.Duration) ([]ServerEvent, Revision, error)
	// Ping checks that the store serves this daemon, and returns the era that its answer
	// names. It is the cheapest call, and the answer may be seconds old.
	Ping(ctx context.Context) (Era, error)
	// Era returns the newest era that any answer of the store has named.
	Era() Era
}

// RouteTable finds the route of a request. It is immutable.
type RouteTable struct {
	// routes has a nil route for each prefix whose route could not be decoded.
	routes map[string]*Route
	// incomplete is set if a route could not be decoded and its place is not known.
	incomplete bool
}

// NewRouteTable returns a table over the routes of a configuration. Routes without
// a service, which only a damaged copy of a configuration has, count as unreadable.
func NewRouteTable(c *Config) *RouteTable {
	t := &RouteTable{routes: make(map[string]*Route, len(c.Routes)+len(c.Unreadable))}
	for _, u := range c.Unreadable {
		t.incomplete = t.incomplete || u == UnreadableRoute{}
		t.routes[u.Host+u.Prefix] = nil
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.Services) == 0 {
			r = nil
		}
		t.routes[c.Routes[i].Host+c.Routes[i].Prefix] = r
	}
	return t
}

// MatchResult is the result of RouteTable.Match.
type MatchResult uint8

const (
	// Matched: the request has a route.
	Matched MatchResult = iota
	// Unmatched: no route matches the request.
	Unmatched
	// Undecided: the request belongs, or may belong, to a route that could not be
	// decoded.
	Undecided
)

// Match returns the host's route with the longest matching prefix of the path; it
// is nil unless the result is Matched. Unlike in core/routing, the path must
// contain the prefix with its final slash: "/a/" does not match "/a".
func (t *RouteTable) Match(host, path string) (*Route, MatchResult) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	host = strings.ToLower(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		r, ok := t.routes[host+path[:end+1]]
		switch {
		case r != nil:
			return r, Matched
		case ok:
			return nil, Undecided
		}
	}
	if t.incomplete {
		return nil, Undecided
	}
	return nil, Unmatched
}
