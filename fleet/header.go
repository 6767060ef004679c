package fleet

import (
	"net/http"
	"strings"
)

// hopByHop lists headers that concern one connection only (RFC 9110, section
// 7.6.1, and the older ones that clients still send).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// ownHeaderPrefix starts the names that only our processes set.
const ownHeaderPrefix = "Agateusher-"

// EndToEnd returns a copy of h without hop-by-hop headers, without those that
// Connection names, and without our own, which a caller or a backend server
// must not be able to set.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, ownHeaderPrefix) {
			out[name] = values
		}
	}
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
