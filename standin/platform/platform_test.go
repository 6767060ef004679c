package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/standin/platform"
)

func newStore(t *testing.T, e *platform.Endpoint) *objectapi.Client {
	t.Helper()
	c, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: "http://platform", Transport: e.Transport(), Timeout: time.Second})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return c
}

// Guards against a client and a stand-in that disagree about the protocol when
// they communicate over a socket.
func TestConditionalUpdatesOverHTTP(t *testing.T) {
	g := NewWithT(t)
	p := platform.New(platform.Options{})
	server := httptest.NewServer(p)
	defer server.Close()
	c, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: server.URL})
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	ctx := t.Context()

	_, err = c.Get(ctx, "a/b")
	g.Expect(err).To(MatchError(objectapi.ErrNotFound))
	g.Expect(c.Delete(ctx, "a/b", 1)).To(MatchError(objectapi.ErrNotFound))
	v1, err := c.Put(ctx, "a/b", []byte("one"), 0)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Put(ctx, "a/b", []byte("two"), 0)
	g.Expect(err).To(Equal(&objectapi.ConflictError{Key: "a/b", Expected: 0, Current: v1}))
	v2, err := c.Put(ctx, "a/b", []byte("two"), v1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v2).To(BeNumerically(">", v1))
	_, err = c.Put(ctx, "a/b", []byte("three"), v1)
	g.Expect(err).To(Equal(&objectapi.ConflictError{Key: "a/b", Expected: v1, Current: v2}))
	g.Expect(c.Get(ctx, "a/b")).To(Equal(objectapi.Object{Key: "a/b", Version: v2, Value: []byte("two")}))
	g.Expect(c.Put(ctx, "a/c", []byte{}, 0)).To(BeNumerically(">", v2))
	g.Expect(c.List(ctx, "a/")).To(Equal([]string{"a/b", "a/c"}))
	g.Expect(c.Delete(ctx, "a/b", v1)).To(BeAssignableToTypeOf(&objectapi.ConflictError{}))
	g.Expect(c.Delete(ctx, "a/b", v2)).To(Succeed())
	v3, err := c.Put(ctx, "a/b", []byte("new"), 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v3).To(BeNumerically(">", v2), "versions must also grow over a deletion")
}

// Guards against values over the limit, invalid keys and invalid addresses being
// accepted.
func TestRejectedInput(t *testing.T) {
	g := NewWithT(t)
	c := newStore(t, platform.New(platform.Options{}).Endpoint)
	_, err := c.Put(t.Context(), "big", make([]byte, objectapi.MaxValueBytes+1), 0)
	g.Expect(err).To(MatchError(objectapi.ErrTooLarge))
	_, err = c.Put(t.Context(), "big", make([]byte, objectapi.MaxValueBytes), 0)
	g.Expect(err).NotTo(HaveOccurred())
	for _, key := range []string{"", "/a", "a//b", "a/../b", "a b", "a/"} {
		_, err = c.Get(t.Context(), key)
		g.Expect(err).To(BeAssignableToTypeOf(&objectapi.KeyError{}), key)
	}
	for _, url := range []string{"", "127.0.0.1:1", "http://h/path", "http://%zz"} {
		_, err = objectapi.NewClient(objectapi.ClientOptions{BaseURL: url})
		g.Expect(err).To(BeAssignableToTypeOf(&objectapi.OptionsError{}), url)
	}
}

