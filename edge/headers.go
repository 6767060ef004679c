package edge

import (
	"net/http"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Verdict is the result of an attempt at a backend server.
type Verdict uint8

const (
	// Usable: the server returned a valid response to this request.
	Usable Verdict = iota + 1
	// ServerFailure: the server ran the request and failed.
	ServerFailure
	// Refused: the server did not run the request.
	Refused
	// Misdirected: the address belongs to another server, which did not run the
	// request.
	Misdirected
	// MismatchedResponse: the response belongs to another request.
	MismatchedResponse
	// InvalidResponse: the response was not made by the server or was altered on
	// the way.
	InvalidResponse
	// ConnectionLost: the connection failed when the request may have been sent.
	ConnectionLost
	// StaleConnection: the server or the path had dropped an idle connection that the
	// request was sent on. It may have run, but that is unlikely.
	StaleConnection
	// ConnectFailed: no connection was opened, so that nothing was sent.
	ConnectFailed
	// Cancelled: this daemon cancelled the attempt.
	Cancelled
	// Withheld: nothing was sent, because the server said meanwhile that it is leaving or
	// wants no requests.
	Withheld
	// TimedOut: there was no whole response until the request's deadline.
	TimedOut
)

var verdictNames = [...]string{
	Usable: "usable", ServerFailure: "server-failure", Refused: "refused", Misdirected: "misdirected",
	MismatchedResponse: "foreign", InvalidResponse: "spoilt", ConnectionLost: "broken", ConnectFailed: "unconnected", Cancelled: "cancelled",
	StaleConnection: "stale-connection", Withheld: "withheld", TimedOut: "timed-out",
}

// String returns the form used in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// madeByServer reports whether the response was certainly made by the server that the
// request was sent to.
func (v Verdict) madeByServer() bool { return v == Usable || v == ServerFailure || v == Refused }

// mayHaveRun reports whether the server may have run the request.
func (v Verdict) mayHaveRun() bool {
	return v != Refused && v != Misdirected && !v.nothingSent()
}

// nothingSent reports whether the attempt ended before anything was sent.
func (v Verdict) nothingSent() bool { return v == ConnectFailed || v == Withheld }

// Headers reads and writes the headers that the platform defines.
type Headers interface {
	// ParseRequest returns the caller's request ID and how long the caller will
	// wait; zero: not known.
	ParseRequest(h http.Header) (model.RequestID, time.Duration)
	// SetAttempt sets the headers of a request to a backend server.
	SetAttempt(h http.Header, id model.RequestID, to model.ServerID, left time.Duration)
	// SetWorkspace replaces the name of the workspace in a request to a backend server;
	// empty: it has none.
	SetWorkspace(h http.Header, name model.WorkspaceID)
	// Classify returns the verdict on a response whose body has not been read.
	Classify(resp *http.Response, id model.RequestID) Verdict
	// ServerLimit returns the rate limit that a response of a server names.
	ServerLimit(h http.Header) model.RateLimit
	// EchoedID returns the ID of the request that a response says it belongs to; empty
	// if it does not say so.
	EchoedID(h http.Header) model.RequestID
	// ServerLeaving reports whether a response says that its server is leaving.
	ServerLeaving(h http.Header) bool
	// ServerPause returns for how long the server of a response wants no requests from
	// this host; zero: it does not say so.
	ServerPause(resp *http.Response) time.Duration
	// CopyResponse copies the platform's headers of a response that the caller
	// receives.
	CopyResponse(to, from http.Header)
	// SetLocalResponse sets the headers of a response made by this daemon.
	SetLocalResponse(to http.Header, id model.RequestID)
}
