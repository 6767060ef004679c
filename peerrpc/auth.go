package peerrpc

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

// nonceBytes is the size of a nonce; random 128-bit values do not repeat.
const nonceBytes = 16

// Secrets are the fleet secrets. The first makes proofs; proofs made with any of
// them are accepted, so that two are valid during a rotation.
type Secrets [][]byte

// The role is part of a proof, so that a proof is not valid if it is sent back to
// the side that made it.
const (
	roleClient = "agateusher-peer-client"
	roleServer = "agateusher-peer-server"
)

type hello struct {
	Nonce []byte `json:"nonce"`
}

type proof struct {
	MAC []byte `json:"mac"`
}

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // never fails; see crypto/rand
	return b
}

func computeProof(secret []byte, role string, client, server []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(role))
	h.Write(client)
	h.Write(server)
	return h.Sum(nil)
}

// verify returns the secret that the proof was made with, or false. Each
// comparison takes constant time.
func (s Secrets) verify(mac []byte, role string, client, server []byte) ([]byte, bool) {
	if len(client) != nonceBytes || len(server) != nonceBytes {
		return nil, false
	}
	for _, secret := range s {
		if hmac.Equal(mac, computeProof(secret, role, client, server)) {
			return secret, true
		}
	}
	return nil, false
}
