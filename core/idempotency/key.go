// Package idempotency implements issued idempotency keys. A key can be spent
// only at the process incarnation that issued it (or at the one successor that
// took over its ledger), which marks it as spent in memory before the request
// is dispatched. A request with a key therefore runs at most once without any
// store on the request path: if the issuer is gone, the key is dead.
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
	keyVersion     = 1
	macBytes       = 16
	maxNameBytes   = 255
	maxEncodedKey  = 1024
	fixedKeyFields = 1 + 1 + 1 + 8 + 8 + macBytes
)

var (
	// ErrMalformed: the text is not a key.
	ErrMalformed = errors.New("malformed idempotency key")
	// ErrForged: no current secret produces the key's MAC for this scope. A key
	// with this number was not spent.
	ErrForged = errors.New("idempotency key is not authentic for this request")
	// ErrUnverified is ErrForged for a key that may have been spent: a genuine
	// key fails too after a change of its route, workspace or secret.
	ErrUnverified = errors.New("idempotency key is not authentic for this request, but may have been spent")
)

// Scope is what a key is valid for.
type Scope struct {
	Workspace model.WorkspaceID
	Route     model.RouteName
}

// Key is a decoded key. It is not authentic until Secrets.Verify accepts it.
type Key struct {
	// Host is where the key was issued; it finds the issuer.
	Host model.HostID
	// Issuer is the incarnation that issued the key.
	Issuer model.Incarnation
	// Sequence is unique for an issuer.
	Sequence uint64
	// IssuedAt is the time since the issuer's start, on its monotonic clock.
	IssuedAt time.Duration
	// Use is how often the key had been released when the request was made. It
	// comes with the request and is not part of the key's text.
	Use uint32

	mac [macBytes]byte
}

// Secrets sign and verify keys. The first signs; all verify, so that a new
// secret can be added before the old one is removed.
type Secrets [][]byte

// Encode signs the key for a scope and returns its text, which is safe in an
// HTTP header. It returns ErrMalformed if a name is too long.
func (s Secrets) Encode(k Key, scope Scope) (string, error) {
	if len(k.Host) > maxNameBytes || len(k.Issuer) > maxNameBytes {
		return "", ErrMalformed
	}
	body := k.body()
	mac := computeMAC(s[0], body, scope)
	return base64.RawURLEncoding.EncodeToString(append(body, mac[:]...)), nil
}

// Decode reads a key without checking its MAC.
func Decode(text string) (Key, error) {
	// The decoder skips line breaks, which would give one key several texts.
	if len(text) > maxEncodedKey || strings.ContainsAny(text, "\r\n") {
		return Key{}, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < fixedKeyFields || raw[0] != keyVersion {
		return Key{}, ErrMalformed
	}
	host, rest, ok := takeName(raw[1:])
	if !ok {
		return Key{}, ErrMalformed
	}
	issuer, rest, ok := takeName(rest)
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
	body := k.body()
	for _, secret := range s {
		mac := computeMAC(secret, body, scope)
		if hmac.Equal(mac[:], k.mac[:]) {
			return nil
		}
	}
	return ErrForged
}

func (k Key) body() []byte {
	b := make([]byte, 0, fixedKeyFields+len(k.Host)+len(k.Issuer))
	b = append(b, keyVersion, byte(len(k.Host)))
	b = append(b, k.Host...)
	b = append(b, byte(len(k.Issuer)))
	b = append(b, k.Issuer...)
	b = binary.BigEndian.AppendUint64(b, k.Sequence)
	return binary.BigEndian.AppendUint64(b, uint64(k.IssuedAt))
}

func computeMAC(secret, body []byte, scope Scope) [macBytes]byte {
	h := hmac.New(sha256.New, secret)
	h.Write(body)
	// Lengths keep ("ab", "c") and ("a", "bc") apart.
	h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(scope.Workspace))))
	h.Write([]byte(scope.Workspace))
	h.Write([]byte(scope.Route))
	var mac [macBytes]byte
	copy(mac[:], h.Sum(nil))
	return mac
}

func takeName(b []byte) (name, rest []byte, ok bool) {
	if len(b) == 0 {
		return nil, nil, false
	}
	// Not computed as a byte, in which 1+255 is 0.
	end := 1 + int(b[0])
	if len(b) < end {
		return nil, nil, false
	}
	return b[1:end], b[end:], true
}
