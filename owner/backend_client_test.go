package owner

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/telemetry"
)

// Guards against a request reported as "not run" because of the response to another
// request.
func TestShedAnswerOfAnotherRequest(t *testing.T) {
	g := NewWithT(t)
	x := &httpBackendClient{maxResponseBytes: 100}
	for id, want := range map[string]pool.ResultKind{"mine": pool.Shed, "other": pool.FailedAfterSend} {
		resp := &http.Response{
			StatusCode: http.StatusServiceUnavailable, Body: http.NoBody,
			Header: http.Header{defaultShedHeaderName: {"true"}, fleet.HeaderRequestID: {id}},
		}
		end := x.receive(t.Context(), resp, &backendConfig{shedHeaderName: defaultShedHeaderName, shedHeaderValue: defaultShedHeaderValue}, &fleet.Request{ID: "mine"})
		g.Expect(end.result.Kind).To(Equal(want), id)
	}
}

// Guards against a server's rate limit that is not read from an answer or a refusal, and
// against one taken from the response to another request.
func TestLimitOfAnAnswer(t *testing.T) {
	g := NewWithT(t)
	x := &httpBackendClient{maxResponseBytes: 100}
	limited := model.RateLimit{InForce: true, PerSecond: 2.5}
	for _, c := range []struct {
		status int
		id     model.RequestID
		want   model.RateLimit
	}{
		{http.StatusOK, "mine", limited}, {http.StatusServiceUnavailable, "mine", limited},
		{http.StatusInternalServerError, "mine", limited}, {http.StatusOK, "other", model.RateLimit{}},
	} {
		resp := &http.Response{
			StatusCode: c.status, Body: http.NoBody,
			Header: http.Header{limitHeaderName: {"2.5"}, defaultShedHeaderName: {"true"}, fleet.HeaderRequestID: {string(c.id)}},
		}
		end := x.receive(t.Context(), resp, &backendConfig{shedHeaderName: defaultShedHeaderName, shedHeaderValue: defaultShedHeaderValue}, &fleet.Request{ID: "mine"})
		g.Expect(end.result.Limit).To(Equal(c.want), "%d %s", c.status, c.id)
	}
}

// Guards against an answer that its server sends a second time, late, on a connection
// in use again: the next caller must not get it, whether the server names the request
// in its answers, never does, or only in the first one.
func TestSecondCopyOfAnAnswer(t *testing.T) {
	for name, named := range map[string]func(answer int) bool{
		"named":      func(int) bool { return true },
		"not named":  func(int) bool { return false },
		"first only": func(answer int) bool { return answer == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = listener.Close() })
			go repeatAnswers(listener, named)
			transport := &http.Transport{}
			t.Cleanup(transport.CloseIdleConnections)
			x := &httpBackendClient{
				transport: transport, maxResponseBytes: 100,
				tracing: &telemetry.Tracing{Propagator: propagation.TraceContext{}, Tracer: noop.NewTracerProvider().Tracer("test")},
			}
			own := 0
			for i := range 10 {
				id := fmt.Sprint("r", i)
				q := &fleet.Request{ID: model.RequestID(id), Method: http.MethodGet, Target: "/"}
				end := x.send(t.Context(), listener.Addr().String(), &backendConfig{}, q, time.Now().Add(time.Second))
				if end.result.Kind != pool.Answered {
					continue
				}
				g.Expect(string(end.response.Body)).To(Equal(id))
				own++
			}
			g.Expect(own).To(BeNumerically(">", 0))
		})
	}
}

// Guards against a refusal that is written once more, when the same request is sent again on
// the connection, and that is taken for "not run" although the server runs the request.
func TestRepeatedRefusal(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	refusal := "HTTP/1.1 503 Unavailable\r\n" + defaultShedHeaderName + ": " + defaultShedHeaderValue + "\r\n" + fleet.HeaderRequestID + ": %s\r\nContent-Length: 0\r\n\r\n"
	answer := "HTTP/1.1 200 OK\r\n" + fleet.HeaderRequestID + ": %s\r\nContent-Length: 0\r\n\r\n"
	go func() {
		refused := map[string]bool{}
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			r, onThis := bufio.NewReader(c), ""
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				id := req.Header.Get(fleet.HeaderRequestID)
				switch {
				case onThis == id:
					_, _ = fmt.Fprintf(c, refusal, id)
				case strings.HasPrefix(id, "again") && !refused[id]:
					refused[id], onThis = true, id
					_, _ = fmt.Fprintf(c, refusal, id)
				default:
					_, _ = fmt.Fprintf(c, answer, id)
				}
			}
			_ = c.Close()
		}
	}()
	x := &httpBackendClient{
		transport: fleet.NewTransport(fleet.TransportOptions{DialTimeout: time.Second}), maxResponseBytes: 100,
		tracing: &telemetry.Tracing{Propagator: propagation.TraceContext{}, Tracer: noop.NewTracerProvider().Tracer("test")},
	}
	send := func(id string) pool.ResultKind {
		q := &fleet.Request{ID: model.RequestID(id), Method: http.MethodGet, Target: "/"}
		b := &backendConfig{shedHeaderName: defaultShedHeaderName, shedHeaderValue: defaultShedHeaderValue}
		return x.send(t.Context(), listener.Addr().String(), b, q, time.Now().Add(time.Second)).result.Kind
	}
	for i := range 5 {
		g.Expect(send(fmt.Sprint("first", i))).To(Equal(pool.Answered))
		id := fmt.Sprint("again", i)
		g.Expect(send(id)).To(Equal(pool.Shed))
		g.Expect(send(id)).To(Equal(pool.Answered))
	}
}

