package relay

import "time"

// Direction is a direction of a connection.
type Direction uint8

const (
	// ToServer carries requests.
	ToServer Direction = iota
	// ToClient carries responses.
	ToClient
	numDirections
)

// Point is the point of an exchange at which a connection is cut.
type Point uint8

const (
	// BeforeRequest forwards no byte of the request.
	BeforeRequest Point = iota
	// BeforeRequestBody forwards the request's headers only.
	BeforeRequestBody
	// WithinRequestBody forwards the request's headers and half of its body.
	WithinRequestBody
	// AfterRequest forwards the whole request and no response.
	AfterRequest
	// BeforeResponse waits for the response and forwards no byte of it.
	BeforeResponse
	// BeforeResponseBody forwards the response's headers only.
	BeforeResponseBody
	// WithinResponseBody forwards the response's headers and half of its body.
	WithinResponseBody
	// AfterResponse forwards the whole response.
	AfterResponse
	// Points is the number of points.
	Points
)

// direction returns the direction of the message that is cut at the point.
func (p Point) direction() Direction {
	if p < BeforeResponse {
		return ToServer
	}
	return ToClient
}

// Faults describes what a relay does to its connections. The zero value is a
// relay without faults.
type Faults struct {
	// CutRate is the probability, from 0 to 1, that an exchange is cut. The point
	// is drawn from CutAt, or from all points if CutAt is empty.
	CutRate float64
	CutAt   []Point
	// Reset makes a cut a TCP reset instead of an orderly close.
	Reset bool
	// Delay is the time between the read of a chunk and its forwarding.
	Delay time.Duration
	// Silent blocks a direction while it is set, as a network partition does.
	// Nothing is lost: the data is forwarded when the partition ends, even if the
	// sender has closed the connection by then.
	Silent [numDirections]bool
	// Refuse closes the listener, so that new connections are refused. Existing
	// connections stay open.
	Refuse bool
}
