package catalog

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateusher/agateusher/core/model"
)

// Route says which service answers which requests, and how.
type Route struct {
	Name model.RouteName `json:"name"`
	Host string          `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Services share the route's requests by weight; at least one.
	Services []WeightedService `json:"parts"`
	// Idempotent marks idempotent requests.
	Idempotent bool `json:"repeatable"`
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the latency within which an answer has its full worth.
	TargetLatency time.Duration `json:"target"`
	// MaxAttempts is the number of servers that one request may be sent to.
	MaxAttempts int `json:"maxAttempts"`
	// Priority of the route; zero is the highest.
	Priority int `json:"priority"`
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service model.ServiceName `json:"service"`
	Weight  float64           `json:"weight"`
}

// Limits bound what a caller may send.
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
}

// Server is one incarnation of a backend server as it registered itself.
type Server struct {
	ID model.ServerID `json:"id"`
	// StartedAtMs is when it started, in Unix milliseconds; a server that starts again
	// under its old ID has a new one.
	StartedAtMs int64             `json:"born"`
	Service     model.ServiceName `json:"service"`
	DataCentre  model.DataCentre  `json:"dataCentre"`
	Address     string            `json:"address"`
	Slots       int               `json:"slots"`
	// Draining servers take no new requests.
	Draining bool `json:"leaving,omitempty"`
	// WarmupRemaining is how much longer it was slow when it last said so.
	WarmupRemaining time.Duration `json:"warmup,omitempty"`
	// WarmAt is when it is expected to be warm, by this daemon's clock.
	WarmAt time.Time `json:"-"`
	// GraceRemaining is how much longer a server counts whose entry lapsed while
	// the store was away; zero: its entry stands.
	GraceRemaining time.Duration `json:"lapsedFor,omitempty"`
	// GraceUntil is the same by this daemon's clock.
	GraceUntil time.Time `json:"-"`
}

// Key identifies the incarnation.
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

// Revision is a position in the store's history.
type Revision uint64

// ServerEvent is a change of one server's entry.
type ServerEvent struct {
	// Name is the entry's name in the store.
	Name    string
	Removed bool
	// Server is nil if the entry names no server that can be used.
	Server *Server
}

// Source reads the platform's store. Reads are linearizable. Errors other than
// ErrHistoryGone mean that the store could not be read.
type Source interface {
	// Config returns the configuration; nil if none was written yet.
	Config(ctx context.Context) (*Config, Revision, error)
	// WatchConfig waits for a change after a revision; nil if there was none.
	WatchConfig(ctx context.Context, after Revision, wait time.Duration) (*Config, Revision, error)
	// Servers returns the entries by name.
	Servers(ctx context.Context) (map[string]*Server, Revision, error)
	// WatchServers waits for changes after a revision.
	WatchServers(ctx context.Context, after Revision, wait time.Duration) ([]ServerEvent, Revision, error)
}

// ErrHistoryGone is returned by a watch whose start the store no longer keeps.
var ErrHistoryGone = errors.New("the store no longer keeps this revision")

// RouteTable finds routes. It is immutable.
type RouteTable struct {
	routes map[string]*Route
}

// NewRouteTable returns a table over the routes of a configuration.
func NewRouteTable(c *Config) *RouteTable {
	t := &RouteTable{routes: make(map[string]*Route, len(c.Routes))}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes[r.Host+r.Prefix] = r
	}
	return t
}

// Match returns the route of the host with the longest prefix that begins the
// path. Unlike core/routing, a prefix must occur in the path with its final
// slash: "/a/" does not match "/a".
func (t *RouteTable) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	host = strings.ToLower(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := t.routes[host+path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}
