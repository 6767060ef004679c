package snapshot

import "github.com/agateusher/agateusher/core/model"

// Kind names a kind of configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindService      Kind = "Service"
	KindServer       Kind = "Server"
	KindRoute        Kind = "Route"
	KindWorkspace    Kind = "Workspace"
	KindReportLayout Kind = "ReportLayout"
)

// Policy names a health-check profile, which trades detection time against false
// ejections.
type Policy string

const (
	// PolicyRidemark favours fast detection.
	PolicyRidemark Policy = "ridemark"
	// PolicyConsortium favours few false ejections.
	PolicyConsortium Policy = "consortium"
)

// ServerState is the state of a backend server that operators configure.
type ServerState string

const (
	// ServerActive: the server receives requests while it is healthy. The default.
	ServerActive ServerState = "active"
	// ServerDraining: the server is being removed and receives no new requests.
	ServerDraining ServerState = "draining"
	// ServerEjected: an operator has ejected the server.
	ServerEjected ServerState = "ejected"
)

// Floor is the minimum healthy capacity of a service: no ejection may go below
// it. Both fields apply.
type Floor struct {
	// Share is a fraction of the configured slots, 0 to 1.
	Share float64 `json:"share"`
	// MinServers is a number of servers, counted over the whole service.
	MinServers int `json:"minServers"`
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name   model.ServiceName `json:"name"`
	Floor  Floor             `json:"floor"`
	Policy Policy            `json:"policy"`
	// DeadlineMs is the time limit of a request, counted from its arrival at an
	// entry, in milliseconds.
	DeadlineMs int `json:"deadlineMs"`
	// RetryBudgetShare is the largest ratio of retries and hedges to requests.
	RetryBudgetShare float64 `json:"retryBudgetShare"`
	// QueueLimit bounds the requests waiting at one pool.
	QueueLimit int `json:"queueLimit"`
	// CancelPath is the path at a backend server to which a DELETE is sent to
	// cancel a request; "{id}" stands for the request ID. Empty: not supported.
	CancelPath string `json:"cancelPath,omitempty"`
	// ShedHeader is the response header, "Name" or "Name: value", that marks a
	// 503 of a request that was shed before it ran.
	ShedHeader string `json:"shedHeader,omitempty"`
	// Shards is the number of pools in each data centre, at least 1.
	Shards int `json:"shards,omitempty"`
}

// Server is a backend server.
type Server struct {
	ID         model.ServerID    `json:"id"`
	Service    model.ServiceName `json:"service"`
	DataCentre model.DataCentre  `json:"dataCentre"`
	// Address is "ip:port".
	Address string `json:"address"`
	// Slots is the number of requests that it runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts.
	Connections int         `json:"connections"`
	State       ServerState `json:"state"`
}

// Route says which requests go to which service.
type Route struct {
	Name model.RouteName `json:"name"`
	// Host is the request's host name without a port; empty matches any.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole path segments.
	PathPrefix string `json:"pathPrefix"`
	// Methods lists the HTTP methods that match; empty matches any.
	Methods []string `json:"methods,omitempty"`
	// Service is empty if the route has a split.
	Service model.ServiceName `json:"service,omitempty"`
	// Split lists the services that share the requests of a repeatable route by
	// weight.
	Split []RoutePart `json:"split,omitempty"`
	// Repeatable marks idempotent requests, such as lookups. Other requests
	// need an idempotency key.
	Repeatable bool `json:"repeatable"`
	// IssueKeysFor names a route; responses of this route carry an idempotency
	// key for it.
	IssueKeysFor model.RouteName `json:"issueKeysFor,omitempty"`
	// RatePerSecond limits the requests per second over the whole fleet; zero: no
	// limit.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
}

// RoutePart is a service with its share of a route's requests.
type RoutePart struct {
	Service model.ServiceName `json:"service"`
	// Weight is the percentage of the requests. The weights of a route add up to 100.
	Weight float64 `json:"weight"`
}

// Services returns the services of the route.
func (r *Route) Services() []model.ServiceName {
	if len(r.Split) == 0 {
		return []model.ServiceName{r.Service}
	}
	names := make([]model.ServiceName, len(r.Split))
	for i, p := range r.Split {
		names[i] = p.Service
	}
	return names
}

// Workspace is a group of callers that share a weight and a rate limit.
type Workspace struct {
	ID model.WorkspaceID `json:"id"`
	// Weight is its share relative to that of other workspaces; the default is 1.
	Weight float64 `json:"weight"`
	// RatePerSecond limits the requests per second over the whole fleet; zero: no
	// limit.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
}

// ReportColumn is one column of a daily report.
type ReportColumn struct {
	Heading string `json:"heading"`
	// Field names a report counter, such as "requests" or "p99Ms".
	Field string `json:"field"`
	// Format is a number format, such as "0.00"; empty: unformatted.
	Format string `json:"format,omitempty"`
}

// ReportLayout describes the columns and the format of a daily report.
type ReportLayout struct {
	Name      string         `json:"name"`
	Columns   []ReportColumn `json:"columns"`
	Separator string         `json:"separator,omitempty"`
	Decimal   string         `json:"decimal,omitempty"`
}

// Objects is a set of configuration objects. In an applied file it holds the
// objects to create or replace; in a snapshot it holds all objects, ordered by
// name.
type Objects struct {
	Services      []Service      `json:"services,omitempty"`
	Servers       []Server       `json:"servers,omitempty"`
	Routes        []Route        `json:"routes,omitempty"`
	Workspaces    []Workspace    `json:"workspaces,omitempty"`
	ReportLayouts []ReportLayout `json:"reportLayouts,omitempty"`
}

// Ref identifies an object by its kind and name.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Change is one change by an operator: objects to create or replace, and objects
// to delete. It is applied atomically.
type Change struct {
	// ID is unique. If the reply to an update is lost, the ID shows whether the
	// update took effect.
	ID     string  `json:"id"`
	Author string  `json:"author"`
	Put    Objects `json:"put"`
	Delete []Ref   `json:"delete,omitempty"`
}

// Snapshot is the whole configuration at one epoch. It is immutable.
type Snapshot struct {
	Epoch model.Epoch `json:"epoch"`
	// ChangeID is the change that produced the epoch.
	ChangeID string  `json:"changeId"`
	Objects  Objects `json:"objects"`
}
