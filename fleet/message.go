package fleet

import (
	"net/http"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

// Paths on the fleet listener.
const (
	PathForward = "/fleet/v1/forward"
	PathKeys    = "/fleet/v1/keys"
	PathPing    = "/fleet/v1/ping"
	PathDemand  = "/fleet/v1/demand"
	PathHealth  = "/fleet/v1/health"
)

// Names of the headers between the processes of this project and towards callers
// and backend servers.
const (
	HeaderRequestID  = "Agateusher-Request-Id"
	HeaderService    = "Agateusher-Service"
	HeaderRoute      = "Agateusher-Route"
	HeaderWorkspace  = "Agateusher-Workspace"
	HeaderBudget     = "Agateusher-Budget-Us"
	HeaderEpoch      = "Agateusher-Epoch"
	HeaderOutcome    = "Agateusher-Outcome"
	HeaderReason     = "Agateusher-Reason"
	HeaderQueueDelay = "Agateusher-Queue-Delay-Us"
	HeaderFreeSlots  = "Agateusher-Free-Slots"
	HeaderKey        = "Idempotency-Key"
	HeaderRetryAfter = "Retry-After"

	headerDataCentre = "Agateusher-Data-Centre"
	headerShard      = "Agateusher-Shard"
	headerRepeatable = "Agateusher-Repeatable"
	headerMethod     = "Agateusher-Method"
	headerTarget     = "Agateusher-Target"
	headerAuthority  = "Agateusher-Authority"
	headerStatus     = "Agateusher-Status"
	headerRetryMs    = "Agateusher-Retry-After-Ms"
	headerMAC        = "Agateusher-Fleet-Mac"
	headerKeyUse     = "Agateusher-Key-Use"
)

// Request is a caller's request as forwarded to a pool's owner.
type Request struct {
	ID        model.RequestID
	Pool      model.PoolID
	Route     model.RouteName
	Workspace model.WorkspaceID
	// Repeatable marks an idempotent request. Others carry Key.
	Repeatable bool
	Key        string
	// KeyUse is idempotency.Key.Use. An entry first sends zero; if that is not
	// current, the owner refuses the request and returns the current use.
	KeyUse uint32
	// Budget is the time that the owner has left to answer.
	Budget time.Duration
	// Epoch is the epoch of the sender's configuration.
	Epoch model.Epoch

	// Method, Target (path and query), Authority (host), Header and Body are
	// the caller's. Header holds end-to-end headers only.
	Method    string
	Target    string
	Authority string
	Header    http.Header
	Body      []byte
}

// Response is the owner's response to a forwarded request.
type Response struct {
	Outcome model.Outcome
	Reason  model.Reason
	// RetryAfter is a hint for the caller if Outcome is NotRun; zero means none.
	RetryAfter time.Duration
	// Status, Header and Body are the backend server's if Outcome is Answered.
	Status int
	Header http.Header
	Body   []byte
	// Load is the pool's load report.
	Load Load
	// KeyUse is set if Outcome is NotRun and the request must be repeated with
	// this use of its key. The entry repeats it only while its caller still waits.
	KeyUse uint32
}

// Load is the load report sent with every response.
type Load struct {
	QueueDelay time.Duration
	FreeSlots  int
}

// KeysRequest asks for idempotency keys.
type KeysRequest struct {
	Workspace model.WorkspaceID `json:"workspace"`
	Route     model.RouteName   `json:"route"`
	Count     int               `json:"count"`
}

// KeysResponse contains issued keys. Reason is set if none were issued.
type KeysResponse struct {
	Keys        []string     `json:"keys"`
	ExpiresInMs int64        `json:"expiresInMs"`
	Reason      model.Reason `json:"reason,omitempty"`
}

// NotRun returns the response to a request that certainly has not run.
func NotRun(reason model.Reason, retryAfter time.Duration) Response {
	return Response{Outcome: model.NotRun, Reason: reason, RetryAfter: retryAfter}
}

// Unknown returns the response to a request that may have run.
func Unknown(reason model.Reason) Response {
	return Response{Outcome: model.Unknown, Reason: reason}
}

// Demand reports to the owner of another pool of the same service how many
// requests under a rate limit this pool had in the last interval. The owners
// divide the fleet-wide rates in proportion to demand.
type Demand struct {
	Service    model.ServiceName `json:"service"`
	DataCentre model.DataCentre  `json:"dataCentre"`
	Shard      int               `json:"shard"`
	Requests   float64           `json:"requests"`
}

// PoolHealth transfers a leaving owner's ejections of servers to the pool's next
// owner.
type PoolHealth struct {
	Service    model.ServiceName `json:"service"`
	DataCentre model.DataCentre  `json:"dataCentre"`
	Shard      int               `json:"shard"`
	Servers    []pool.Ejection   `json:"servers"`
}

// Pool returns the pool's ID.
func (h PoolHealth) Pool() model.PoolID {
	return model.PoolID{Service: h.Service, DataCentre: h.DataCentre, Shard: h.Shard}
}
