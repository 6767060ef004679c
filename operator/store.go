package operator

import (
	"context"
	"io"
	"time"

	"github.com/agateusher/agateusher/adminapi"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/objectapi"
)

// ConfigStore changes and reads the configuration. Errors may wrap
// objectapi.ErrUnavailable or the context's error.
type ConfigStore interface {
	// Apply accepts the change if the current epoch equals expected, and returns
	// the new epoch. It returns a *ConflictError or *snapshot.ValidationError if
	// it rejects the change. Apply is idempotent: for a change ID that was
	// accepted before, it returns the epoch of that change.
	Apply(ctx context.Context, change snapshot.Change, expected model.Epoch) (model.Epoch, error)
	// Load returns the current configuration. The epoch is zero if there is none.
	Load(ctx context.Context) (snapshot.Snapshot, error)
}

// Host is one entry of the host list.
type Host struct {
	ID         model.HostID
	DataCentre model.DataCentre
	State      objectapi.HostState
	// AdminAddress is "ip:port" of the daemon's admin endpoint.
	AdminAddress string
}

// HostLister returns the host list. Errors may wrap objectapi.ErrUnavailable.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// HostStatus is the status that a host reports.
type HostStatus struct {
	Host   Host
	Status adminapi.Status
	// Err is the reason why Status is missing; nil if the host answered.
	Err error
}

// HostPools holds the pools that a host owns, as the host reports them.
type HostPools struct {
	Host  Host
	Pools []adminapi.Pool
	// Err is the reason why Pools is missing; nil if the host answered.
	Err error
}

// Fleet queries all daemons for their state. The methods return an error only if
// the host list could not be read; the failure of one host is in its Err field.
type Fleet interface {
	Status(ctx context.Context) ([]HostStatus, error)
	Pools(ctx context.Context) ([]HostPools, error)
}

// MissingHost is a host whose report data are missing or incomplete.
type MissingHost struct {
	Host model.HostID
	// Incarnation is empty if the host wrote no data.
	Incarnation model.Incarnation
	// CoveredUntil is the end of the time that the data cover; zero if there are
	// no data.
	CoveredUntil time.Time
	Problem      string
}

// Reports builds daily reports.
type Reports interface {
	// Daily reads the data of a day, such as "2006-01-02". It returns the hosts
	// with missing data and a function that writes the CSV in the layout.
	Daily(ctx context.Context, day string, layout snapshot.ReportLayout) ([]MissingHost, func(io.Writer) error, error)
}
