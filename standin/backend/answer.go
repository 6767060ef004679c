package backend

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateusher/agateusher/core/model"
)

// Query parameters of a request. They are in the URL because an intermediary may
// add or remove headers.
const (
	// QueryClientID is the client's own identifier of the request.
	QueryClientID = "cid"
	// QueryBytes is the wanted payload size in bytes.
	QueryBytes = "bytes"
	// QueryDirect marks a measurement call that bypasses the fleet. It occupies
	// no slot, so that it does not disturb the fleet's own accounting of slots.
	QueryDirect = "direct"
)

// Headers that the server reads.
const (
	HeaderRequestID      = "Agateusher-Request-Id"
	HeaderBudget         = "Agateusher-Budget-Us"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Answer is the JSON body of a successful answer.
type Answer struct {
	// RequestID is the fleet's identifier, or the client's if there is none.
	RequestID model.RequestID `json:"requestId"`
	// ClientID is the client's identifier, from QueryClientID.
	ClientID string         `json:"clientId"`
	Server   model.ServerID `json:"server"`
	Method   string         `json:"method"`
	Path     string         `json:"path"`
	// BusyUs is the time from the request's arrival at the server to its answer,
	// in microseconds. A client subtracts it to get the time spent elsewhere.
	BusyUs  int64  `json:"busyUs"`
	Payload string `json:"payload"`
	// Checksum covers all other fields, 16 hexadecimal digits.
	Checksum string `json:"checksum"`
}

// AnswerProblem is the reason why an answer is rejected.
type AnswerProblem string

const (
	// AnswerShort: the body is truncated, not an Answer, or has a payload of
	// another size than the expected one.
	AnswerShort AnswerProblem = "short"
	// AnswerMixed: the answer belongs to another request.
	AnswerMixed AnswerProblem = "mixed"
	// AnswerCorrupt: the checksum does not match.
	AnswerCorrupt AnswerProblem = "corrupt"
)

// AnswerError reports an answer that is incomplete, corrupt or belongs to another
// request.
type AnswerError struct {
	Problem AnswerProblem
	// ClientID is the request's identifier, Got the one in the answer.
	ClientID string
	Got      string
	Err      error
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("answer to request %s is %s (answer names request %q): %v", e.ClientID, e.Problem, e.Got, e.Err)
}

// Unwrap returns the cause, if any.
func (e *AnswerError) Unwrap() error { return e.Err }

// newAnswer builds an answer to c. Its payload has c.size bytes and repeats the
// client's and the fleet's identifiers, so that parts of two answers differ.
func newAnswer(c call, server model.ServerID, busy time.Duration) Answer {
	pattern := c.clientID + "/" + string(c.id) + ";"
	payload := strings.Repeat(pattern, c.size/len(pattern)+1)[:c.size]
	a := Answer{
		RequestID: c.id, ClientID: c.clientID, Server: server, Method: c.method, Path: c.path,
		BusyUs: busy.Microseconds(), Payload: payload,
	}
	a.Checksum = a.checksum()
	return a
}

func (a Answer) checksum() string {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{string(a.RequestID), a.ClientID, string(a.Server), a.Method, a.Path, strconv.FormatInt(a.BusyUs, 10), a.Payload} {
		_, _ = d.WriteString(strconv.Itoa(len(part)))
		_, _ = d.Write([]byte{':'})
		_, _ = d.WriteString(part)
	}
	return fmt.Sprintf("%016x", d.Sum64())
}

// CheckAnswer decodes body and verifies that it is the complete answer to the
// request clientID, with a payload of size bytes (a negative size is not
// checked). Errors are *AnswerError.
func CheckAnswer(body []byte, clientID string, size int) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return Answer{}, &AnswerError{Problem: AnswerShort, ClientID: clientID, Err: err}
	}
	switch {
	case a.ClientID != clientID:
		return a, &AnswerError{Problem: AnswerMixed, ClientID: clientID, Got: a.ClientID}
	case a.Checksum != a.checksum():
		return a, &AnswerError{Problem: AnswerCorrupt, ClientID: clientID, Got: a.ClientID}
	case size >= 0 && len(a.Payload) != size:
		return a, &AnswerError{Problem: AnswerShort, ClientID: clientID, Got: a.ClientID}
	}
	return a, nil
}
