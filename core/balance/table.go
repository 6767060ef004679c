package balance

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// ServerKey identifies one incarnation of a backend server.
type ServerKey uint64

// AttemptKey identifies an attempt within the data centre.
type AttemptKey struct {
	Host   model.HostID
	Number uint64
}

// Server is a backend server that may receive requests.
type Server struct {
	Key        ServerKey
	ID         model.ServerID
	Service    model.ServiceName
	DataCentre model.DataCentre
	Region     model.Region
	// Address is "ip:port".
	Address string
	// Slots is the number of requests that it runs at a time.
	Slots int
	// WarmedUpAt is when it is expected to be at full speed.
	WarmedUpAt time.Time
}

// Options configure a Table.
type Options struct {
	// DataCentre and Region are where this daemon runs.
	DataCentre model.DataCentre
	Region     model.Region
	Model      Model
	Costs      Costs
	// Budget bounds the retries of a service.
	Budget Budget
}

// Table holds the servers of all services with the evidence about them.
type Table struct {
	opts     Options
	servers  map[ServerKey]*server
	services map[model.ServiceName]*service
	attempts map[AttemptKey]*attempt
	// dataCentres is the number of data centres that share a retry budget.
	dataCentres int
	// began is when requests began to be counted.
	began time.Time
}

type service struct {
	servers  []*server
	arrivals window
	repeats  window
	// work is the moving average of the service time of successful attempts,
	// waiting for a slot left out.
	work time.Duration
	// guarded is set while requests that must not repeat were seen lately.
	guarded time.Time
}

type server struct {
	Server
	belief Belief
	// outstanding attempts of this data centre.
	outstanding int
	// elsewhere is what other data centres report.
	elsewhere map[model.DataCentre]Load
	// heard is when an attempt last ended here with evidence.
	heard time.Time
	// probed is when an attempt was last sent.
	probed time.Time
	// work is the moving average of the service time.
	work  time.Duration
	timed time.Time
	// shedUntil is when the server is expected to accept requests again.
	shedUntil time.Time
	sheds     int
	// unreachableUntil is the end of this daemon's own doubt about the path.
	unreachableUntil time.Time
}

// load returns the attempts at the server that are known, of all data centres.
func (s *server) load(now time.Time) int {
	n := s.outstanding
	for _, l := range s.elsewhere {
		if now.Sub(l.ReportedAt) < remoteLoadLifetime {
			n += l.Outstanding
		}
	}
	return n
}

type attempt struct {
	server  *server
	started time.Time
	// rounds is the number of service times that the attempt was expected to
	// take: its own, and its share of those queued before it.
	rounds  float64
	stalled bool
}

// Load is what the daemons of another data centre report about a server.
type Load struct {
	// Outstanding attempts of that data centre.
	Outstanding int
	// FailingProbability is its belief, if it is the server's own data centre.
	FailingProbability float64
	ReportedAt         time.Time
}

// NewTable returns a table without servers.
func NewTable(o Options) *Table {
	return &Table{
		opts: o, servers: map[ServerKey]*server{}, services: map[model.ServiceName]*service{},
		attempts: map[AttemptKey]*attempt{}, dataCentres: 1,
	}
}

// SetServers replaces the set of servers. Evidence about servers that stay is
// kept. dataCentres is the number of data centres of the fleet.
func (t *Table) SetServers(now time.Time, list []Server, dataCentres int) {
	t.dataCentres = max(1, dataCentres)
	if t.began.IsZero() {
		t.began = now
	}
	kept := make(map[ServerKey]*server, len(list))
	for _, s := range t.services {
		s.servers = s.servers[:0]
	}
	for _, next := range list {
		s, ok := t.servers[next.Key]
		if !ok {
			s = &server{belief: t.opts.Model.NewBelief(now)}
		}
		s.Server = next
		kept[next.Key] = s
		group := t.service(next.Service)
		group.servers = append(group.servers, s)
	}
	t.servers = kept
}

func (t *Table) service(name model.ServiceName) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{arrivals: window{span: t.opts.Budget.Window}, repeats: longWindow(t.opts.Budget.Window)}
		t.services[name] = s
	}
	return s
}

// Server returns the server with the key.
func (t *Table) Server(k ServerKey) (Server, bool) {
	s, ok := t.servers[k]
	if !ok {
		return Server{}, false
	}
	return s.Server, true
}
