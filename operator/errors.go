package operator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// ChangeSummary describes one accepted change.
type ChangeSummary struct {
	Epoch    model.Epoch
	ChangeID string
	Author   string
	// Objects lists the objects that were created, replaced or deleted, but only
	// the first few of a large change.
	Objects []snapshot.Ref
	// ObjectCount is the number of changed objects, including those that Objects
	// omits.
	ObjectCount int
}

// ConflictError reports a change that was based on an epoch other than the
// current one. The change was not applied.
type ConflictError struct {
	Expected model.Epoch
	Current  model.Epoch
	// Changes lists the changes accepted after Expected, oldest first. The oldest
	// ones may be missing, because the store keeps only the latest changes.
	Changes []ChangeSummary
}

// Error implements error.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("conflict: expected epoch %d, current epoch is %d", e.Expected, e.Current)
	for _, c := range e.Changes {
		text += fmt.Sprintf("; epoch %d by %s changed %s", c.Epoch, c.Author, c.objectsText())
	}
	return text
}

// maxRefsInText limits the number of objects that a one-line message names.
const maxRefsInText = 5

func (c ChangeSummary) objectsText() string {
	shown := c.Objects[:min(len(c.Objects), maxRefsInText)]
	names := make([]string, len(shown))
	for i, r := range shown {
		names[i] = r.String()
	}
	text := strings.Join(names, ", ")
	if more := c.ObjectCount - len(shown); more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

// FloorError reports a manual ejection that was rejected because it would leave a
// pool with less healthy capacity than its floor.
type FloorError struct {
	Pool model.PoolID
	// RemainingSlots and RemainingServers are the healthy capacity that would be
	// left after the ejection.
	RemainingSlots, RemainingServers int
	// RequiredSlots and RequiredServers are the pool's floor.
	RequiredSlots, RequiredServers int
}

// Error implements error.
func (e *FloorError) Error() string {
	return fmt.Sprintf("floor of pool %s: %d slots on %d servers would remain, %d slots and %d servers are required",
		e.Pool, e.RemainingSlots, e.RemainingServers, e.RequiredSlots, e.RequiredServers)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Ref snapshot.Ref
}

// Error implements error.
func (e *NotFoundError) Error() string { return e.Ref.String() + " not found" }

// RequestError reports a request argument that is invalid regardless of the
// current configuration.
type RequestError struct {
	Field    string
	Expected string
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("request field %s: expected %s", e.Field, e.Expected)
}

// ErrUnauthenticated is returned for a call without a valid operator token.
var ErrUnauthenticated = errors.New("missing or unknown operator token")

// ErrNoReports is returned if the server has no source of reports
// (Options.Reports is nil).
var ErrNoReports = errors.New("reports are not available on this server")

// ErrPanic is returned if the handler panicked. The panic is in the log.
var ErrPanic = errors.New("internal error; see the server's log")
