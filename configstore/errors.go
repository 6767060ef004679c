package configstore

import (
	"errors"
	"fmt"
	"strings"

	"github.com/agateusher/agateusher/core/model"
)

// ErrNoConfiguration is returned when no change has been accepted yet.
var ErrNoConfiguration = errors.New("no configuration has been accepted yet")

// ConflictError reports a change that was not accepted because the current
// epoch is not the expected one. Usually other changes were accepted since.
type ConflictError struct {
	Expected model.Epoch
	Current  model.Epoch
	// Changes are the changes accepted since Expected that the head still
	// lists, oldest first.
	Changes []AcceptedChange
	// Complete is false if Changes lacks some of the changes since Expected.
	Complete bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	lines := []string{fmt.Sprintf("change based on epoch %s, current epoch is %s", e.Expected, e.Current)}
	if !e.Complete {
		lines = append(lines, "earlier changes are no longer listed")
	}
	for _, c := range e.Changes {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "\n")
}

// NotAcceptedError reports a change that was definitely not accepted, because
// of a failure before the head was updated.
type NotAcceptedError struct {
	ChangeID string
	Err      error
}

// Error implements error.
func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("change %s was not accepted: %v", e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *NotAcceptedError) Unwrap() error { return e.Err }

// UnknownResultError reports a change that may or may not have been accepted.
// Applying the change again with the same ID and expected epoch is idempotent.
// Store.Lookup reports whether it was accepted.
type UnknownResultError struct {
	ChangeID string
	Err      error
}

// Error implements error.
func (e *UnknownResultError) Error() string {
	return fmt.Sprintf("change %s may or may not have been accepted: %v", e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownResultError) Unwrap() error { return e.Err }

// ReusedIDError reports a change whose ID was used by an accepted change with
// other content.
type ReusedIDError struct {
	Accepted AcceptedChange
}

// Error implements error.
func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("change ID %s was used before with other content: %s", e.Accepted.ID, e.Accepted)
}

// PullError reports a failed pull of the configuration from a peer.
type PullError struct {
	Peer model.HostID
	Err  error
}

// Error implements error.
func (e *PullError) Error() string { return fmt.Sprintf("pull from %s: %v", e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *PullError) Unwrap() error { return e.Err }
