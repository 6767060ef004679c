package configstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/objectapi"
)

const (
	// HeadKey is the key of the object that every accepted change updates.
	HeadKey = "config/head"
	// ChunkPrefix is the prefix of the keys of chunks.
	ChunkPrefix = "config/chunks/"

	// maxListedChanges limits the last changes that the head lists. The list
	// determines the result after a lost reply and explains conflicts.
	maxListedChanges = 32
	// maxListedObjects limits the objects that the head lists for each change.
	maxListedObjects = 8
	// maxInlineBytes limits the changes that the head contains in full. A change
	// of one server takes about 300 bytes, so that some 25 changes fit. Hosts
	// that are a few epochs behind then fetch no chunks, and a head sent
	// between regions stays under 20 KB.
	maxInlineBytes = 8 << 10
)

// ChunkKey returns the object key of a chunk.
func ChunkKey(name snapshot.ChunkName) string { return ChunkPrefix + string(name) }

// Head is the value of the object HeadKey, encoded as JSON.
type Head struct {
	Epoch    model.Epoch `json:"epoch"`
	ChangeID string      `json:"changeId"`
	Author   string      `json:"author"`
	// Chunks names the chunks that hold the objects.
	Chunks snapshot.Manifest `json:"chunks"`
	// Changes lists the last changes, oldest first. The last one created Epoch.
	Changes []AcceptedChange `json:"changes"`
	// Fence is raised by each garbage collection, so that updates based on an
	// earlier version of the head fail.
	Fence uint64 `json:"fence,omitempty"`
}

// AcceptedChange describes one of the last changes.
type AcceptedChange struct {
	Epoch  model.Epoch `json:"epoch"`
	ID     string      `json:"id"`
	Author string      `json:"author"`
	// Digest identifies the content of the change.
	Digest snapshot.ChunkName `json:"digest"`
	// Objects are the first of the changed objects, at most maxListedObjects.
	Objects []snapshot.Ref `json:"objects"`
	// ObjectCount is the number of all changed objects.
	ObjectCount int `json:"objectCount"`
	// Change is the whole change. It is nil if the change does not fit into
	// maxInlineBytes together with the newer ones.
	Change *snapshot.Change `json:"change,omitempty"`
}

// String describes the change in the form
// "epoch 7: author changed Server a, Server b (change ID)".
func (a AcceptedChange) String() string {
	text := fmt.Sprintf("epoch %s: %s changed ", a.Epoch, a.Author)
	for i, r := range a.Objects {
		if i > 0 {
			text += ", "
		}
		text += r.String()
	}
	if more := a.ObjectCount - len(a.Objects); more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text + " (change " + a.ID + ")"
}

var errHeadFields = errors.New("epoch, change ID or list of changes is missing, or the last change has another epoch")

// HeadError reports a head that cannot be decoded.
type HeadError struct{ Err error }

// Error implements error.
func (e *HeadError) Error() string { return fmt.Sprintf("malformed configuration head: %v", e.Err) }

// Unwrap returns the cause.
func (e *HeadError) Unwrap() error { return e.Err }

// DecodeHead decodes the value of HeadKey. The error is a *HeadError.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, &HeadError{Err: err}
	}
	if h.Epoch == 0 || h.ChangeID == "" || len(h.Changes) == 0 || h.Changes[len(h.Changes)-1].Epoch != h.Epoch {
		return Head{}, &HeadError{Err: errHeadFields}
	}
	return h, nil
}

// encode returns the value to store at HeadKey. The error is a *HeadError.
func (h Head) encode() ([]byte, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return nil, &HeadError{Err: err}
	}
	return data, nil
}

// find returns the listed change with the ID.
func (h Head) find(id string) (AcceptedChange, bool) {
	for _, c := range h.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return AcceptedChange{}, false
}

// since returns the listed changes after an epoch. The second result is false
// if some changes after that epoch are no longer listed.
func (h Head) since(e model.Epoch) ([]AcceptedChange, bool) {
	if e >= h.Epoch {
		return nil, true
	}
	i := slices.IndexFunc(h.Changes, func(c AcceptedChange) bool { return c.Epoch > e })
	return h.Changes[i:], h.Changes[i].Epoch == e+1
}

// next returns the head after the change c, for its snapshot s and manifest m.
func (h Head) next(c snapshot.Change, s *snapshot.Snapshot, m snapshot.Manifest) (Head, error) {
	accepted, err := newAcceptedChange(c, s.Epoch)
	if err != nil {
		return Head{}, err
	}
	n := Head{Epoch: s.Epoch, ChangeID: c.ID, Author: c.Author, Chunks: m, Fence: h.Fence}
	n.Changes = append(slices.Clone(h.Changes), accepted)
	n.Changes = n.Changes[max(0, len(n.Changes)-maxListedChanges):]
	return n, n.trimInline()
}

func newAcceptedChange(c snapshot.Change, e model.Epoch) (AcceptedChange, error) {
	digest, err := digestOf(c)
	if err != nil {
		return AcceptedChange{}, err
	}
	refs := c.Refs()
	return AcceptedChange{
		Epoch: e, ID: c.ID, Author: c.Author, Digest: digest,
		Objects: refs[:min(len(refs), maxListedObjects)], ObjectCount: len(refs), Change: &c,
	}, nil
}

func digestOf(c snapshot.Change) (snapshot.ChunkName, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return "", &HeadError{Err: err}
	}
	return snapshot.ChunkNameOf(data), nil
}

// trimInline removes Change from the oldest entries of Changes, so that the
// rest fits into maxInlineBytes.
func (h Head) trimInline() error {
	left := maxInlineBytes
	for i := range slices.Backward(h.Changes) {
		if h.Changes[i].Change == nil {
			continue
		}
		data, err := json.Marshal(h.Changes[i].Change)
		if err != nil {
			return &HeadError{Err: err}
		}
		left -= len(data)
		if left < 0 {
			h.Changes[i].Change = nil
		}
	}
	return nil
}

// StoredHead is the head with the version of its object. The zero value means
// that no configuration exists yet.
type StoredHead struct {
	Head
	Version objectapi.Version
}
