// Package fairqueue implements a bounded queue that shares slot time fairly
// between workspaces.
//
// The algorithm is start-time fair queueing: each workspace has a virtual start
// tag, the workspace with the smallest tag is served next, and its tag grows by
// the slot time divided by the weight. Unlike deficit round robin, it needs no
// quantum, and it suits slot times that are known only when an attempt ends: the
// estimate that is charged at dispatch is corrected then by moving the tag. Its
// delay bound for a workspace that sends little does not depend on the backlog of
// others.
//
// A workspace that uses less than its share, or that has sent nothing lately, can
// start earlier by a bounded credit, so that random bursts within its share do
// not wait behind a workspace that always has a backlog.
//
// A queue has two classes of requests, but one tag per workspace. A workspace
// thus gets one fair share for both classes, while the user of the queue decides
// which classes can be served now.
//
// Push, Pop, Remove and Finish take O(log n) in the number of active workspaces.
// The state of a workspace without waiting or running requests is deleted when a
// new workspace would start with the same or a larger tag, or when the queue has
// no requests at all.
package fairqueue
