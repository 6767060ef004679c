// Package objectapi is a client of the platform's object API, which stores
// versioned values with conditional updates and watches, and serves the list of
// hosts.
//
// # Protocol
//
// The API uses HTTP. A value is the body of a request or response and has at most
// MaxValueBytes. A version is a decimal number in a strong entity tag, such as
// ETag: "12". The version of a key increases with every update, also when the key
// was deleted in between.
//
//	GET /objects/{key}               200 value and ETag; 404
//	GET /objects/{key}?watch=true    waits until the version exceeds that in
//	                                 If-None-Match (absent: 0), then 200;
//	                                 304 after the platform's time limit; 404
//	PUT /objects/{key}               If-Match: "12" updates, If-None-Match: *
//	                                 creates; 200 and the new ETag; 412 and the
//	                                 current ETag (none if absent); 413; 428
//	                                 without a condition
//	DELETE /objects/{key}            If-Match: "12"; 204; 412; 404; 428
//	GET /objects?prefix=p            200 {"keys":["p1","p2"]}, sorted
//	GET /hosts                       200 {"hosts":[{"id":"h1",...}]}
//
// Every request may be rejected with 429 and Retry-After (seconds); it then has no
// effect. After a 5xx status, a broken connection or a timeout, a write may or may
// not have taken effect.
//
// A key consists of segments of letters, digits, '.', '_' and '-', joined by
// '/'. No segment is empty, "." or "..".
package objectapi
