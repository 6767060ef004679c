package operator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// ChangeSummary says who changed what in one accepted change.
type ChangeSummary struct {
	Epoch    model.Epoch
	ChangeID string
	Author   string
	// Objects were created, replaced or deleted; only the first few of a large
	// change.
	Objects []snapshot.Ref
	// ObjectCount is the number of all of them.
	ObjectCount int
}

// ConflictError reports a change made against an epoch that is no longer the
// current one. The change certainly did not take effect.
type ConflictError struct {
	Expected model.Epoch
	Current  model.Epoch
	// Changes were accepted after Expected, oldest first. Older ones may have
	// been forgotten.
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

// maxRefsInText bounds the objects that a one-line message names.
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

// FloorError reports a manual ejection that would leave a pool with less
// healthy capacity than its floor. Nothing was changed.
type FloorError struct {
	Pool model.PoolID
	// RemainingSlots and RemainingServers would be healthy after the ejection.
	RemainingSlots, RemainingServers int
	// RequiredSlots and RequiredServers are the pool's floor.
	RequiredSlots, RequiredServers int
}

// Error implements error.
func (e *FloorError) Error() string {
	return fmt.Sprintf("floor of pool %s: %d slots on %d servers would remain, %d slots and %d servers are required",
		e.Pool, e.RemainingSlots, e.RemainingServers, e.RequiredSlots, e.RequiredServers)
}

// NotFoundError reports an object or report that does not exist.
type NotFoundError struct {
	Ref snapshot.Ref
}

// Error implements error.
func (e *NotFoundError) Error() string { return e.Ref.String() + " not found" }

// RequestError reports an argument that no change of the configuration could
// make valid.
type RequestError struct {
	Field    string
	Expected string
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("request field %s: expected %s", e.Field, e.Expected)
}

// ErrUnauthenticated: the call has no valid operator token.
var ErrUnauthenticated = errors.New("missing or unknown operator token")

// ErrNoReports: this server was started without a report source.
var ErrNoReports = errors.New("reports are not available on this server")

// ErrPanic: the call failed through a programming error, which was logged.
var ErrPanic = errors.New("internal error; see the server's log")
