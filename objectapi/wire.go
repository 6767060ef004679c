package objectapi

import (
	"strconv"
	"strings"
)

// Paths of the protocol.
const (
	// ObjectsPath precedes the key of an object; without a key it lists keys.
	ObjectsPath = "/objects"
	// HostsPath returns the host list.
	HostsPath = "/hosts"
	// PrefixParam is the query parameter of a listing.
	PrefixParam = "prefix"
	// WatchParam is the query parameter that turns a read into a watch.
	WatchParam = "watch"
)

// KeyList is the body of a listing.
type KeyList struct {
	Keys []string `json:"keys"`
}

// HostList is the body of the host list.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// FormatETag returns the entity tag of a version.
func FormatETag(v Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

// ParseETag reads what FormatETag returns. The second result is false for any
// other text.
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
		if segment == "" || segment == "." || segment == ".." || strings.IndexFunc(segment, notKeyRune) >= 0 {
			return &KeyError{Key: key}
		}
	}
	return nil
}

func notKeyRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return r != '.' && r != '_' && r != '-'
}
