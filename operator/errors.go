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
	// Objects were created, replaced or deleted.
	Objects []snapshot.Ref
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
		text += fmt.Sprintf("; epoch %d by %s changed %s", c.Epoch, c.Author, joinRefs(c.Objects))
	}
	return text
}

// touches says whether one of the changes concerns the object.
func (e *ConflictError) touches(ref snapshot.Ref) bool {
	for _, c := range e.Changes {
		for _, r := range c.Objects {
			if r == ref {
				return true
			}
		}
	}
	return false
}

// maxRefsInText bounds the objects that a one-line message names.
const maxRefsInText = 5

func joinRefs(refs []snapshot.Ref) string {
	names := make([]string, 0, maxRefsInText+1)
	for i, r := range refs {
		if i == maxRefsInText {
			names = append(names, fmt.Sprintf("%d more", len(refs)-i))
			break
		}
		names = append(names, string(r.Kind)+" "+r.Name)
	}
	return strings.Join(names, ", ")
}

// FloorError reports a manual ejection that would leave a pool with less
// healthy capacity than its floor. Nothing was changed.
type FloorError struct {
	Service    model.ServiceName
	DataCentre model.DataCentre
	// RemainingSlots and RemainingServers would be healthy after the ejection.
	RemainingSlots, RemainingServers int
	// RequiredSlots and RequiredServers are the pool's floor.
	RequiredSlots, RequiredServers int
}

// Error implements error.
func (e *FloorError) Error() string {
	return fmt.Sprintf("floor of service %s in %s: %d slots on %d servers would remain, %d slots and %d servers are required",
		e.Service, e.DataCentre, e.RemainingSlots, e.RemainingServers, e.RequiredSlots, e.RequiredServers)
}

// InvalidObject is one mistake in one object of a change.
type InvalidObject struct {
	Ref   snapshot.Ref
	Field string
	// Expected says what the field must hold.
	Expected string
}

// InvalidError reports a change that is not a valid configuration. Nothing was
// changed.
type InvalidError struct {
	Objects []InvalidObject
}

// Error implements error.
func (e *InvalidError) Error() string {
	texts := make([]string, len(e.Objects))
	for i, o := range e.Objects {
		texts[i] = fmt.Sprintf("%s %s: %s: expected %s", o.Ref.Kind, o.Ref.Name, o.Field, o.Expected)
	}
	return "invalid change: " + strings.Join(texts, "; ")
}

// NotFoundError reports an object or report that does not exist.
type NotFoundError struct {
	Ref snapshot.Ref
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %s not found", e.Ref.Kind, e.Ref.Name) }

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
