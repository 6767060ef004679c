package peerrpc

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

var (
	// ErrUnauthenticated: the other side does not know a current fleet secret.
	ErrUnauthenticated = errors.New("peer is not authenticated")
	// ErrTooLarge: a message exceeds the bound.
	ErrTooLarge = errors.New("peer message exceeds the size bound")
	// ErrBusy: the connection has too many requests in progress.
	ErrBusy = errors.New("peer has too many requests in progress")
	// ErrRefused: the peer understood the request and did nothing.
	ErrRefused = errors.New("peer refused the request")
	// ErrClosed: the client is closed.
	ErrClosed = errors.New("peer client is closed")
	// ErrUnknownHost: the helper of a probe does not know its target.
	ErrUnknownHost = errors.New("host is not known")
)

// Codes of typed errors on the wire, in the range that JSON-RPC leaves to
// applications.
const (
	codeUnauthenticated = 1 + iota
	codeBusy
	codeRefused
	codeNoConfiguration
	codeChunkMissing
	codeUnknownHost
)

var codes = map[int64]error{
	codeUnauthenticated: ErrUnauthenticated, codeBusy: ErrBusy, codeRefused: ErrRefused,
	codeNoConfiguration: configstore.ErrNoConfiguration, codeChunkMissing: snapshot.ErrChunkMissing,
	codeUnknownHost: ErrUnknownHost,
}

// CallError reports a call without a result.
type CallError struct {
	Host   model.HostID
	Method string
	// Opened is false if no authenticated connection was open, so that the
	// request certainly was not sent.
	Opened bool
	Err    error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("peer %s: %s (opened=%t): %v", e.Host, e.Method, e.Opened, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// RemoteError is a failure that the peer reported without a known code.
type RemoteError struct {
	Code    int64
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer reported code %d: %s", e.Code, e.Message)
}

// IsConnectionRefused reports whether the peer's host refused the connection,
// which means that no process listens there.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// CertainlyNotExecuted reports whether the peer certainly did not act on a call:
// no connection was open, or the peer refused.
func CertainlyNotExecuted(err error) bool {
	var call *CallError
	if !errors.As(err, &call) {
		return false
	}
	return !call.Opened || errors.Is(err, ErrRefused) || errors.Is(err, ErrBusy)
}

// toWire returns the JSON-RPC form of an error.
func toWire(err error) *jsonrpc2.Error {
	for code, known := range codes {
		if errors.Is(err, known) {
			return &jsonrpc2.Error{Code: code, Message: err.Error()}
		}
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// fromWire returns the typed error of a JSON-RPC error; others are unchanged.
func fromWire(err error) error {
	var remote *jsonrpc2.Error
	if !errors.As(err, &remote) {
		return err
	}
	if known, ok := codes[remote.Code]; ok {
		return known
	}
	return &RemoteError{Code: remote.Code, Message: remote.Message}
}