// Guards against a definite error for a failure after which the effect of a write
// is unknown, and against a lost reply whose write had no effect.
func TestUnavailable(t *testing.T) {
	for _, overHTTP := range []bool{false, true} {
		for _, tc := range []struct {
			faults      platform.Faults
			takesEffect bool
		}{
			{platform.Faults{Outage: platform.OutageRefuse}, false},
			{platform.Faults{Outage: platform.OutageHang}, false},
			{platform.Faults{LoseReplies: 1}, true},
			{platform.Faults{LoseRequests: 1}, false},
		} {
			t.Run(fmt.Sprintf("%v/%+v", overHTTP, tc.faults), func(t *testing.T) {
				g := NewWithT(t)
				p := platform.New(platform.Options{})
				o := objectapi.ClientOptions{BaseURL: "http://platform", Transport: p.Transport()}
				if tc.faults.Outage == platform.OutageHang {
					o.Timeout = 50 * time.Millisecond
				}
				if overHTTP {
					server := httptest.NewServer(p)
					defer server.Close()
					o.BaseURL, o.Transport = server.URL, nil
				}
				c, err := objectapi.NewClient(o)
				g.Expect(err).NotTo(HaveOccurred())
				defer c.Close()
				p.SetFaults(tc.faults)
				_, err = c.Put(t.Context(), "k", []byte("v"), 0)
				g.Expect(err).To(MatchError(objectapi.ErrUnavailable))
				// The faults stay active. Otherwise a request that is still in progress
				// when the client gives up would take effect afterwards.
				_, err = newStore(t, p.EndpointNamed("observer")).Get(t.Context(), "k")
				g.Expect(err == nil).To(Equal(tc.takesEffect))
			})
		}
	}
}

// Guards against ErrUnavailable for a call that was cancelled before it was sent,
// and against a definite error for a call that was cancelled after that.
func TestCancelledContext(t *testing.T) {
	g := NewWithT(t)
	p := platform.New(platform.Options{})
	c := newStore(t, p.Endpoint)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Put(ctx, "k", nil, 0)
	g.Expect(err).To(MatchError(context.Canceled))
	g.Expect(err).NotTo(MatchError(objectapi.ErrUnavailable))

	p.SetFaults(platform.Faults{Outage: platform.OutageHang})
	ctx, cancel = context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err = c.Put(ctx, "k", nil, 0)
	g.Expect(err).To(MatchError(objectapi.ErrUnavailable))
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
}

// Guards against a watch that misses a write, ignores its limit or is not
// counted.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{WatchLimit: 20 * time.Second})
		c := newStore(t, p.Endpoint)
		_, err := c.Watch(t.Context(), "k", 0)
		g.Expect(err).To(MatchError(objectapi.ErrNotFound))
		v, err := c.Put(t.Context(), "k", []byte("1"), 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.Watch(t.Context(), "k", 0)).To(HaveField("Version", v))
		g.Expect(c.Watch(t.Context(), "k", v)).To(Equal(objectapi.Object{Key: "k", Version: v}))

		got := make(chan objectapi.Object)
		go func() {
			o, _ := c.Watch(t.Context(), "k", v)
			got <- o
		}()
		synctest.Wait()
		g.Expect(p.Calls().Waiting).To(Equal(int64(1)))
		_, err = c.Put(t.Context(), "k", []byte("2"), v)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect((<-got).Value).To(Equal([]byte("2")))
		g.Expect(p.Calls()).To(Equal(platform.Calls{Puts: 2, Watches: 4, ValueBytesIn: 2, ValueBytesOut: 2}))
	})
}

// Guards against a call that waits in an outage and takes effect after it, although
// its client has given up.
func TestHangHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		c := newStore(t, p.Endpoint)
		p.SetFaults(platform.Faults{Outage: platform.OutageHang})
		failed := make(chan error)
		go func() {
			_, err := c.Put(t.Context(), "k", []byte("v"), 0)
			failed <- err
		}()
		synctest.Wait()
		p.SetFaults(platform.Faults{})
		g.Expect(<-failed).To(MatchError(objectapi.ErrUnavailable))
		_, err := c.Get(t.Context(), "k")
		g.Expect(err).To(MatchError(objectapi.ErrNotFound))
	})
}

// Guards against an outage that leaves established watches working.
func TestOutageEndsWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		c := newStore(t, p.Endpoint)
		failed := make(chan error)
		go func() {
			_, err := c.Watch(t.Context(), "k", 0)
			failed <- err
		}()
		synctest.Wait()
		p.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
		g.Expect(<-failed).To(MatchError(objectapi.ErrUnavailable))
	})
}