// repeatAnswers serves connections. The answer to each request is the request's ID;
// the answer to the previous request on the connection is sent once more before it.
func repeatAnswers(listener net.Listener, named func(answer int) bool) {
	answers := 0
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		r, previous := bufio.NewReader(c), ""
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				break
			}
			answers++
			id, header := req.Header.Get(fleet.HeaderRequestID), ""
			if named(answers) {
				header = fleet.HeaderRequestID + ": " + id + "\r\n"
			}
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(id), id)
			_, _ = io.WriteString(c, previous+answer)
			previous = answer
			if req.Close {
				break
			}
		}
		_ = c.Close()
	}
}

// Guards against "not run" for a request with a body over the limit and a key: an
// earlier request with the key may have run.
func TestTooLargeForwardWithKey(t *testing.T) {
	g := NewWithT(t)
	for key, want := range map[string]model.Outcome{"": model.NotRun, "k": model.Unknown} {
		req := httptest.NewRequest(http.MethodPost, fleet.PathForward, bytes.NewReader(make([]byte, 10)))
		for name, value := range map[string]string{
			"Agateusher-Shard": "0", fleet.HeaderBudget: "1", fleet.HeaderEpoch: "1", "Agateusher-Repeatable": "false", fleet.HeaderKey: key,
		} {
			req.Header.Set(name, value)
		}
		rw := httptest.NewRecorder()
		serveForward(&Owner{}, HandlerOptions{MaxBodyBytes: 5}, rw, req)
		g.Expect(rw.Header().Get(fleet.HeaderOutcome)).To(Equal(want.String()), strings.TrimSpace(rw.Body.String()))
	}
}

// Guards against a configured "Name: value" that is used as the header's name.
func TestParseShedHeader(t *testing.T) {
	for text, want := range map[string][2]string{
		"":                {defaultShedHeaderName, defaultShedHeaderValue},
		"X-Refused":       {"X-Refused", "true"},
		"X-State: unrun ": {"X-State", "unrun"},
	} {
		name, value := parseShedHeader(text)
		NewWithT(t).Expect([2]string{name, value}).To(Equal(want), text)
	}
}

// Guards against a slot counted as free after a status other than 200: a server
// answers 404 if the DELETE arrives before the request that it cancels.
func TestCancelConfirmsOnlyWith200(t *testing.T) {
	g := NewWithT(t)
	for status, want := range map[int]bool{http.StatusOK: true, http.StatusNotFound: false, http.StatusAccepted: false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		x := &httpBackendClient{transport: http.DefaultTransport, maxResponseBytes: 100}
		x.config.Store(&backendConfig{cancelPath: "/r/{id}", addresses: map[model.ServerID]string{"s": server.Listener.Addr().String()}})
		g.Expect(x.cancel(t.Context(), "s", "id")).To(Equal(want), "%d", status)
		server.Close()
	}
}

// checkBroken sends a request to a server that answers with the given bytes and expects an
// attempt that may have run, without a response.
func checkBroken(t *testing.T, response string) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, response)
		}
	}()
	x := &httpBackendClient{
		transport: fleet.NewTransport(fleet.TransportOptions{DialTimeout: time.Second}), maxResponseBytes: 100,
		tracing: &telemetry.Tracing{Propagator: propagation.TraceContext{}, Tracer: noop.NewTracerProvider().Tracer("test")},
	}
	q := &fleet.Request{ID: "mine", Method: http.MethodPost, Target: "/"}
	end := x.send(t.Context(), listener.Addr().String(), &backendConfig{}, q, time.Now().Add(time.Second))
	g.Expect(end.result.Kind).To(Equal(pool.FailedAfterSend))
	g.Expect(end.response).To(BeNil())
}

// Guards against a status that is none, or not that of a final response, and that is passed
// on: writing 000 to the caller panics.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			checkBroken(t, "HTTP/1.1 "+status+" Status\r\n"+fleet.HeaderRequestID+": mine\r\nContent-Length: 4\r\n\r\nbody")
		})
	}
}

// Guards against a head that ends at any byte, because its server closes the connection, and
// that is taken for a whole one.
func TestHeadsThatEnd(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n" + fleet.HeaderRequestID + ": mine\r\nContent-Length: 14\r\n\r\n",
		"HTTP/1.1 503 Unavailable\r\n" + fleet.HeaderRequestID + ": mine\r\n" + defaultShedHeaderName + ": " + defaultShedHeaderValue + "\r\nContent-Length: 0\r\n\r\n",
	} {
		for end := range len(head) {
			checkBroken(t, head[:end])
		}
	}
}

// Guards against a field name with a blank or a control byte that is passed on, or whose
// response is taken for a refusal.
func TestInvalidFieldNames(t *testing.T) {
	for _, line := range []string{"Content-Length : 4", "Odd Name: x", " Odd-Name: x", "Odd\tName: x", "Odd\x01Name: x"} {
		for _, status := range []string{"200 OK", "503 Unavailable\r\n" + defaultShedHeaderName + ": " + defaultShedHeaderValue} {
			checkBroken(t, "HTTP/1.1 "+status+"\r\n"+fleet.HeaderRequestID+": mine\r\n"+line+"\r\n\r\nbody")
		}
	}
}
