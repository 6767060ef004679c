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
	// HeadKey is the object that every accepted change updates.
	HeadKey = "config/head"
	// ChunkPrefix precedes the names of chunks.
	ChunkPrefix = "config/chunks/"

	// listedChanges is how many of the last changes the head lists. They
	// resolve lost replies and explain conflicts.
	listedChanges = 32
	// listedObjects bounds the objects that the head lists for each change.
	listedObjects = 8
	// inlineBytes bounds the changes that the head carries in full. At about
	// 300 bytes for a change of one server it covers some 25 changes, so that
	// hosts that are a few epochs behind fetch no chunks, while a head crosses
	// a region boundary with under 20 KB.
	inlineBytes = 8 << 10
)

// ChunkKey returns the object key of a chunk.
func ChunkKey(name snapshot.ChunkName) string { return ChunkPrefix + string(name) }

// Head is the value of HeadKey.
type Head struct {
	Epoch    model.Epoch `json:"epoch"`
	ChangeID string      `json:"changeId"`
	Author   string      `json:"author"`
	// Chunks names the chunks that hold the objects.
	Chunks snapshot.Manifest `json:"chunks"`
	// Changes lists the last changes, oldest first; the last one made Epoch.
	Changes []AcceptedChange `json:"changes"`
	// Fence counts the garbage collections. Raising it makes updates fail that
	// are based on an earlier version of the head.
	Fence uint64 `json:"fence,omitempty"`
}

// AcceptedChange describes one of the last changes.
type AcceptedChange struct {
	Epoch  model.Epoch `json:"epoch"`
	ID     string      `json:"id"`
	Author string      `json:"author"`
	// Digest identifies the content of the change.
	Digest snapshot.ChunkName `json:"digest"`
	// Objects are the first few of the objects that were changed.
	Objects []snapshot.Ref `json:"objects"`
	// ObjectCount is the number of all of them.
	ObjectCount int `json:"objectCount"`
	// Change is the whole change, nil if it is too large or too old.
	Change *snapshot.Change `json:"change,omitempty"`
}

// String returns "epoch 7: author changed Server a, Server b (change ID)".
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

var errHeadFields = errors.New("epoch, change ID or the list of changes is missing")

// HeadError reports a head that cannot be decoded.
type HeadError struct{ Err error }

// Error implements error.
func (e *HeadError) Error() string { return fmt.Sprintf("malformed configuration head: %v", e.Err) }

// Unwrap returns the cause.
func (e *HeadError) Unwrap() error { return e.Err }

// DecodeHead reads the value of HeadKey. The error is a *HeadError.
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

// encode returns the value for HeadKey. The error is a *HeadError.
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
// if older ones are no longer listed.
func (h Head) since(e model.Epoch) ([]AcceptedChange, bool) {
	if e >= h.Epoch {
		return nil, true
	}
	i := slices.IndexFunc(h.Changes, func(c AcceptedChange) bool { return c.Epoch > e })
	return h.Changes[i:], h.Changes[i].Epoch == e+1
}

// next returns the head that follows h by the change.
func (h Head) next(c snapshot.Change, s *snapshot.Snapshot, m snapshot.Manifest) (Head, error) {
	accepted, err := accept(c, s.Epoch)
	if err != nil {
		return Head{}, err
	}
	n := Head{Epoch: s.Epoch, ChangeID: c.ID, Author: c.Author, Chunks: m, Fence: h.Fence}
	n.Changes = append(slices.Clone(h.Changes), accepted)
	n.Changes = n.Changes[max(0, len(n.Changes)-listedChanges):]
	return n, n.trimInline()
}

func accept(c snapshot.Change, e model.Epoch) (AcceptedChange, error) {
	digest, err := digestOf(c)
	if err != nil {
		return AcceptedChange{}, err
	}
	refs := c.Refs()
	return AcceptedChange{
		Epoch: e, ID: c.ID, Author: c.Author, Digest: digest,
		Objects: refs[:min(len(refs), listedObjects)], ObjectCount: len(refs), Change: &c,
	}, nil
}

func digestOf(c snapshot.Change) (snapshot.ChunkName, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return "", &HeadError{Err: err}
	}
	return snapshot.ChunkNameOf(data), nil
}

// trimInline removes the whole changes that do not fit, oldest first.
func (h Head) trimInline() error {
	left := inlineBytes
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

// StoredHead is the head with the version of its object. The zero value stands
// for a configuration that does not exist yet.
type StoredHead struct {
	Head
	Version objectapi.Version
}
