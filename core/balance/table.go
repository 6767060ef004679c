package balance

import (
	"time"

	"github.com/agateusher/agateusher/core/cost"
	"github.com/agateusher/agateusher/core/model"
)

// ServerKey identifies one incarnation of a backend server.
type ServerKey uint64

// AttemptKey identifies an attempt within the data centre: the host that sent it
// and that daemon's number for it.
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
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// WarmedUpAt is when the server is expected to reach full speed.
	WarmedUpAt time.Time
}

// Options configures a Table.
type Options struct {
	// DataCentre and Region are those of this daemon.
	DataCentre model.DataCentre
	Region     model.Region
	Model      Model
	Costs      Costs
	// Budget bounds the retries and hedges of each service.
	Budget Budget
}

// Table holds the servers of all services, the evidence about them and the
// outstanding attempts. It is not safe for concurrent use.
type Table struct {
	opts     Options
	servers  map[ServerKey]*server
	services map[model.ServiceName]*service
	attempts map[AttemptKey]*attempt
	// dataCentres is the number of data centres that share a retry budget.
	dataCentres int
	// countingSince is when the counting of requests and retries began.
	countingSince time.Time
	signals       signals
}

type service struct {
	servers  []*server
	arrivals window
	retries  window
	// serviceTime is the moving average of the service time of successful
	// attempts, without the wait for a slot.
	serviceTime time.Duration
	// remainders has the distribution of service times around their estimates.
	remainders *cost.Remainders
	// lastNonIdempotent is when Choose was last called for a non-idempotent request.
	lastNonIdempotent time.Time
	// lastProbeable is when Choose was last called for a request that may probe.
	lastProbeable time.Time
}

type server struct {
	Server
	belief Belief
	// outstanding is the number of outstanding attempts of this data centre.
	outstanding int
	// running has these attempts in the order of their starts.
	running []*attempt
	// remoteLoads holds the last load report of each other data centre.
	remoteLoads map[model.DataCentre]Load
	// lastEvidence is when an attempt here last succeeded or failed.
	lastEvidence time.Time
	// lastSent is when a daemon of this data centre last sent an attempt here.
	lastSent time.Time
	// serviceTime is the moving average of the server's own service time, and
	// serviceTimeAt the time of its last sample.
	serviceTime   time.Duration
	serviceTimeAt time.Time
	// shedUntil is the end of the backoff after the last of consecutiveSheds.
	shedUntil        time.Time
	consecutiveSheds int
	// unreachableUntil is the end of the time for which the server counts as
	// unreachable: this daemon could not connect to it, or an attempt of any
	// daemon was misdirected.
	unreachableUntil time.Time
	limit            knownLimit
}

// totalOutstanding returns the number of known outstanding attempts at the server
// of all data centres. Reports older than remoteLoadLifetime are left out.
func (s *server) totalOutstanding(now time.Time) int {
	n := s.outstanding
	for _, l := range s.remoteLoads {
		if now.Sub(l.ReportedAt) < remoteLoadLifetime {
			n += l.Outstanding
		}
	}
	return n
}

type attempt struct {
	server  *server
	started time.Time
	// queueFactor is the expected latency of the attempt in service times: its
	// own, and its share of the attempts queued before it.
	queueFactor float64
	// expected is the expected service time.
	expected time.Duration
	stalled  bool
}

// Load is an entry of a data centre's load report, about one server.
type Load struct {
	// Outstanding is the number of outstanding attempts of that data centre.
	Outstanding int
	// Work is their expected remaining service time; zero if it is not known.
	Work time.Duration
	// FailingProbability is set only by the server's own data centre.
	FailingProbability float64
	// ReportedAt is when this daemon made or received the report.
	ReportedAt time.Time
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{
		opts: o, servers: map[ServerKey]*server{}, services: map[model.ServiceName]*service{},
		attempts: map[AttemptKey]*attempt{}, dataCentres: 1, signals: newSignals(),
	}
}

// SetServers replaces the set of servers and keeps the evidence about those whose
// key stays. dataCentres is the number of data centres of the fleet.
func (t *Table) SetServers(now time.Time, list []Server, dataCentres int) {
	t.dataCentres = max(1, dataCentres)
	if t.countingSince.IsZero() {
		t.countingSince = now
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
		svc := t.service(next.Service)
		svc.servers = append(svc.servers, s)
	}
	t.servers = kept
}

// service returns the state of a service, which it creates if it is missing.
func (t *Table) service(name model.ServiceName) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{arrivals: window{span: t.opts.Budget.Window}, retries: extendedWindow(t.opts.Budget.Window), remainders: cost.NewRemainders()}
		t.services[name] = s
	}
	return s
}

// Server returns the server with the key; false if it is not in the table.
func (t *Table) Server(k ServerKey) (Server, bool) {
	s, ok := t.servers[k]
	if !ok {
		return Server{}, false
	}
	return s.Server, true
}
