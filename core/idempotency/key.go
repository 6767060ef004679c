// Package idempotency implements idempotency keys that the fleet issues. A key
// can be spent only at the process incarnation that issued it, or at the one
// successor that took over its ledger. That process marks the key as spent in
// memory before it dispatches the request, so a request with a key runs at most
// once without a store on the request path. If the issuer stops without a
// successor, its keys can no longer be used.
package idempotency

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"strings"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

const (
	keyVersion         = 1
	macBytes           = 16
	maxNameBytes       = 255
	maxEncodedKeyBytes = 1024
	fixedKeyBytes      = 1 + 1 + 1 + 8 + 8 + macBytes
)

var (
	// ErrMalformed is returned for a text that is not a key.
	ErrMalformed = errors.New("malformed idempotency key")
	// ErrForged is returned if no current secret produces the key's MAC for the
	// scope. Ledger.Begin returns it only if the ledger shows that no key with this
	// sequence number has been spent.
	ErrForged = errors.New("idempotency key is not authentic for this request")
	// ErrUnverified is returned instead of ErrForged if the key may have been
	// spent: a genuine key also fails verification after a change of its route,
	// workspace or secret.
	ErrUnverified = errors.New("idempotency key is not authentic for this request, but may have been spent")
)

// Scope is the workspace and route that a key is valid for.
type Scope struct {
	Workspace model.WorkspaceID
	Route     model.RouteName
}

// Key is a decoded key. It is not authentic until Secrets.Verify accepts it.
type Key struct {
	// Host is the host that issued the key, used to locate the issuer.
	Host model.HostID
	// Issuer is the incarnation that issued the key.
	Issuer model.Incarnation
	// Sequence is unique among the issuer's keys.
	Sequence uint64
	// IssuedAt is the time since the issuer's start, on its monotonic clock.
	IssuedAt time.Duration
	// Use is the number of releases of the key that the sender of the request
	// knew of. It is sent beside the key and is not part of the key's text.
	Use uint32

	mac [macBytes]byte
}

// Secrets sign and verify keys. The first one signs and all of them verify, so
// that a new secret can be added before the old one is removed.
type Secrets [][]byte

// Encode signs the key for a scope and returns its text, which is safe in an
// HTTP header. It returns ErrMalformed if a name is too long.
func (s Secrets) Encode(k Key, scope Scope) (string, error) {
	if len(k.Host) > maxNameBytes || len(k.Issuer) > maxNameBytes {
		return "", ErrMalformed
	}
	payload := k.payload()
	mac := computeMAC(s[0], payload, scope)
	return base64.RawURLEncoding.EncodeToString(append(payload, mac[:]...)), nil
}

// Decode reads a key without checking its MAC.
func Decode(text string) (Key, error) {
	// The decoder skips line breaks, so one key would have several texts.
	if len(text) > maxEncodedKeyBytes || strings.ContainsAny(text, "\r\n") {
		return Key{}, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < fixedKeyBytes || raw[0] != keyVersion {
		return Key{}, ErrMalformed
	}
	host, rest, ok := readName(raw[1:])
	if !ok {
		return Key{}, ErrMalformed
	}
	issuer, rest, ok := readName(rest)
	if !ok || len(rest) != 8+8+macBytes {
		return Key{}, ErrMalformed
	}
	k := Key{
		Host:     model.HostID(host),
		Issuer:   model.Incarnation(issuer),
		Sequence: binary.BigEndian.Uint64(rest),
		IssuedAt: time.Duration(binary.BigEndian.Uint64(rest[8:])),
	}
	copy(k.mac[:], rest[16:])
	return k, nil
}

// Verify returns ErrForged unless one of the secrets signed the key for scope.
func (s Secrets) Verify(k Key, scope Scope) error {
	payload := k.payload()
	for _, secret := range s {
		mac := computeMAC(secret, payload, scope)
		if hmac.Equal(mac[:], k.mac[:]) {
			return nil
		}
	}
	return ErrForged
}

func (k Key) payload() []byte {
	b := make([]byte, 0, fixedKeyBytes+len(k.Host)+len(k.Issuer))
	b = append(b, keyVersion, byte(len(k.Host)))
	b = append(b, k.Host...)
	b = append(b, byte(len(k.Issuer)))
	b = append(b, k.Issuer...)
	b = binary.BigEndian.AppendUint64(b, k.Sequence)
	return binary.BigEndian.AppendUint64(b, uint64(k.IssuedAt))
}

func computeMAC(secret, payload []byte, scope Scope) [macBytes]byte {
	h := hmac.New(sha256.New, secret)
	h.Write(payload)
	// The length distinguishes ("ab", "c") from ("a", "bc").
	h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(scope.Workspace))))
	h.Write([]byte(scope.Workspace))
	h.Write([]byte(scope.Route))
	var mac [macBytes]byte
	copy(mac[:], h.Sum(nil))
	return mac
}

func readName(b []byte) (name, rest []byte, ok bool) {
	if len(b) == 0 {
		return nil, nil, false
	}
	// Computed as an int, because 1+255 overflows a byte.
	end := 1 + int(b[0])
	if len(b) < end {
		return nil, nil, false
	}
	return b[1:end], b[end:], true
}
