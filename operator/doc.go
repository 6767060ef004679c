// Package operator is the RPC service that operators manage the fleet with. It
// accepts configuration changes, shows the state of hosts and pools, takes
// backend servers in and out of service and returns daily reports.
//
// Every call is authenticated by a bearer token, bounded in size and time, and
// logged in one line. Failures are typed: ConflictError, FloorError,
// NotFoundError and snapshot.ValidationError reach callers as connect errors
// with a detail message.
package operator
