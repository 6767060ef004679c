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

// ConfigStore accepts and reads the configuration. Errors may wrap
// objectapi.ErrUnavailable or the context's error.
type ConfigStore interface {
	// Apply accepts the change if the current epoch is expected, and returns
	// the new epoch. It returns *ConflictError or *snapshot.ValidationError if the change
	// was refused. A change whose ID was accepted before returns the epoch that
	// it produced.
	Apply(ctx context.Context, change snapshot.Change, expected model.Epoch) (model.Epoch, error)
	// Load returns the current configuration. Its epoch is zero if none exists.
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

// HostStatus is what one host says about itself.
type HostStatus struct {
	Host   Host
	Status adminapi.Status
	// Err says why the status is missing; nil: it answered.
	Err error
}

// HostPools is what one host says about the pools that it owns.
type HostPools struct {
	Host  Host
	Pools []adminapi.Pool
	// Err says why the pools are missing; nil: it answered.
	Err error
}

// Fleet asks every daemon about its state. An error means that the host list
// could not be read; a host that does not answer is not an error.
type Fleet interface {
	Status(ctx context.Context) ([]HostStatus, error)
	Pools(ctx context.Context) ([]HostPools, error)
}

// MissingHost is a host whose report data are missing or incomplete.
type MissingHost struct {
	Host model.HostID
	// Incarnation is empty if the host wrote nothing.
	Incarnation model.Incarnation
	// CoveredUntil is the last moment that the data cover; zero: none.
	CoveredUntil time.Time
	Problem      string
}

// Reports builds daily reports.
type Reports interface {
	// Daily reads the day's data, "2006-01-02", and returns what is missing and
	// a function that writes the CSV in the layout.
	Daily(ctx context.Context, day string, layout snapshot.ReportLayout) ([]MissingHost, func(io.Writer) error, error)
}
