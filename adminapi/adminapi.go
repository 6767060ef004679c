package adminapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Paths of the admin endpoint, both for GET.
const (
	StatusPath = "/v1/status"
	PoolsPath  = "/v1/pools"
)

// MaxResponseBytes bounds a response body. Readers treat a longer one as a failure.
const MaxResponseBytes = 8 << 20

// Status is the response of StatusPath.
type Status struct {
	Host        model.HostID      `json:"host"`
	DataCentre  model.DataCentre  `json:"dataCentre"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Epoch is that of the configuration in force; zero if there is none.
	Epoch model.Epoch `json:"epoch"`
	// Confirmed is true if the epoch came from the object API, directly or through
	// a relay, and false if it came from peers during an outage.
	Confirmed bool `json:"confirmed"`
	// Leaving is true while the daemon is shutting down.
	Leaving   bool      `json:"leaving"`
	StartedAt time.Time `json:"startedAt"`
}

// ServerState is the state of a backend server according to the owner of its
// pool.
type ServerState string

const (
	// ServerServing means that the server receives requests.
	ServerServing ServerState = "serving"
	// ServerSuspect means that there is evidence of a failure, but the server
	// stays in service, because the evidence is not sufficient or because of the
	// floor.
	ServerSuspect ServerState = "suspect"
	// ServerEjected means that the detector has ejected the server.
	ServerEjected ServerState = "ejected"
	// ServerEjectedByOperator means that an operator has ejected the server.
	ServerEjectedByOperator ServerState = "ejected-by-operator"
	// ServerLeaving means that the server is draining or was removed from the
	// configuration.
	ServerLeaving ServerState = "leaving"
)

// Server is one backend server of a pool.
type Server struct {
	ID    model.ServerID `json:"id"`
	State ServerState    `json:"state"`
	// Evidence describes what the state is based on, in human-readable form.
	Evidence string `json:"evidence,omitempty"`
	// Since is when the server entered the state, by the host's clock.
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
	// QueueDelayUs is the queueing delay of a new request in microseconds.
	QueueDelayUs int64 `json:"queueDelayUs"`
	// Queued is the number of requests in the queue.
	Queued    int      `json:"queued"`
	FreeSlots int      `json:"freeSlots"`
	Servers   []Server `json:"servers"`
}

// Pools is the response of PoolsPath.
type Pools struct {
	Host  model.HostID `json:"host"`
	Pools []Pool       `json:"pools"`
}

// Source provides the content of the responses. Its methods are called
// concurrently.
type Source interface {
	Status(ctx context.Context) Status
	Pools(ctx context.Context) Pools
}

// Handler returns an HTTP handler that serves both paths from the source.
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
	// A write error means that the client has disconnected.
	_, _ = w.Write(body)
}
