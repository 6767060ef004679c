package quota

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Report tells a coordinator what an issuer holds and needs. Parts are parts of the
// limit, 0 to 1.
type Report struct {
	// Stamp is of the sender's clock.
	Stamp Stamp
	// Coordinator and Echo are the sender and the stamp of the last lease that the
	// issuer received. Gifts to another coordinator do not count.
	Coordinator model.HostID
	Echo        Stamp
	Entries     []ReportEntry
}

// ReportEntry is the part of a Report about one workspace.
type ReportEntry struct {
	Workspace Key
	// Own is what the issuer's voters passed to it, Demand what it was asked for.
	Own, Demand float64
	// Gift is what the issuer leaves to the coordinator for giftLifetime.
	Gift float64
	// Seen is the stamp of the lease whose grant the issuer uses.
	Seen Stamp
	// Wants is set if the issuer asks for more; otherwise it was asked to report.
	Wants bool
}

// Lease is the reply to a Report, with the same workspaces.
type Lease struct {
	// Stamp is of the coordinator's clock, Echo the stamp of the report.
	Stamp, Echo Stamp
	Entries     []LeaseEntry
}

// LeaseEntry is the part of a Lease about one workspace.
type LeaseEntry struct {
	Workspace Key
	// Held is what the coordinator still uses of the gifts in this report and earlier
	// ones.
	Held float64
	// Wish is the gift that the coordinator asks for.
	Wish float64
	// Grant is what the issuer may use for grantLifetime.
	Grant float64
	// Continue asks for further reports, because an issuer wants more rate.
	Continue bool
}

// transfer is a part of a limit that one host passes to another until a time.
type transfer struct {
	part  float64
	stamp Stamp
	until time.Time
}

// transfers are those of which the receiver holds one, the sender does not know which.
type transfers []transfer

// most returns the largest part that the receiver may hold.
func (t transfers) most(now time.Time) (part float64) {
	for _, x := range t {
		if now.Before(x.until) {
			part = max(part, x.part)
		}
	}
	return part
}

// last returns when the last of them ends.
func (t transfers) last() (until time.Time) {
	for _, x := range t {
		if x.until.After(until) {
			until = x.until
		}
	}
	return until
}

// prune removes those that have ended and those made before a stamp.
func (t *transfers) prune(now time.Time, before Stamp) {
	*t = slices.DeleteFunc(*t, func(x transfer) bool { return !now.Before(x.until) || x.stamp < before })
}
