package model

import (
	"fmt"
	"strconv"
)

// HostID identifies a host of the fleet. It is unique among live hosts and is set
// in the daemon's settings.
type HostID string

// ServerID identifies a backend server. It is unique within the fleet.
type ServerID string

// ServiceName names a service, which operators create in the configuration.
type ServiceName string

// DataCentre names a data centre (zone), such as "lagos-1".
type DataCentre string

// Region names a region, such as "lagos".
type Region string

// WorkspaceID identifies a workspace, the group of callers that is the unit of
// fairness.
type WorkspaceID string

// RouteName names a route.
type RouteName string

// RequestID identifies one request of a caller. It is unique and cannot be guessed.
type RequestID string

// AttemptID identifies one dispatch of a request to a backend server. It is unique
// within one pool of one process incarnation.
type AttemptID uint64

// Incarnation identifies one run of a process: a daemon that restarts on the same
// host has a new one. It is random, so that no two runs share it.
type Incarnation string

// Epoch is the version of the whole configuration. It starts at 1; zero means that
// no configuration is known.
type Epoch uint64

// PoolID names a pool: the backend servers of one service in one data centre,
// or one shard of them.
type PoolID struct {
	Service    ServiceName
	DataCentre DataCentre
	Shard      int
}

// String returns the pool's ranking key, "service/data-centre/shard".
func (p PoolID) String() string {
	return string(p.Service) + "/" + string(p.DataCentre) + "/" + strconv.Itoa(p.Shard)
}

// String returns the epoch in decimal.
func (e Epoch) String() string { return strconv.FormatUint(uint64(e), 10) }

// String returns the attempt ID in decimal.
func (a AttemptID) String() string { return strconv.FormatUint(uint64(a), 10) }

var _ fmt.Stringer = PoolID{}
