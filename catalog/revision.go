package catalog

import (
	"errors"
	"fmt"
)

// Era counts how often the store came back from an older copy. Zero: the store names none.
type Era uint64

// Revision is a position in the store's history: a revision within an era. After its return
// from a copy the store gives out revisions again, so that the era precedes the revision in
// all comparisons. It is one number, so that daemons of older versions compare it in the
// same way.
type Revision uint64

const (
	// revisionBits is the number of low bits of a Revision that hold the store's revision;
	// the others hold the era.
	revisionBits = 48
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
)

var (
	// ErrHistoryGone is returned by a watch if the store no longer keeps the
	// revision that it starts from.
	ErrHistoryGone = errors.New("the store no longer keeps this revision")
	// ErrEraChanged is returned by a watch that was answered in another era than that of
	// the revision which it starts from: its events do not follow that revision.
	ErrEraChanged = errors.New("the store came back from an older copy")
	// errOldEra is returned for an answer of an earlier era than the newest one known.
	errOldEra = errors.New("the answer is from before the store came back from a copy")
)

// RevisionRangeError reports a revision or an era that is too large to be represented.
type RevisionRangeError struct {
	Era    uint64
	Number uint64
}

// Error implements error.
func (e *RevisionRangeError) Error() string {
	return fmt.Sprintf("revision %d of era %d is out of range", e.Number, e.Era)
}

// NewRevision returns the position of a revision of the store in an era. Errors are
// *RevisionRangeError.
func NewRevision(era Era, number uint64) (Revision, error) {
	if era > maxEra || number > maxRevision {
		return 0, &RevisionRangeError{Era: uint64(era), Number: number}
	}
	return Revision(uint64(era)<<revisionBits | number), nil
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> revisionBits) }

// Number returns the revision as the store names it.
func (r Revision) Number() uint64 { return uint64(r & maxRevision) }

// String implements fmt.Stringer.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d@%d", r.Number(), r.Era())
}
