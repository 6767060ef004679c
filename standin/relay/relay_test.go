package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// echoServer starts a server that echoes request bodies. The counter is the number
// of requests whose body arrived completely.
func echoServer(t *testing.T) (*httptest.Server, *atomic.Int64) {
	var whole atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			whole.Add(1)
		}
		_, _ = w.Write(body)
	}))
	t.Cleanup(s.Close)
	return s, &whole
}

func newRelay(t *testing.T, target string) *Relay {
	r, err := New(strings.TrimPrefix(target, "http://"), 1)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(r.Close)
	return r
}

var content = bytes.Repeat([]byte("x"), 1000)

func post(r *Relay, timeout time.Duration) (string, error) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+r.Address(), "text/plain", bytes.NewReader(content))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a cut at another point than the chosen one. Tests that use the
// relay would then exercise another fault than they claim.
func TestCutPoints(t *testing.T) {
	tests := []struct {
		point     Point
		runs      int64
		answered  bool
		header    bool
		wholeBody bool
	}{
		{BeforeRequest, 0, false, false, false},
		{BeforeRequestBody, 0, false, false, false},
		{WithinRequestBody, 0, false, false, false},
		{AfterRequest, 1, false, false, false},
		{BeforeResponse, 1, false, false, false},
		{BeforeResponseBody, 1, false, true, false},
		{WithinResponseBody, 1, false, true, false},
		{AfterResponse, 1, true, true, true},
	}
	for _, tt := range tests {
		g := NewWithT(t)
		s, whole := echoServer(t)
		r := newRelay(t, s.URL)
		g.Expect(r.SetFaults(Faults{CutRate: 1, CutAt: []Point{tt.point}})).To(Succeed())
		body, err := post(r, time.Second)
		g.Expect(err == nil).To(Equal(tt.answered), "point %d: %v", tt.point, err)
		g.Expect(body == string(content)).To(Equal(tt.wholeBody), "point %d", tt.point)
		g.Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(Equal(tt.header && !tt.answered), "point %d: %v", tt.point, err)
		g.Eventually(whole.Load).Should(Equal(tt.runs), "point %d", tt.point)
	}
}

// Guards against a silent direction that loses or reorders bytes, and against
// silence that affects the other direction.
func TestSilence(t *testing.T) {
	for d, runs := range map[Direction]int64{ToServer: 0, ToClient: 1} {
		g := NewWithT(t)
		s, whole := echoServer(t)
		r := newRelay(t, s.URL)
		f := Faults{}
		f.Silent[d] = true
		g.Expect(r.SetFaults(f)).To(Succeed())
		_, err := post(r, 100*time.Millisecond)
		g.Expect(err).To(HaveOccurred())
		g.Expect(whole.Load()).To(Equal(runs))
		g.Expect(r.SetFaults(Faults{})).To(Succeed())
		// The request is delivered although the client has closed the connection.
		g.Eventually(whole.Load).Should(BeEquivalentTo(1))
		g.Expect(post(r, time.Second)).To(Equal(string(content)))
	}
}

// Guards against connections that are accepted and closed instead of refused, and
// against a relay that stays closed after Refuse is cleared.
func TestRefuse(t *testing.T) {
	g := NewWithT(t)
	s, _ := echoServer(t)
	r := newRelay(t, s.URL)
	g.Expect(r.SetFaults(Faults{Refuse: true})).To(Succeed())
	_, err := post(r, time.Second)
	g.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue(), "%v", err)
	g.Expect(r.SetFaults(Faults{Delay: 10 * time.Millisecond})).To(Succeed())
	g.Expect(post(r, time.Second)).To(Equal(string(content)))
}
