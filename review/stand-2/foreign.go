package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Values of the case of an entry from another writer.
const (
	// heartbeat is the interval at which endpoints write their entries.
	heartbeat     = 1500 * time.Millisecond
	payWork       = 160 * time.Millisecond
	foreignPayers = 16
	// loadBefore and loadAfter are how long payments are sent before and after the entry
	// was written.
	loadBefore = 2 * time.Second
	loadAfter  = 4 * time.Second
)

// playForeign overwrites the entry of an endpoint of one service with one from another
// writer, which names another service and lacks a field, until the endpoint's next heartbeat.
func playForeign(rec *record, dir string, disrupted bool) error {
	d, err := newDeployment(rec, dir, [][2]string{{"lekki", "lagos"}, {"ikeja", "lagos"}}, 2)
	if err != nil {
		return err
	}
	defer d.close()
	d.configure(7, map[string]route{
		"r-pay":  {prefix: "/pay/", kind: wire.NonIdempotent, service: "booking", timeoutMs: 2000},
		"r-trip": {prefix: "/trip/", kind: wire.Idempotent, service: "ledger", timeoutMs: 3000},
	}, limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000})
	for i := range 8 {
		service, zone := []string{"booking", "ledger"}[i/4], []string{"lekki", "ikeja"}[i%2]
		if _, err := d.addEndpoint(fmt.Sprintf("i-%d", i+1), service, zone, 2, payWork); err != nil {
			return err
		}
	}
	if err := d.startAll(); err != nil {
		return err
	}
	time.Sleep(touchBound)
	c := &clients{record: rec}
	stop := make(chan struct{})
	var payers sync.WaitGroup
	for i := range foreignPayers {
		payers.Go(func() { payUntil(c, d.caller(d.hosts[i%len(d.hosts)]), stop) })
	}
	time.Sleep(loadBefore)
	victim := d.endpoints[7]
	if disrupted {
		d.writeForeign(victim)
		time.AfterFunc(heartbeat, func() { d.register(victim, wire.InService) })
	}
	time.Sleep(loadAfter)
	close(stop)
	payers.Wait()
	wrong := 0
	for _, e := range d.endpoints {
		for _, a := range e.all() {
			if a.ran && e.service == "ledger" && strings.HasPrefix(a.target, "/pay/") {
				wrong++
			}
		}
	}
	if wrong > 0 {
		return fmt.Errorf("%w: ROUTE: %d payments, whose route has always been to booking, were run by ledger", errBroken, wrong)
	}
	return nil
}

// writeForeign writes an entry under the id of an endpoint: it names the service booking and
// has no version.
func (d *deployment) writeForeign(e *endpoint) {
	spec, status := e.entry(wire.InService, 1)
	entry := spec.(map[string]any)
	info := entry["info"].(map[string]any)
	info["service"] = "booking"
	delete(info, "version")
	revision := d.store.put("servers", e.id, entry, status)
	d.record.add("another writer writes the entry of %s %s, revision %d: %s %s", e.service, e.id, revision, encode(entry), encode(status))
}

// payUntil sends payments, each on a connection of its own, until stop is closed.
func payUntil(c *clients, address string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		conn, err := c.dial(address)
		if err != nil {
			continue
		}
		s, _ := conn.send(http.MethodPost, "/pay/a", "amount", 4*time.Second)
		conn.receive(s, 5*time.Second)
		_ = conn.Close()
	}
}
