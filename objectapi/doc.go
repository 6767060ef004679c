// Package objectapi is the client side of the platform's object API: versioned
// values with conditional updates and watches, and the list of hosts.
//
// # Protocol
//
// The API is HTTP. A value is the body of a request or response, at most
// MaxValueBytes. A version is a decimal number in a strong entity tag, such as
// ETag: "12". Versions of a key grow with every update, also over a deletion.
//
//	GET /objects/{key}               200 value and ETag; 404
//	GET /objects/{key}?watch=true    waits until the version exceeds that in
//	                                 If-None-Match (absent: 0), then 200;
//	                                 304 after the platform's limit; 404
//	PUT /objects/{key}               If-Match: "12" updates, If-None-Match: *
//	                                 creates; 200 and the new ETag; 412 and the
//	                                 current ETag (none if absent); 413; 428
//	                                 without a condition
//	DELETE /objects/{key}            If-Match: "12"; 204; 412; 404; 428
//	GET /objects?prefix=p            200 {"keys":["p1","p2"]}, in order
//	GET /hosts                       200 {"hosts":[{"id":"h1",...}]}
//
// Every request may be answered with 429 and Retry-After (seconds) before it
// has any effect. A 5xx status, a broken connection or a timeout leaves open
// whether a write took effect.
//
// A key consists of segments of letters, digits, '.', '_' and '-', joined by
// '/'. No segment is empty, "." or "..".
package objectapi
