package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"github.com/agateusher/agateusher/core/model"
)

// Listing is the address of one server of a group.
type Listing struct {
	ID         model.ServerID    `json:"id"`
	Service    model.ServiceName `json:"service,omitempty"`
	DataCentre model.DataCentre  `json:"dataCentre,omitempty"`
	// Address is "ip:port".
	Address string `json:"address"`
}

// DuplicateError reports two servers with the same identifier.
type DuplicateError struct {
	ID model.ServerID
}

// Error implements error.
func (e *DuplicateError) Error() string { return fmt.Sprintf("server %s is defined twice", e.ID) }

// Group is a set of stand-in servers in one process, each on its own port.
type Group struct {
	servers   map[model.ServerID]*Server
	listeners []net.Listener
	listings  []Listing
	order     []*Server
}

// NewGroup creates the servers and opens a listener for each on the host of
// listen ("ip:0" chooses free ports). Errors are *ServeError, *DuplicateError
// or *OptionError.
func NewGroup(listen string, options []Options) (*Group, error) {
	g := &Group{servers: map[model.ServerID]*Server{}}
	for _, o := range options {
		if err := g.add(listen, o); err != nil {
			g.close()
			return nil, err
		}
	}
	return g, nil
}

func (g *Group) add(listen string, o Options) error {
	if o.ID == "" {
		return &OptionError{Option: "server ID", Value: `""`, Expected: "a name"}
	}
	if _, found := g.servers[o.ID]; found {
		return &DuplicateError{ID: o.ID}
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return &ServeError{Address: listen, Err: err}
	}
	server := New(o)
	g.servers[o.ID] = server
	g.order = append(g.order, server)
	g.listeners = append(g.listeners, ln)
	g.listings = append(g.listings, Listing{
		ID: o.ID, Service: o.Service, DataCentre: o.DataCentre, Address: ln.Addr().String(),
	})
	return nil
}

// Listings returns the servers' addresses in the order of NewGroup's options.
func (g *Group) Listings() []Listing { return append([]Listing(nil), g.listings...) }

// Server returns a server by its identifier, nil if there is none.
func (g *Group) Server(id model.ServerID) *Server { return g.servers[id] }

// Serve serves all servers until ctx ends and stops them gracefully. When one
// fails, all are stopped and its *ServeError is returned.
func (g *Group) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, s := range g.order {
		group.Go(func() error { return s.Serve(ctx, g.listeners[i]) })
	}
	return group.Wait()
}

// ServeAdmin serves Admin on ln until ctx ends. Errors are *ServeError.
func (g *Group) ServeAdmin(ctx context.Context, ln net.Listener) error {
	return serveUntil(ctx, ln, g.Admin())
}

// Admin returns a handler for all servers: GET /servers answers the listings, and
// /servers/{id}/... are the administration endpoints of one (see Server.Admin).
func (g *Group) Admin() http.Handler {
	r := chi.NewRouter()
	r.Get("/servers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, g.listings) })
	for id, s := range g.servers {
		r.Mount("/servers/"+string(id), s.Admin())
	}
	return r
}

func (g *Group) close() {
	for _, ln := range g.listeners {
		_ = ln.Close()
	}
}
