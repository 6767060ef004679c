// Package backend is a stand-in for a backend server, for tests and
// experiments only. A Server has slots, a short queue, a seeded service time
// distribution, a cold start and a connection limit; it sheds load, honours
// deadlines and cancellation, and can be made to fail in the ways that real
// backend servers fail (gray failures).
//
// Tests use it as an oracle in two ways. Every answer carries the request's
// identifiers and a checksum (Answer), so that a client detects an answer that
// belongs to another request or is truncated. Every request is recorded in an
// execution log (Execution), so that a test detects a request that ran twice, or
// ran although its caller was told that it did not.
//
// Endpoints of a server, besides the requests themselves:
//
//	GET    /health             200, or 503 while failing or draining
//	GET    /load               Load as JSON
//	DELETE /requests/{id}      cancels a request; answers when its slot is free
//	*      /standin/...        administration, see (*Server).Admin
package backend
