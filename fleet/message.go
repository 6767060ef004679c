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

// Header names between our processes and towards callers and backend servers.
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

// Request is a caller's request on its way to a pool owner.
type Request struct {
	ID        model.RequestID
	Pool      model.PoolID
	Route     model.RouteName
	Workspace model.WorkspaceID
	// Repeatable requests are idempotent. Others carry Key.
	Repeatable bool
	Key        string
	// KeyUse is idempotency.Key.Use. An entry starts with zero and learns the
	// current use from the owner's refusal.
	KeyUse uint32
	// Budget is the time left for the owner's part.
	Budget time.Duration
	// Epoch is the sender's configuration.
	Epoch model.Epoch

	// Method, Target (path and query), Authority (host), Header and Body are
	// the caller's. Header holds end-to-end headers only.
	Method    string
	Target    string
	Authority string
	Header    http.Header
	Body      []byte
}

// Response is the owner's answer.
type Response struct {
	Outcome model.Outcome
	Reason  model.Reason
	// RetryAfter is a hint with NotRun; zero: none.
	RetryAfter time.Duration
	// Status, Header and Body are the backend server's if Outcome is Answered.
	Status int
	Header http.Header
	Body   []byte
	// Load is the pool's load report.
	Load Load
	// KeyUse is set with NotRun if the request must be made again with this use
	// of its key. Only an entry that still waits for the request does so.
	KeyUse uint32
}

// Load is the load report that rides on every answer.
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

// KeysResponse holds issued keys. Reason is set if none were issued.
type KeysResponse struct {
	Keys        []string     `json:"keys"`
	ExpiresInMs int64        `json:"expiresInMs"`
	Reason      model.Reason `json:"reason,omitempty"`
}

// NotRun returns the answer to a request that certainly was not run.
func NotRun(reason model.Reason, retryAfter time.Duration) Response {
	return Response{Outcome: model.NotRun, Reason: reason, RetryAfter: retryAfter}
}

// Unknown returns the answer to a request that may have run.
func Unknown(reason model.Reason) Response {
	return Response{Outcome: model.Unknown, Reason: reason}
}

// Demand tells the owner of another pool of the same service how many requests
// under a rate limit this pool had in the last interval. The owners split the
// fleet-wide rates in proportion.
type Demand struct {
	Service    model.ServiceName `json:"service"`
	DataCentre model.DataCentre  `json:"dataCentre"`
	Shard      int               `json:"shard"`
	Requests   float64           `json:"requests"`
}

// PoolHealth passes a leaving owner's verdicts to the pool's next owner.
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
