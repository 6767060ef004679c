package edge

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// retryAfter is when a caller may ask again after a refusal.
const retryAfter = 300 * time.Millisecond

// refusal is the body of an answer of our own.
type refusal struct {
	Outcome string       `json:"outcome"`
	Reason  model.Reason `json:"reason"`
}

// refuse answers a request that did not run and will not.
func (n *Node) refuse(q *request, reason model.Reason) *response {
	r := n.own(q, http.StatusServiceUnavailable, reason)
	r.header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	return r
}

// own returns an answer that no backend server gave.
func (n *Node) own(q *request, status int, reason model.Reason) *response {
	outcome := model.Unknown
	if status == http.StatusServiceUnavailable || status < 500 {
		outcome = model.NotRun
	}
	// The type has no value that cannot be encoded.
	body, _ := json.Marshal(refusal{Outcome: outcome.String(), Reason: reason})
	h := http.Header{"Content-Type": {"application/json"}}
	var id model.RequestID
	if q != nil {
		id = q.id
	}
	n.headers.SetLocalResponse(h, id)
	n.answers.Inc(strconv.Itoa(status), string(reason))
	return &response{status: status, header: h, body: append(body, '\n')}
}

// sizes estimates the bytes of an exchange on each route.
type sizes struct {
	mu    sync.Mutex
	bytes map[model.RouteName]float64
}

const (
	// exchangeOverhead is the size of both heads and of the connection's own
	// packets.
	exchangeOverhead = 900
	// defaultResponseBytes is assumed for a route without answers.
	defaultResponseBytes = 1000
	// sizeWeight is the weight of one sample in the mean.
	sizeWeight = 0.1
)

func (s *sizes) estimate(route model.RouteName, request int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.bytes[route]
	if !ok {
		mean = defaultResponseBytes
	}
	return exchangeOverhead + request + int(mean)
}

func (s *sizes) sample(route model.RouteName, response int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.bytes[route]
	if !ok {
		mean = float64(response)
	}
	s.bytes[route] = mean + sizeWeight*(float64(response)-mean)
}
