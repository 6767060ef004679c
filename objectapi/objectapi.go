package objectapi

import (
	"context"
	"errors"
	"fmt"

	"github.com/agateusher/agateusher/core/model"
)

// MaxValueBytes is the size of the largest value that the object API stores.
const MaxValueBytes = 1 << 20

// Version is the version of an object. It increases with every update. Zero means
// that the object does not exist.
type Version uint64

// Object is a stored value with its key and version.
type Object struct {
	Key     string
	Version Version
	Value   []byte
}

var (
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable: the object API gave no valid answer. A write may or may not
	// have taken effect.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrTooLarge: the value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
)

// ConflictError reports a conditional update whose expected version was not
// the current one. The update did not take effect.
type ConflictError struct {
	Key      string
	Expected Version
	Current  Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s: expected version %d, current version is %d", e.Key, e.Expected, e.Current)
}

// HostState is the state of a host as the platform reports it. It may be out of
// date.
type HostState string

const (
	// HostLive: the platform expects the host to work.
	HostLive HostState = "live"
	// HostLeaving: the platform is about to remove the host.
	HostLeaving HostState = "leaving"
)

// Host is one entry of the host list. Addresses are "ip:port".
type Host struct {
	ID            model.HostID     `json:"id"`
	DataCentre    model.DataCentre `json:"dataCentre"`
	Region        model.Region     `json:"region"`
	CallerAddress string           `json:"callerAddress"`
	FleetAddress  string           `json:"fleetAddress"`
	PeerAddress   string           `json:"peerAddress"`
	AdminAddress  string           `json:"adminAddress"`
	State         HostState        `json:"state"`
}

// Store is the object API. All methods may return errors that wrap
// ErrUnavailable or the context's error.
type Store interface {
	// Get returns the object, or an error that wraps ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put updates the object if its current version equals expected; zero creates
	// the object. It returns the new version, or a *ConflictError.
	Put(ctx context.Context, key string, value []byte, expected Version) (Version, error)
	// Delete removes the object if its current version equals expected. Otherwise
	// it returns a *ConflictError, or an error that wraps ErrNotFound.
	Delete(ctx context.Context, key string, expected Version) error
	// List returns the keys that start with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
	// Watch waits until the version of key exceeds after and returns the
	// object. It returns an error that wraps ErrNotFound if the object does not
	// exist when the wait ends. After the platform's time limit it returns an
	// object with the version after and a nil value, so that the value is not
	// sent again for an unchanged object.
	Watch(ctx context.Context, key string, after Version) (Object, error)
	// Hosts returns the host list.
	Hosts(ctx context.Context) ([]Host, error)
}
