package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	drainBound = 2500 * time.Millisecond
	// pollInterval is how often the clients' screens ask, and pollRequests how many
	// requests that are.
	pollInterval = 5 * time.Second
	pollRequests = 16
)

func init() { cases["store-era"] = storeEra }

// config returns the configuration of a small deployment.
func config(version int, timeout time.Duration) json.RawMessage {
	route := wire(`{"host":"front.example","path_prefix":%q,"${routeType}":%q,"timeout_ms":%d,"target_latency_ms":600,"priority":1,"service":"booking","max_attempts":2}`)
	return json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":{"look":`+route+`,"pay":`+route+`},"services":{"booking":{"health_check_path":"/health"}},`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, "/look/", "idempotent", timeout.Milliseconds(), "/pay/", names["onlyOnce"], timeout.Milliseconds()))
}

// operator keeps the newest configuration in the store.
type operator struct {
	store   *store
	log     *record
	mu      sync.Mutex
	version int
	timeout time.Duration
}

func (o *operator) write(version int, timeout time.Duration) {
	o.mu.Lock()
	o.version, o.timeout = version, timeout
	o.mu.Unlock()
	o.again()
}

// again writes the newest configuration until the store has accepted it.
func (o *operator) again() {
	for {
		o.mu.Lock()
		spec := config(o.version, o.timeout)
		o.mu.Unlock()
		if _, err := o.store.put("config", "main", spec, nil, nil); err == nil {
			o.log.line("store acknowledged configuration %d", o.version)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// storeEra: the store comes back from a copy some seconds old. Later, endpoints drain.
func storeEra(log *record, trouble bool) bool {
	s := newStore()
	stopCopies := make(chan struct{})
	go s.keepCopies(stopCopies)
	op := &operator{store: s, log: log}
	op.write(7, 3*time.Second)
	zones := []string{"zone-a", "zone-b"}
	regions := map[string]string{"zone-a": "region", "zone-b": "region"}
	var endpoints []*endpoint
	add := func(warmup time.Duration) *endpoint {
		e := newEndpoint(s, log, fmt.Sprintf("i-%02d", len(endpoints)), "booking", zones[len(endpoints)%2], 40*time.Millisecond, warmup)
		endpoints = append(endpoints, e)
		return e
	}
	for range 12 {
		add(0)
	}
	var daemons []*daemon
	for i := range 4 {
		daemons = append(daemons, newDaemon(fmt.Sprintf("edge-%d", i), zones[i%2], "region"))
	}
	seeds := []string{daemons[0].addresses["admin"], daemons[1].addresses["admin"]}
	for _, d := range daemons {
		d.configure(options{store: s.address(), regions: regions, seeds: seeds})
		d.start()
	}
	awaitReady(daemons...)
	log.line("all daemons are ready, revision %d", s.revision())

	c := newClient(log, "front.example")
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	// The clients' screens refresh each pollInterval.
	tick := make(chan struct{}, 100)
	traffic.Go(func() {
		for {
			for i := range pollRequests {
				traffic.Go(func() {
					time.Sleep(time.Duration(i) * 40 * time.Millisecond)
					if i%4 == 3 {
						c.send(daemons[i/4%4], http.MethodPost, "/pay/a", 3*time.Second, nil)
					} else {
						c.send(daemons[i%4], http.MethodGet, "/look/a", 3*time.Second, nil)
					}
				})
			}
			select {
			case <-stop:
				return
			case tick <- struct{}{}:
			}
			select {
			case <-stop:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	awaitTick := func() {
		for len(tick) > 0 {
			<-tick
		}
		<-tick
	}

	// A release of three endpoints and two changes of the configuration.
	time.Sleep(7 * time.Second)
	for i := range 3 {
		add(3 * time.Second)
		old := endpoints[i]
		time.AfterFunc(time.Second, func() {
			old.drain()
			time.AfterFunc(drainBound+500*time.Millisecond, old.leave)
		})
		time.Sleep(1200 * time.Millisecond)
		if i < 2 {
			op.write(8+i, 3*time.Second-time.Duration(i+1)*100*time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.setAway()
		log.line("the store is away")
		time.Sleep(time.Second)
		before, after := s.restore(6 * time.Second)
		log.line("the store is back from a copy, revision %d after %d", after, before)
		op.again()
	}
	close(stopCopies)
	time.Sleep(4*time.Second + 2*contact)

	// The store is stable since twice contact_ms. Endpoints are emptied and taken away.
	began := time.Now()
	log.line("the store is stable, revision %d", s.revision())
	for _, e := range endpoints[3:7] {
		awaitTick()
		time.Sleep(1200 * time.Millisecond)
		e.drain()
		time.AfterFunc(12*time.Second, e.leave)
	}
	awaitTick()
	time.Sleep(2 * time.Second)
	close(stop)
	traffic.Wait()

	sent := map[string]attempt{}
	for _, a := range c.all() {
		sent[a.id] = a
	}
	late := 0
	for _, e := range endpoints[3:7] {
		bound := e.drainedAt().Add(drainBound)
		for _, a := range e.ran() {
			if a.at.After(bound) && sent[a.id].sent.After(bound) {
				late++
				log.line("DRAIN: request %s, sent %.2f s after the acknowledgement, reached %s", a.id, sent[a.id].sent.Sub(e.drainedAt()).Seconds(), e.id)
			}
		}
	}
	s.mu.Lock()
	log.line("%d calls of the store, %d watches answered 410; %d requests sent, %.1f s since the first endpoint drained; %d requests reached an endpoint too late",
		s.calls, s.gone, len(sent), time.Since(began).Seconds(), late)
	s.mu.Unlock()
	return late == 0
}
