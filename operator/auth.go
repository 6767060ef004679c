package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"connectrpc.com/connect"
)

// Token is one operator's bearer token.
type Token struct {
	// Name is recorded as the author of the operator's changes.
	Name string `json:"name" validate:"required"`
	// Secret is sent in the Authorization header.
	Secret string `json:"secret" validate:"min=16" sensitive:"true"`
}

// authenticator compares SHA-256 digests instead of tokens. Digests have a fixed
// length, so that the duration of a comparison depends neither on the length nor
// on the content of a token.
type authenticator struct {
	digests [][sha256.Size]byte
	names   []string
}

func newAuthenticator(tokens []Token) *authenticator {
	a := &authenticator{}
	for _, t := range tokens {
		a.digests = append(a.digests, sha256.Sum256([]byte(t.Secret)))
		a.names = append(a.names, t.Name)
	}
	return a
}

// authenticate returns the name of the token in the Authorization header, or
// false if the token is unknown. It always compares with every token, so that the
// duration does not depend on which one matches.
func (a *authenticator) authenticate(header string) (string, bool) {
	scheme, secret, _ := strings.Cut(header, " ")
	digest := sha256.Sum256([]byte(secret))
	found := -1
	for i := range a.digests {
		equal := subtle.ConstantTimeCompare(a.digests[i][:], digest[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	return a.names[found], true
}

type operatorKey struct{}

// operatorName returns the name of the token that authenticated the call.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// middleware rejects calls without a valid token before their body is read.
func (a *authenticator) middleware(next http.Handler) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := a.authenticate(r.Header.Get("Authorization"))
		if !ok {
			recordOf(r.Context()).setCode(connect.CodeUnauthenticated)
			// A write error means that the caller has disconnected.
			_ = errorWriter.Write(w, r, toConnect(ErrUnauthenticated))
			return
		}
		recordOf(r.Context()).operator = name
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}
