// Package quota limits the requests of workspaces over all hosts of the fleet.
//
// The rate of a workspace belongs to the hosts in equal shares. A host votes for one
// issuer of its data centre, which then issues admissions at the sum of its voters'
// shares. Issuers that need more than that, or less, exchange rate through the
// workspace's coordinator: they give it rate for a short time, and it grants the rate to
// others for a shorter one. Every vote, gift and grant is held by one host at a time and
// ends by itself, so that the rates in use add up to at most the limit while hosts are
// cut off from each other, frozen, restarted, or disagree about who is live. What can be
// lost is rate that nobody uses, never rate that two hosts use.
//
// Whoever receives a vote, a gift or a grant counts its lifetime from a stamp of its own
// clock that the sender returned; the sender counts it from when it received the stamp,
// which is later. A delayed datagram therefore prolongs nothing, and clocks need to agree
// on the length of a second only. The time must come from a clock that runs while the
// host is suspended.
//
// The package has no clock, goroutines, locks or I/O: callers pass the time in and must
// serialise calls.
package quota