// Guards against a reader that sees new values despite its read lag, and against a
// read lag that affects conditional updates.
func TestStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		fresh, stale := newStore(t, p.Endpoint), newStore(t, p.EndpointNamed("stale"))
		p.EndpointNamed("stale").SetFaults(platform.Faults{ReadLagMs: 500})
		v1, err := fresh.Put(t.Context(), "k", []byte("1"), 0)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = stale.Get(t.Context(), "k")
		g.Expect(err).To(MatchError(objectapi.ErrNotFound))
		time.Sleep(time.Second)
		v2, err := fresh.Put(t.Context(), "k", []byte("2"), v1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(stale.Get(t.Context(), "k")).To(HaveField("Version", v1))
		g.Expect(fresh.Get(t.Context(), "k")).To(HaveField("Version", v2))
		_, err = stale.Put(t.Context(), "k", []byte("3"), v1)
		g.Expect(err).To(Equal(&objectapi.ConflictError{Key: "k", Expected: v1, Current: v2}))
		start := time.Now()
		g.Expect(stale.Watch(t.Context(), "k", v1)).To(HaveField("Version", v2))
		g.Expect(time.Since(start)).To(BeNumerically("~", 500*time.Millisecond, 20*time.Millisecond))
	})
}

// Guards against rate limits that are missing or that let a refused write take
// effect, and against a host list without lag.
func TestLimitsAndHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{WritesPerSecond: 2, HostLag: 3 * time.Second})
		c := newStore(t, p.Endpoint)
		for i := range 2 {
			_, err := c.Put(t.Context(), fmt.Sprintf("k%d", i), nil, 0)
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, err := c.Put(t.Context(), "k2", nil, 0)
		g.Expect(err).To(Equal(&objectapi.RateLimitedError{Method: "PUT", Target: "k2", RetryAfter: time.Second}))
		g.Expect(c.List(t.Context(), "")).To(Equal([]string{"k0", "k1"}))
		time.Sleep(time.Second)
		_, err = c.Put(t.Context(), "k2", nil, 0)
		g.Expect(err).NotTo(HaveOccurred())

		p.SetHosts([]objectapi.Host{{ID: "h1", State: objectapi.HostLive}})
		g.Expect(c.Hosts(t.Context())).To(HaveLen(1))
		p.SetHosts([]objectapi.Host{{ID: "h1"}, {ID: "h2"}})
		time.Sleep(2 * time.Second)
		g.Expect(c.Hosts(t.Context())).To(HaveLen(1))
		time.Sleep(time.Second)
		g.Expect(c.Hosts(t.Context())).To(HaveLen(2))
	})
}

// Guards against admin endpoints that fail during an outage or accept unknown
// faults.
func TestAdmin(t *testing.T) {
	g := NewWithT(t)
	p := platform.New(platform.Options{HostLag: -1})
	request := func(method, path, body string) int {
		w := httptest.NewRecorder()
		p.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code
	}
	g.Expect(request("PUT", "/admin/faults", `{"outage":"refuse"}`)).To(Equal(http.StatusOK))
	g.Expect(request("GET", "/hosts", "")).To(Equal(http.StatusServiceUnavailable))
	g.Expect(request("PUT", "/admin/faults?endpoint=dc2", `{"readLagMs":7}`)).To(Equal(http.StatusOK))
	g.Expect(p.EndpointNamed("dc2").Faults()).To(Equal(platform.Faults{ReadLagMs: 7}))
	g.Expect(request("PUT", "/admin/faults", `{"outage":"x"}`)).To(Equal(http.StatusBadRequest))
	g.Expect(request("PUT", "/admin/faults", `{"outtage":"hang"}`)).To(Equal(http.StatusBadRequest))
	g.Expect(request("PUT", "/admin/faults", `{}`)).To(Equal(http.StatusOK))
	g.Expect(request("PUT", "/admin/hosts", `{"hosts":[{"id":"h1"}]}`)).To(Equal(http.StatusOK))
	g.Expect(newStore(t, p.Endpoint).Hosts(t.Context())).To(HaveLen(1))
	g.Expect(request("GET", "/admin/calls", "")).To(Equal(http.StatusOK))
	g.Expect(p.Calls().Total()).To(Equal(int64(2)))
}
