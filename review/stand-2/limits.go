package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Values of the case of changed limits.
const (
	smallBody  = 1200
	largeBody  = 7200
	keptConns  = 24
	touchBound = 4 * time.Second
	// afterAck is when the large requests are sent, after the acknowledgement.
	afterAck = 4500 * time.Millisecond
	// deniedAllowed is the number of denied requests that the rule allows, besides one in
	// 500.
	deniedAllowed = 5
)

// playLimits raises the limit of bodies in a new version of the configuration while clients
// keep connections open. They then send requests that only the new version allows.
func playLimits(rec *record, dir string, disrupted bool) error {
	d, err := newDeployment(rec, dir, [][2]string{{"lekki", "lagos"}, {"ikeja", "lagos"}}, 2)
	if err != nil {
		return err
	}
	defer d.close()
	routes := map[string]route{
		"r-pay": {prefix: "/pay/", kind: wire.NonIdempotent, service: "booking", timeoutMs: 2000},
	}
	before := limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 10, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
	after := before
	after.MaxBodyBytes = 16 << 10
	if !disrupted {
		before = after
	}
	d.configure(7, routes, before)
	for i := range 4 {
		zone := []string{"lekki", "ikeja"}[i%2]
		if _, err := d.addEndpoint(fmt.Sprintf("i-%d", i+1), "booking", zone, 2, 160*time.Millisecond); err != nil {
			return err
		}
	}
	if err := d.startAll(); err != nil {
		return err
	}
	time.Sleep(touchBound)
	c := &clients{record: rec}
	var kept []*connection
	for i := range keptConns {
		conn, err := c.dial(d.caller(d.hosts[i%len(d.hosts)]))
		if err != nil {
			return err
		}
		kept = append(kept, conn)
		s, _ := conn.send(http.MethodPost, "/pay/a", strings.Repeat("a", smallBody), 4*time.Second)
		conn.receive(s, 5*time.Second)
		if s.status != http.StatusOK {
			return fmt.Errorf("a request before the change got %d", s.status)
		}
	}
	if disrupted {
		d.configure(12, routes, after)
	}
	time.Sleep(afterAck)
	for _, conn := range kept {
		s, _ := conn.send(http.MethodPost, "/pay/b", strings.Repeat("b", largeBody), 4*time.Second)
		conn.receive(s, 5*time.Second)
	}
	// New connections show that the new version is in force on every daemon.
	for _, h := range d.hosts {
		conn, err := c.dial(d.caller(h))
		if err != nil {
			return err
		}
		s, _ := conn.send(http.MethodPost, "/pay/c", strings.Repeat("c", largeBody), 4*time.Second)
		conn.receive(s, 5*time.Second)
		if s.status != http.StatusOK {
			return fmt.Errorf("a large request on a new connection to %s got %d", h.name, s.status)
		}
	}
	denied, all := 0, c.all()
	for _, s := range all {
		if s.status >= 300 && s.status < 500 && s.status != 408 && s.status != 421 && s.status != 429 && s.stamp == "" {
			denied++
		}
	}
	if denied > deniedAllowed+len(all)/500 {
		return fmt.Errorf("%w: CONFIG, DENIED: %d of %d requests were refused for good, as only the old version asks, %s after the acknowledgement", errBroken, denied, len(all), afterAck)
	}
	return nil
}
