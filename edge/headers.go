package edge

import (
	"net/http"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Verdict is what a backend server's answer says about its attempt.
type Verdict uint8

const (
	// Usable: the server's own answer to this request.
	Usable Verdict = iota + 1
	// ServerFailure: the server ran the request and failed.
	ServerFailure
	// Refused: the server did not run the request.
	Refused
	// Misdirected: another server has the address; it did not run the request.
	Misdirected
	// MismatchedResponse: the answer belongs to another request.
	MismatchedResponse
	// InvalidResponse: the bytes are not the server's answer.
	InvalidResponse
	// ConnectionLost: the connection failed after the request may have been sent.
	ConnectionLost
	// ConnectFailed: no connection was opened, so nothing was sent.
	ConnectFailed
	// Cancelled: this side ended the attempt.
	Cancelled
)

var verdictNames = [...]string{
	Usable: "usable", ServerFailure: "server-failure", Refused: "refused", Misdirected: "misdirected",
	MismatchedResponse: "foreign", InvalidResponse: "spoilt", ConnectionLost: "broken", ConnectFailed: "unconnected", Cancelled: "cancelled",
}

// String returns the form used in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// ran reports whether the server may have run the request.
func (v Verdict) ran() bool {
	return v != Refused && v != Misdirected && v != ConnectFailed
}

// Headers reads and writes the headers that the platform defines.
type Headers interface {
	// ParseRequest returns the caller's request ID and how long it will wait; zero:
	// it does not say.
	ParseRequest(h http.Header) (model.RequestID, time.Duration)
	// SetAttempt sets the headers of a request to a backend server.
	SetAttempt(h http.Header, id model.RequestID, to model.ServerID, left time.Duration)
	// Classify classifies an answer; its body has not been read.
	Classify(resp *http.Response, id model.RequestID) Verdict
	// CopyResponse copies the headers that a caller receives from an answer.
	CopyResponse(to, from http.Header)
	// SetLocalResponse sets the headers of an answer of our own.
	SetLocalResponse(to http.Header, id model.RequestID)
}
