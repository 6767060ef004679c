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

// Policy names a health profile, the trade between detection time and false
// ejections.
type Policy string

const (
	// PolicyRidemark favours fast detection.
	PolicyRidemark Policy = "ridemark"
	// PolicyConsortium favours few false ejections.
	PolicyConsortium Policy = "consortium"
)

// ServerState is what operators ask of a backend server.
type ServerState string

const (
	// ServerActive receives requests as its health allows. The default.
	ServerActive ServerState = "active"
	// ServerDraining is leaving: it receives no new requests.
	ServerDraining ServerState = "draining"
	// ServerEjected was ejected by an operator.
	ServerEjected ServerState = "ejected"
)

// Floor is the least healthy capacity that ejections must leave. Both parts
// apply.
type Floor struct {
	// Share of the configured slots, 0 to 1.
	Share float64 `json:"share"`
	// MinServers is a count over the whole service.
	MinServers int `json:"minServers"`
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name   model.ServiceName `json:"name"`
	Floor  Floor             `json:"floor"`
	Policy Policy            `json:"policy"`
	// DeadlineMs bounds a request from its arrival at an entry, in milliseconds.
	DeadlineMs int `json:"deadlineMs"`
	// RetryBudgetShare is the largest ratio of retries and hedges to requests.
	RetryBudgetShare float64 `json:"retryBudgetShare"`
	// QueueLimit bounds the requests waiting at one pool.
	QueueLimit int `json:"queueLimit"`
	// CancelPath is the path for DELETE at a backend server that cancels a
	// request; "{id}" stands for the request ID. Empty: not supported.
	CancelPath string `json:"cancelPath,omitempty"`
	// ShedHeader marks a 503 as shed without having run.
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
	// Slots is the number of requests it runs at a time.
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
	// Methods lists HTTP methods; empty matches any.
	Methods []string          `json:"methods,omitempty"`
	Service model.ServiceName `json:"service"`
	// Repeatable marks idempotent requests, such as lookups. Other requests
	// need an idempotency key.
	Repeatable bool `json:"repeatable"`
	// IssueKeysFor names a route whose idempotency key is put on this route's
	// responses.
	IssueKeysFor model.RouteName `json:"issueKeysFor,omitempty"`
	// RatePerSecond bounds the requests of the whole fleet; zero: no limit.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
}

// Workspace is a group of callers that share a weight and a rate.
type Workspace struct {
	ID model.WorkspaceID `json:"id"`
	// Weight is its share relative to others; the default is 1.
	Weight float64 `json:"weight"`
	// RatePerSecond bounds the requests of the whole fleet; zero: no limit.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
}

// ReportColumn is one column of a daily report.
type ReportColumn struct {
	Heading string `json:"heading"`
	// Field names a report counter, such as "requests" or "p99Ms".
	Field string `json:"field"`
	// Format is a number format, such as "0.00"; empty: as it is.
	Format string `json:"format,omitempty"`
}

// ReportLayout says how a daily report is laid out.
type ReportLayout struct {
	Name      string         `json:"name"`
	Columns   []ReportColumn `json:"columns"`
	Separator string         `json:"separator,omitempty"`
	Decimal   string         `json:"decimal,omitempty"`
}

// Objects is a set of configuration objects. In an applied file it holds what
// is created or replaced; in a snapshot it holds everything, ordered by name.
type Objects struct {
	Services      []Service      `json:"services,omitempty"`
	Servers       []Server       `json:"servers,omitempty"`
	Routes        []Route        `json:"routes,omitempty"`
	Workspaces    []Workspace    `json:"workspaces,omitempty"`
	ReportLayouts []ReportLayout `json:"reportLayouts,omitempty"`
}

// Ref names one object.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Change is one operator change: objects to create or replace, and objects to
// delete, accepted as a whole or not at all.
type Change struct {
	// ID is unique; it resolves whether an update whose reply was lost took
	// effect.
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
