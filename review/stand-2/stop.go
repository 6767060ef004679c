package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Values of the case of a planned stop during slow uploads.
const (
	slowUploads = 4
	slowBody    = 7200
	bodyParts   = 24
	// uploadBegins and uploadEnds are the times after SIGTERM at which a client begins to
	// send its payment and has sent its last byte.
	uploadBegins = 2000 * time.Millisecond
	uploadEnds   = 4850 * time.Millisecond
	// stopWork is how long the endpoints work on a request.
	stopWork = 800 * time.Millisecond
	// excusedSending is how long after SIGTERM a request may be sent whose endpoint is
	// still at work in the last sixth of the grace period.
	excusedSending = 3 * time.Second
	lossSlack      = 200 * time.Millisecond
	// The routes' timeouts and the clients' deadlines.
	payTimeout, payDeadline   = 2 * time.Second, 4 * time.Second
	tripTimeout, tripDeadline = 3 * time.Second, 6 * time.Second
)

// playStop stops a daemon with SIGTERM. Clients with a slow uplink send it a payment, which
// is complete 4.85 s later, and a read of trips behind it on the same connection.
func playStop(rec *record, dir string, disrupted bool) error {
	d, err := newDeployment(rec, dir, [][2]string{{"lekki", "lagos"}, {"ikeja", "lagos"}}, 2)
	if err != nil {
		return err
	}
	defer d.close()
	d.configure(7, map[string]route{
		"r-pay":  {prefix: "/pay/", kind: wire.NonIdempotent, service: "booking", timeoutMs: int(payTimeout.Milliseconds())},
		"r-trip": {prefix: "/trip/", kind: wire.Idempotent, service: "ledger", timeoutMs: int(tripTimeout.Milliseconds())},
	}, limits{MaxHeaderBytes: 16384, MaxBodyBytes: 64 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000})
	for i := range 16 {
		service, zone := []string{"booking", "ledger"}[i/8], []string{"lekki", "ikeja"}[i%2]
		if _, err := d.addEndpoint(fmt.Sprintf("i-%d", i+1), service, zone, 2, stopWork); err != nil {
			return err
		}
	}
	if err := d.startAll(); err != nil {
		return err
	}
	time.Sleep(touchBound)
	c := &clients{record: rec}
	began := time.Now()
	if disrupted {
		d.signal(d.hosts[0], syscall.SIGTERM)
	}
	time.Sleep(uploadBegins)
	results := make(chan []upload, slowUploads)
	for range slowUploads {
		conn, err := c.dial(d.caller(d.hosts[0]))
		if err != nil {
			return err
		}
		go func() { results <- uploadSlowly(c, conn, began) }()
	}
	var lost []string
	for range slowUploads {
		for _, u := range <-results {
			if text := u.lost(d, began); text != "" {
				lost = append(lost, text)
			}
		}
	}
	if len(lost) > 0 {
		return fmt.Errorf("%w: LOST: %d requests: %s", errBroken, len(lost), strings.Join(lost, "; "))
	}
	return nil
}

// upload is a request and when its last byte was sent.
type upload struct {
	*sent
	whole             time.Time
	timeout, deadline time.Duration
}

// uploadSlowly sends a payment slowly and a read behind it, and reads the answers.
func uploadSlowly(c *clients, conn *connection, began time.Time) []upload {
	defer func() { _ = conn.Close() }()
	body := strings.Repeat("p", slowBody)
	pay := upload{sent: c.begin(http.MethodPost, "/pay/a", body), timeout: payTimeout, deadline: payDeadline}
	_, _ = io.WriteString(conn, pay.head(len(body), payDeadline))
	interval := time.Until(began.Add(uploadEnds)) / bodyParts
	for i := range bodyParts {
		time.Sleep(interval)
		_, _ = io.WriteString(conn, body[i*len(body)/bodyParts:(i+1)*len(body)/bodyParts])
	}
	pay.whole = time.Now()
	c.record.add("client has sent the last byte of %s", pay.id)
	s, _ := conn.send(http.MethodGet, "/trip/a", "", tripDeadline)
	trip := upload{sent: s, whole: s.at, timeout: tripTimeout, deadline: tripDeadline}
	conn.receive(pay.sent, 5*time.Second)
	switch {
	case pay.err != nil:
		trip.err, trip.done = pay.err, pay.done
	case conn.closing:
		return []upload{pay} // the read counts as not read
	default:
		conn.receive(trip.sent, 5*time.Second)
	}
	return []upload{pay, trip}
}

// lost returns a text if the rule LOST is broken for a request: it was passed on to an
// endpoint that did not break off, its connection ended without an answer, and no excuse of
// the rule applies.
func (u upload) lost(d *deployment, began time.Time) string {
	passedOn := 0
	for _, e := range d.endpoints {
		for _, a := range e.all() {
			if a.id == u.id && a.ran {
				passedOn++
			}
		}
	}
	waited := u.done.Sub(u.whole)
	if u.err == nil || passedOn == 0 || waited <= lossSlack || waited >= u.timeout || u.done.Sub(u.at) >= u.deadline || u.whole.Sub(began) <= excusedSending {
		return ""
	}
	return fmt.Sprintf("%s %s was complete %.2f s after SIGTERM, ran, and was cut after %.2f s (%v)", u.method, u.id, u.whole.Sub(began).Seconds(), waited.Seconds(), u.err)
}
