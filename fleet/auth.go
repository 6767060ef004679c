package fleet

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"net/http"
)

// ErrUnauthorized: the request carries no MAC made with a current secret.
var ErrUnauthorized = errors.New("fleet request is not authentic")

// Secrets authenticate daemons to each other. The first signs, all verify.
type Secrets [][]byte

// Sign adds the MAC to a request.
func (s Secrets) Sign(r *http.Request) {
	r.Header.Set(headerMAC, base64.RawStdEncoding.EncodeToString(mac(s[0], r)))
}

// Verify returns ErrUnauthorized unless one of the secrets signed the request.
// The comparison takes constant time.
func (s Secrets) Verify(r *http.Request) error {
	got, err := base64.RawStdEncoding.DecodeString(r.Header.Get(headerMAC))
	if err != nil {
		return ErrUnauthorized
	}
	for _, secret := range s {
		if hmac.Equal(got, mac(secret, r)) {
			return nil
		}
	}
	return ErrUnauthorized
}

// RequireMAC wraps a handler so that it serves authentic requests only.
func (s Secrets) RequireMAC(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.Verify(r); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func mac(secret []byte, r *http.Request) []byte {
	h := hmac.New(sha256.New, secret)
	for _, part := range []string{r.Method, r.URL.Path, r.Header.Get(HeaderRequestID)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return h.Sum(nil)
}
