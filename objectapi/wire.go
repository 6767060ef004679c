package objectapi

import (
	"strconv"
	"strings"
)

// Paths of the protocol.
const (
	// ObjectsPath is the path prefix of objects. The path without a key lists the
	// keys.
	ObjectsPath = "/objects"
	// HostsPath is the path of the host list.
	HostsPath = "/hosts"
	// PrefixParam is the query parameter that holds the key prefix of a listing.
	PrefixParam = "prefix"
	// WatchParam is the query parameter that turns a read into a watch.
	WatchParam = "watch"
)

// KeyList is the response body of a listing.
type KeyList struct {
	Keys []string `json:"keys"`
}

// HostList is the response body of the host list.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// FormatETag returns the entity tag of a version, such as "12" with the quotes.
func FormatETag(v Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

// ParseETag parses an entity tag in the form of FormatETag. The second result is
// false for any other text.
func ParseETag(s string) (Version, bool) {
	if len(s) < 3 || s[0] != '"' || s[len(s)-1] != '"' {
		return 0, false
	}
	v, err := strconv.ParseUint(s[1:len(s)-1], 10, 64)
	return Version(v), err == nil
}

// CheckKey returns a *KeyError unless key is well-formed.
func CheckKey(key string) error {
	for _, segment := range strings.Split(key, "/") {
		if segment == "" || segment == "." || segment == ".." || strings.IndexFunc(segment, isInvalidKeyRune) >= 0 {
			return &KeyError{Key: key}
		}
	}
	return nil
}

func isInvalidKeyRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return r != '.' && r != '_' && r != '-'
}
