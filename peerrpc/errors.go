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
	// ErrUnauthenticated means that the peer does not know a current fleet secret.
	ErrUnauthenticated = errors.New("peer is not authenticated")
	// ErrTooLarge means that a message exceeds the size limit.
	ErrTooLarge = errors.New("peer message exceeds the size bound")
	// ErrBusy means that the connection has too many requests in progress.
	ErrBusy = errors.New("peer has too many requests in progress")
	// ErrRefused means that the peer understood the request and did nothing.
	ErrRefused = errors.New("peer refused the request")
	// ErrClosed means that the client is closed.
	ErrClosed = errors.New("peer client is closed")
	// ErrUnknownHost means that the helper of a probe does not know its target.
	ErrUnknownHost = errors.New("host is not known")
)

// JSON-RPC codes of the typed errors, in the range left to applications.
const (
	codeUnauthenticated = 1 + iota
	codeBusy
	codeRefused
	codeNoConfiguration
	codeChunkMissing
	codeUnknownHost
)

var errorsByCode = map[int64]error{
	codeUnauthenticated: ErrUnauthenticated, codeBusy: ErrBusy, codeRefused: ErrRefused,
	codeNoConfiguration: configstore.ErrNoConfiguration, codeChunkMissing: snapshot.ErrChunkMissing,
	codeUnknownHost: ErrUnknownHost,
}

// CallError is the error of a call that returned no result.
type CallError struct {
	Host   model.HostID
	Method string
	// Connected is false if no authenticated connection was open, so that the
	// request certainly was not sent.
	Connected bool
	Err       error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("peer %s: %s (connected=%t): %v", e.Host, e.Method, e.Connected, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// RemoteError is a failure that the peer reported with an unknown code.
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

// CertainlyNotExecuted reports whether the peer certainly did not execute a call:
// no connection was open, or the peer refused the call or was busy.
func CertainlyNotExecuted(err error) bool {
	var call *CallError
	if !errors.As(err, &call) {
		return false
	}
	return !call.Connected || errors.Is(err, ErrRefused) || errors.Is(err, ErrBusy)
}

// toWire returns the JSON-RPC form of an error.
func toWire(err error) *jsonrpc2.Error {
	for code, known := range errorsByCode {
		if errors.Is(err, known) {
			return &jsonrpc2.Error{Code: code, Message: err.Error()}
		}
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// fromWire returns the typed error of a JSON-RPC error, and other errors
// unchanged.
func fromWire(err error) error {
	var remote *jsonrpc2.Error
	if !errors.As(err, &remote) {
		return err
	}
	if known, ok := errorsByCode[remote.Code]; ok {
		return known
	}
	return &RemoteError{Code: remote.Code, Message: remote.Message}
}
