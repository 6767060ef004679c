// Package fairqueue is a bounded queue that shares slot time fairly between
// workspaces.
//
// The scheme is start-time fair queueing: each workspace has a virtual start
// tag, the workspace with the smallest tag is served next, and its tag grows by
// cost divided by weight. It was chosen over deficit round robin because slot
// time is known only after the fact: the estimate that is charged at dispatch is
// corrected by moving the tag when the attempt ends, and there is no quantum to
// tune. Its delay bound for a workspace that sends little does not depend on the
// backlog of others.
//
// A workspace that uses less than its share, or that was not seen lately, may
// start earlier by a bounded credit, so that random bursts within its share do
// not wait behind a workspace that always has a backlog.
//
// A queue has two classes with one tag per workspace, so that a workspace gets
// one fair share whatever it sends, while the caller decides which classes may
// be served now.
//
// Push, Pop, Remove and Finish take O(log n) in the number of active
// workspaces. A workspace without waiting or running requests whose tag has
// been passed is forgotten.
package fairqueue
