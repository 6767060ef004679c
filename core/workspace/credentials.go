package workspace

import "strings"

// maxParts is the number of parts of one Authorization header that may be a key. It bounds
// the work for a request. Credentials of the scheme Digest have about 20.
const maxParts = 64

// Credentials are the digests of what the Authorization headers of a request contain.
type Credentials struct {
	// Key is the digest of the token if the request has one header with the scheme
	// Bearer and one token; HasKey is set then.
	Key    Digest
	HasKey bool
	// parts are the digests of what may be a key in each header, whatever its form. A
	// key in credentials that are malformed must not be passed on either.
	parts [][]Digest
	// overlong is set for headers with more than maxParts parts.
	overlong []bool
}

// ParseCredentials parses the values of the Authorization headers of a request.
func ParseCredentials(values []string) Credentials {
	var c Credentials
	for _, v := range values {
		parts, overlong := partsOf(v)
		c.parts, c.overlong = append(c.parts, parts), append(c.overlong, overlong)
	}
	if len(values) == 1 {
		if token, ok := bearerToken(values[0]); ok {
			c.Key, c.HasKey = DigestOf(token), true
		}
	}
	return c
}

// Present reports whether the request has any Authorization header.
func (c Credentials) Present() bool { return len(c.parts) > 0 }

// bearerToken returns the token of a value with the scheme Bearer.
func bearerToken(value string) (string, bool) {
	scheme, token, _ := strings.Cut(value, " ")
	token = strings.TrimLeft(token, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" || strings.ContainsAny(token, " \t") {
		return "", false
	}
	return token, true
}

// partsOf returns the digests of the parts of a value that may be a key: the token of
// the scheme Bearer, the parts between spaces and other separators, and what follows the
// equals sign in such a part. overlong is set if there are more than maxParts parts.
func partsOf(value string) (parts []Digest, overlong bool) {
	if token, ok := bearerToken(value); ok {
		parts = append(parts, DigestOf(token))
	}
	fields := strings.FieldsFunc(value, func(r rune) bool { return strings.ContainsRune(" \t,;\"'", r) })
	if len(fields) > maxParts {
		return parts, true
	}
	for _, field := range fields {
		parts = append(parts, DigestOf(field))
		if _, text, ok := strings.Cut(field, "="); ok && text != "" {
			parts = append(parts, DigestOf(text))
		}
	}
	return parts, false
}
