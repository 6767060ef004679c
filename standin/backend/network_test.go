package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// start serves a group of one server. It returns the server, its URL and the URL
// of its administration endpoints.
func start(t *testing.T, o Options) (*Server, string, string) {
	t.Helper()
	g := NewWithT(t)
	o.ID = "s1"
	group, err := NewGroup("127.0.0.1:0", []Options{o})
	g.Expect(err).NotTo(HaveOccurred())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- group.Serve(ctx) }()
	go func() { ended <- group.ServeAdmin(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		g.Expect(<-ended).To(Succeed())
		g.Expect(<-ended).To(Succeed())
	})
	return group.Server("s1"), "http://" + group.Listings()[0].Address, "http://" + ln.Addr().String() + "/servers/s1"
}

func get(url string) ([]byte, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

// Guards against faults that have no effect on the connection, and against a
// request that ran but is missing from the execution log because of its fault.
func TestBrokenAnswers(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		check  func(g Gomega, body []byte, err error)
	}{
		{"healthy", Faults{}, func(g Gomega, body []byte, err error) {
			g.Expect(err).NotTo(HaveOccurred())
			_, err = CheckAnswer(body, "c", 5000)
			g.Expect(err).NotTo(HaveOccurred())
		}},
		{"truncated", Faults{TruncateRate: 1}, func(g Gomega, body []byte, err error) {
			g.Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue())
			g.Expect(len(body)).To(BeNumerically(">", 0))
		}},
		{"reset before", Faults{ResetRate: 1}, func(g Gomega, body []byte, err error) {
			g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
			g.Expect(body).To(BeEmpty())
		}},
		{"reset within", Faults{ResetRate: 1, ResetPoint: ResetWithin}, func(g Gomega, body []byte, err error) {
			g.Expect(err).To(HaveOccurred())
			g.Expect(len(body)).To(BeNumerically("<", 5000))
		}},
		{"reset after", Faults{ResetRate: 1, ResetPoint: ResetAfter}, func(g Gomega, body []byte, err error) {
			if err == nil {
				_, err = CheckAnswer(body, "c", 5000)
				g.Expect(err).NotTo(HaveOccurred())
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			s, url, _ := start(t, Options{ServiceTime: fixed(time.Millisecond)})
			g.Expect(s.SetFaults(tt.faults)).To(Succeed())
			body, err := get(url + "/x?cid=c&bytes=5000")
			tt.check(g, body, err)
			log, dropped := s.Executions(time.Time{})
			g.Expect(dropped).To(BeZero())
			g.Expect(log).To(HaveLen(1))
			g.Expect(log[0].Ran()).To(BeTrue())
		})
	}
}

// Guards against a request that keeps its slot after its caller disconnected.
func TestConnectionCloseCancels(t *testing.T) {
	g := NewWithT(t)
	s, url, _ := start(t, Options{ServiceTime: fixed(time.Hour)})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/x", bytes.NewReader(make([]byte, 10)))
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
		}
	}()
	g.Eventually(func() int { return s.Load().Busy }).WithTimeout(3 * time.Second).Should(Equal(1))
	cancel()
	g.Eventually(func() int { return s.Load().Busy }).WithTimeout(3 * time.Second).Should(BeZero())
	log, _ := s.Executions(time.Time{})
	g.Expect(log[0].End).To(Equal(EndDisconnected))
}

// Guards against a connection limit that is not enforced.
func TestConnectionLimit(t *testing.T) {
	g := NewWithT(t)
	s, url, _ := start(t, Options{Connections: 1})
	first, err := net.Dial("tcp", url[len("http://"):])
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() int { return s.Load().Connections }).WithTimeout(3 * time.Second).Should(Equal(1))
	_, err = get(url + "/health")
	g.Expect(err).To(HaveOccurred())
	g.Expect(s.Load().Refused).To(Equal(1))
	g.Expect(first.Close()).To(Succeed())
	g.Eventually(func() error { _, err := get(url + "/health"); return err }).WithTimeout(3 * time.Second).Should(Succeed())
}

// Guards against administration endpoints that behave differently from the Go API.
func TestAdministration(t *testing.T) {
	g := NewWithT(t)
	s, url, admin := start(t, Options{ServiceTime: fixed(time.Millisecond)})
	put := func(body string) int {
		r, _ := http.NewRequest(http.MethodPut, admin+"/faults", bytes.NewBufferString(body))
		resp, err := http.DefaultClient.Do(r)
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		return resp.StatusCode
	}
	g.Expect(put(`{"errorRate":1,"errorStatus":502}`)).To(Equal(http.StatusOK))
	f, _ := s.Faults()
	g.Expect(f).To(Equal(Faults{ErrorRate: 1, ErrorStatus: 502}))
	g.Expect(put(`{"errorRate":2}`)).To(Equal(http.StatusBadRequest))
	g.Expect(put(`{"unknown":1}`)).To(Equal(http.StatusBadRequest))
	resp, err := http.Get(url + "/x?cid=c7")
	g.Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	body, err := get(admin + "/log")
	g.Expect(err).NotTo(HaveOccurred())
	var report LogReport
	g.Expect(json.Unmarshal(body, &report)).To(Succeed())
	g.Expect(report.Executions).To(HaveLen(1))
	g.Expect(report.Executions[0].ClientID).To(Equal("c7"))
	g.Expect(report.Executions[0].End).To(Equal(EndError))
	body, err = get(url + "/standin/log?sinceUs=" + "99999999999999999")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(ContainSubstring(`"executions":[]`))
}
