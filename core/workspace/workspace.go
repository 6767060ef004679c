package workspace

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"

	"github.com/agateusher/agateusher/core/model"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// errDigest is returned for text that is not a digest. It does not contain the text,
// which may be a key.
var errDigest = errors.New("not the digest of a key")

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != base64.RawURLEncoding.EncodedLen(len(d)) {
		return errDigest
	}
	if _, err := base64.RawURLEncoding.Decode(d[:], text); err != nil {
		return errDigest
	}
	return nil
}

// Workspace is a customer of the operator, whose requests carry one of its keys.
type Workspace struct {
	Name model.WorkspaceID `json:"name"`
	// Priority takes precedence over that of the route; zero is the highest.
	Priority int `json:"priority"`
	// RatePerSecond is the number of requests per second over all hosts; zero: no
	// limit. Burst is added to it once per window.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
	// Keys are the digests of the keys.
	Keys []Digest `json:"keys"`
}

// Unreadable is a workspace that could not be decoded. Requests with its keys are
// refused: they must neither be told that the key is unknown nor be taken for another
// workspace's.
type Unreadable struct {
	Name model.WorkspaceID `json:"name"`
	// Keys are the digests of the keys that could be read.
	Keys []Digest `json:"keys,omitempty"`
	// KeysUnknown is set if there may be further keys. Any key that no other workspace
	// has may be one of them.
	KeysUnknown bool `json:"keysUnknown,omitempty"`
}

// KeyPolicy says whether a configuration asks for keys.
type KeyPolicy string

const (
	// KeysUndecoded: the configuration was decoded by a version of the program that
	// does not read workspaces.
	KeysUndecoded KeyPolicy = ""
	// KeysUnused: the configuration has no table of workspaces.
	KeysUnused KeyPolicy = "unused"
	// KeysRequired: requests need a key, except on public routes.
	KeysRequired KeyPolicy = "required"
)
