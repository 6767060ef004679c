package fleet

import (
	"net/http"
	"strings"
)

// hopByHopHeaders lists headers that apply to one connection only (RFC 9110,
// section 7.6.1, and older ones that clients still send).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// reservedHeaderPrefix is the prefix of the headers that only the processes of
// this project may set.
const reservedHeaderPrefix = "Agateusher-"

// EndToEnd returns a copy of h without hop-by-hop headers, without those that
// Connection names, and without those with the reserved prefix, which a caller or
// a backend server must not be able to set.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, reservedHeaderPrefix) {
			out[name] = values
		}
	}
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}
