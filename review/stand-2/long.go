package main

import (
	"fmt"
	"net/http"
	"time"
)

// Values of the case of long answers that break off.
const (
	longAnswer = 5 << 20
	// brokenAfter is how much of a long answer is sent before it breaks off; one in
	// brokenEvery of the faulty endpoint's answers does.
	brokenAfter = longAnswer - 100<<10
	brokenEvery = 40
	longRounds  = 130
	readsBehind = 4
	// lostAllowed is the number of requests that the rule allows to lose.
	lostAllowed = 3
)

// playLong sends a read with a long answer and short reads of another service behind it, on
// a kept connection. One of the two endpoints of the first service breaks off some answers.
func playLong(rec *record, dir string, disrupted bool) error {
	d, err := newDeployment(rec, dir, [][2]string{{"lekki", "lagos"}, {"ikeja", "lagos"}}, 1)
	if err != nil {
		return err
	}
	defer d.close()
	d.configure(7, map[string]route{
		"r-trip":  {prefix: "/trip/", kind: wire.Idempotent, service: "ledger", timeoutMs: 3000},
		"r-space": {prefix: "/space/", kind: wire.Idempotent, service: "booking", timeoutMs: 1500},
	}, limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000})
	answers := 0
	for i := range 6 {
		service, zone := []string{"ledger", "booking", "booking"}[i/2], []string{"lekki", "ikeja"}[i%2]
		e, err := d.addEndpoint(fmt.Sprintf("i-%d", i+1), service, zone, 2, 20*time.Millisecond)
		if err != nil {
			return err
		}
		switch i {
		case 0: // the only client has one long read at a time
			e.long = func() (int, int) {
				if answers++; disrupted && answers%brokenEvery == 0 {
					return longAnswer, brokenAfter
				}
				return longAnswer, longAnswer
			}
		case 1:
			e.long = func() (int, int) { return longAnswer, longAnswer }
		}
	}
	if err := d.startAll(); err != nil {
		return err
	}
	time.Sleep(touchBound)
	c := &clients{record: rec}
	lost, err := readLong(c, d)
	if err != nil {
		return err
	}
	if lost > lostAllowed {
		return fmt.Errorf("%w: LOST: %d reads on kept connections were passed on to sound endpoints and got no answer", errBroken, lost)
	}
	return nil
}

// readLong plays the rounds and returns the number of short reads that were passed on to an
// endpoint and whose connection closed without an answer.
func readLong(c *clients, d *deployment) (lost int, err error) {
	var conn *connection
	for range longRounds {
		if conn == nil {
			if conn, err = c.dial(d.caller(d.hosts[0])); err != nil {
				return 0, err
			}
		}
		round := []*sent{}
		for i := range 1 + readsBehind {
			path := "/space/a"
			if i == 0 {
				path = "/trip/a"
			}
			s, _ := conn.send(http.MethodGet, path, "", 6*time.Second)
			round = append(round, s)
		}
		for i, s := range round {
			if conn.receive(s, 7*time.Second); s.err == nil {
				continue
			}
			for _, behind := range round[i+1:] {
				if d.ran(behind.id) {
					c.record.add("%s was passed on and is not answered", behind.id)
					lost++
				}
			}
			_ = conn.Close()
			conn = nil
			break
		}
	}
	return lost, nil
}

// ran reports whether an endpoint began to work on a request.
func (d *deployment) ran(id string) bool {
	for _, e := range d.endpoints {
		for _, a := range e.all() {
			if a.id == id && a.ran {
				return true
			}
		}
	}
	return false
}
