package edge

import (
	"time"

	"github.com/agateusher/agateusher/catalog"
)

// defaultTimeout applies to routes without a timeout.
const defaultTimeout = 30 * time.Second

// timeoutOf returns the time from the end of a request to its deadline.
func timeoutOf(q *request, route *catalog.Route) time.Duration {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if q.callerTimeout > 0 {
		timeout = min(timeout, q.callerTimeout)
	}
	return timeout
}

// requestTimeout returns how long the response to a request may take. Without a route,
// there is one at once.
func (n *Node) requestTimeout(q *request) time.Duration {
	view := n.view.Load()
	if view == nil || view.Config == nil {
		return initialViewTimeout
	}
	if route, result := view.Routes.Match(q.host, q.path()); result == catalog.Matched {
		return timeoutOf(q, route)
	}
	return 0
}
