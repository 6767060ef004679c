package adminapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Paths of the admin endpoint. Both answer GET.
const (
	StatusPath = "/v1/status"
	PoolsPath  = "/v1/pools"
)

// MaxResponseBytes bounds a response body. Readers treat a longer one as a failure.
const MaxResponseBytes = 8 << 20

// Status is the answer of StatusPath.
type Status struct {
	Host        model.HostID      `json:"host"`
	DataCentre  model.DataCentre  `json:"dataCentre"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Epoch is the configuration in force; zero: none.
	Epoch model.Epoch `json:"epoch"`
	// Confirmed says whether the epoch came from the object API, directly or
	// through a relay, rather than from peers during an outage.
	Confirmed bool `json:"confirmed"`
	// Leaving says whether the daemon is shutting down.
	Leaving   bool      `json:"leaving"`
	StartedAt time.Time `json:"startedAt"`
}

// ServerState is a backend server's state as its pool's owner sees it.
type ServerState string

const (
	// ServerServing receives requests.
	ServerServing ServerState = "serving"
	// ServerSuspect is under suspicion and stays in service, because the
	// evidence is not sufficient or because of the floor.
	ServerSuspect ServerState = "suspect"
	// ServerEjected was ejected by the detector.
	ServerEjected ServerState = "ejected"
	// ServerEjectedByOperator was ejected by an operator.
	ServerEjectedByOperator ServerState = "ejected-by-operator"
	// ServerLeaving is draining or removed from the configuration.
	ServerLeaving ServerState = "leaving"
)

// Server is one backend server of a pool.
type Server struct {
	ID    model.ServerID `json:"id"`
	State ServerState    `json:"state"`
	// Evidence is what the state is based on, for people to read.
	Evidence string `json:"evidence,omitempty"`
	// Since is when the state was entered, by the host's clock.
	Since time.Time `json:"since"`
	Slots int       `json:"slots"`
	// BusySlots includes slots of abandoned requests whose cancellation the
	// server has not confirmed.
	BusySlots int `json:"busySlots"`
}

// Pool is one pool that the host owns.
type Pool struct {
	Service    model.ServiceName `json:"service"`
	DataCentre model.DataCentre  `json:"dataCentre"`
	Shard      int               `json:"shard"`
	// QueueDelayUs is the delay of a new request in the queue, microseconds.
	QueueDelayUs int64 `json:"queueDelayUs"`
	// Queued is the number of waiting requests.
	Queued    int      `json:"queued"`
	FreeSlots int      `json:"freeSlots"`
	Servers   []Server `json:"servers"`
}

// Pools is the answer of PoolsPath.
type Pools struct {
	Host  model.HostID `json:"host"`
	Pools []Pool       `json:"pools"`
}

// Source provides the answers. Its methods are called concurrently.
type Source interface {
	Status(ctx context.Context) Status
	Pools(ctx context.Context) Pools
}

// Handler serves both paths from the source.
func Handler(s Source) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+StatusPath, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, s.Status(r.Context()))
	})
	mux.HandleFunc("GET "+PoolsPath, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, s.Pools(r.Context()))
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the reader went away.
	_, _ = w.Write(body)
}
