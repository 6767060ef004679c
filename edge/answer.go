package edge

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// retryAfterDelay is sent in Retry-After to callers whose request is refused.
const retryAfterDelay = 300 * time.Millisecond

// localResponseBody is the body of a response made by this daemon.
type localResponseBody struct {
	Outcome string       `json:"outcome"`
	Reason  model.Reason `json:"reason"`
}

// refuse returns the response to a request that did not run and will not.
func (n *Node) refuse(q *request, reason model.Reason) *response {
	r := n.localResponse(q, http.StatusServiceUnavailable, reason)
	setRetryAfter(r, retryAfterDelay)
	return r
}

func setRetryAfter(r *response, d time.Duration) {
	r.header.Set("Retry-After", strconv.FormatFloat(d.Round(time.Millisecond).Seconds(), 'f', -1, 64))
}

// localResponse returns a response made by this daemon, without one of a backend
// server. q is nil if the request could not be read.
func (n *Node) localResponse(q *request, status int, reason model.Reason) *response {
	outcome := model.Unknown
	if status == http.StatusServiceUnavailable || status < 500 {
		outcome = model.NotRun
	}
	// Marshal cannot fail: the type has no value that cannot be encoded.
	body, _ := json.Marshal(localResponseBody{Outcome: outcome.String(), Reason: reason})
	h := http.Header{"Content-Type": {"application/json"}}
	var id model.RequestID
	if q != nil {
		id = q.id
	}
	n.headers.SetLocalResponse(h, id)
	n.localResponses.Inc(strconv.Itoa(status), string(reason))
	body = append(body, '\n')
	return &response{status: status, header: h, body: body, length: int64(len(body))}
}

// sizeEstimator estimates the bytes transferred by an attempt on each route.
type sizeEstimator struct {
	mu                sync.Mutex
	meanResponseBytes map[model.RouteName]float64
}

const (
	// exchangeOverheadBytes is the size of both headers and of the packets that
	// open and close the connection.
	exchangeOverheadBytes = 900
	// defaultResponseBytes is assumed for routes without a response so far.
	defaultResponseBytes = 1000
	// sizeSampleWeight is the weight of one sample in the moving mean.
	sizeSampleWeight = 0.1
)

func (s *sizeEstimator) estimate(route model.RouteName, requestBytes int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.meanResponseBytes[route]
	if !ok {
		mean = defaultResponseBytes
	}
	return exchangeOverheadBytes + requestBytes + int(mean)
}

func (s *sizeEstimator) sample(route model.RouteName, responseBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.meanResponseBytes[route]
	if !ok {
		mean = float64(responseBytes)
	}
	s.meanResponseBytes[route] = mean + sizeSampleWeight*(float64(responseBytes)-mean)
}
