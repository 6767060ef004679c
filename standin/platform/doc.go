// Package platform is a stand-in for the platform that hosts run on. It serves
// the object API and the lagging host list, applies the platform's rate limits
// and injects faults that can be changed at run time. It is for tests and
// experiments only and keeps everything in memory.
//
// The protocol is documented in package objectapi. A Platform is an
// http.Handler; Transport calls it in-process without sockets. EndpointNamed
// returns further handlers over the same data, each with its own faults, so that
// one group of hosts can lose the object API or read stale data while others do
// not.
//
// The admin endpoints are under /admin/. Faults and rate limits do not apply to
// them, and their calls are not counted:
//
//	GET, PUT /admin/hosts                  {"hosts":[...]}
//	GET, PUT /admin/faults?endpoint=name   Faults as JSON; no name: the
//	                                       Platform itself
//	GET /admin/calls                       Calls as JSON
package platform
