package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/agateusher/agateusher/objectapi"
)

// Defaults of Options. The rates follow the platform's description: several
// hundred writes and about 2,000 reads per second.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
	DefaultWatchLimit      = 30 * time.Second
	DefaultHostLag         = 5 * time.Second
)

// Options configures a Platform. The zero value uses the defaults.
type Options struct {
	// WritesPerSecond and ReadsPerSecond limit the total rate of all clients. A
	// burst of one second's calls is allowed. Negative: no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// WatchLimit is the longest time that a watch waits.
	WatchLimit time.Duration
	// HostLag is the delay until a change of the host list is visible.
	// Negative: no delay.
	HostLag time.Duration
}

func (o Options) withDefaults() Options {
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.WatchLimit == 0 {
		o.WatchLimit = DefaultWatchLimit
	}
	if o.HostLag == 0 {
		o.HostLag = DefaultHostLag
	}
	return o
}

// Platform is a stand-in for the platform. It is safe for concurrent use. The
// embedded Endpoint is its default address.
type Platform struct {
	*Endpoint
	options Options
	objects *objectTable
	hosts   *hostTable
	reads   *rate.Limiter
	writes  *rate.Limiter
	calls   counters
	admin   http.Handler

	mu        sync.Mutex
	endpoints map[string]*Endpoint
}

// New returns an empty platform without faults.
func New(o Options) *Platform {
	o = o.withDefaults()
	p := &Platform{
		options:   o,
		objects:   newObjectTable(),
		hosts:     &hostTable{lag: max(o.HostLag, 0)},
		reads:     newLimiter(o.ReadsPerSecond),
		writes:    newLimiter(o.WritesPerSecond),
		endpoints: map[string]*Endpoint{},
	}
	p.admin = p.newAdmin()
	p.Endpoint = newEndpoint(p)
	return p
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// EndpointNamed returns the endpoint with the name. It creates one without faults
// if there is none. The empty name is the Platform's own endpoint.
func (p *Platform) EndpointNamed(name string) *Endpoint {
	if name == "" {
		return p.Endpoint
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.endpoints[name]
	if !ok {
		e = newEndpoint(p)
		p.endpoints[name] = e
	}
	return e
}

// SetHosts replaces the host list. Clients see it after the lag.
func (p *Platform) SetHosts(hosts []objectapi.Host) { p.hosts.set(time.Now(), hosts) }

// Calls returns the counters so far.
func (p *Platform) Calls() Calls { return p.calls.read() }

// Endpoint is one address of the platform, with its own faults.
type Endpoint struct {
	platform *Platform
	faults   faultSwitch
	router   http.Handler
}

func newEndpoint(p *Platform) *Endpoint {
	e := &Endpoint{platform: p, faults: newFaultSwitch()}
	r := chi.NewRouter()
	r.Get(objectapi.ObjectsPath, e.list)
	r.Get(objectapi.ObjectsPath+"/*", e.get)
	r.Put(objectapi.ObjectsPath+"/*", e.put)
	r.Delete(objectapi.ObjectsPath+"/*", e.remove)
	r.Get(objectapi.HostsPath, e.hostList)
	r.Mount("/admin", p.admin)
	e.router = r
	return e
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// SetFaults replaces the faults of this endpoint. The change takes effect at once
// on calls that wait in a hang or in a watch.
func (e *Endpoint) SetFaults(f Faults) { e.faults.set(f) }

// Faults returns the current faults of this endpoint.
func (e *Endpoint) Faults() Faults {
	f, _ := e.faults.get()
	return f
}
