// Package operator implements the RPC service with which operators manage the
// fleet. It applies configuration changes, reports the state of hosts and pools,
// takes backend servers in and out of service and returns daily reports.
//
// Every call is authenticated by a bearer token, limited in size and time, and
// logged in one line. Errors are typed and reach callers as connect errors;
// ConflictError, FloorError and snapshot.ValidationError carry a detail message.
package operator
