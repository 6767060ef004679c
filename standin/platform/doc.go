// Package platform is a stand-in for the platform that hosts run on: the
// object API and the lagging host list, with the platform's limits and with
// faults that can be switched at run time. It is for tests and experiments
// only and keeps everything in memory.
//
// The protocol is documented in package objectapi. A Platform is an
// http.Handler; Transport calls it in-process without sockets. Endpoint gives
// further handlers over the same data, each with its own faults, so that one
// group of hosts can lose the object API or read stale data while others do
// not.
//
// The admin endpoint is served under /admin/ and is not subject to faults,
// rate limits or counting:
//
//	GET, PUT /admin/hosts                  {"hosts":[...]}
//	GET, PUT /admin/faults?endpoint=name   Faults as JSON; no name: the
//	                                       Platform itself
//	GET /admin/calls                       Calls as JSON
package platform
