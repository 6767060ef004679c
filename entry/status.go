package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
)

// httpStatus returns the HTTP status for an outcome other than Answered.
func httpStatus(o model.Outcome, reason model.Reason) int {
	switch reason {
	case model.ReasonBadRequest, model.ReasonKeyMissing, model.ReasonKeyInvalid:
		return http.StatusBadRequest
	case model.ReasonNoRoute:
		return http.StatusNotFound
	case model.ReasonKeyMismatch:
		return http.StatusUnprocessableEntity
	case model.ReasonRateLimited:
		return http.StatusTooManyRequests
	}
	switch {
	case o == model.NotRun:
		return http.StatusServiceUnavailable
	case reason == model.ReasonTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// problem is the body of a failure response (RFC 9457).
type problem struct {
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Outcome   string          `json:"outcome"`
	Reason    model.Reason    `json:"reason"`
	RequestID model.RequestID `json:"requestId"`
}

func writeResponse(w http.ResponseWriter, id model.RequestID, r fleet.Response) int {
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	h.Set(fleet.HeaderRequestID, string(id))
	h.Set(fleet.HeaderOutcome, r.Outcome.String())
	status, body := r.Status, r.Body
	if r.Outcome != model.Answered {
		status, body = failureResponse(h, id, r)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(body)
	return status
}

func failureResponse(h http.Header, id model.RequestID, r fleet.Response) (int, []byte) {
	status := httpStatus(r.Outcome, r.Reason)
	h.Set(fleet.HeaderReason, string(r.Reason))
	h.Set("Content-Type", "application/problem+json")
	if r.RetryAfter > 0 {
		h.Set(fleet.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	body, err := json.Marshal(problem{Title: http.StatusText(status), Status: status, Outcome: r.Outcome.String(), Reason: r.Reason, RequestID: id})
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return status, body
}

// slowOrFailed reports whether a request must be logged: it failed, or it took
// more than half of its deadline.
func slowOrFailed(r fleet.Response, took, deadline time.Duration) bool {
	return r.Outcome != model.Answered || took > deadline/2
}
