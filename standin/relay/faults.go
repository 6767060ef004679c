package relay

import "time"

// Direction is a side of a connection.
type Direction uint8

const (
	// ToServer carries requests.
	ToServer Direction = iota
	// ToClient carries responses.
	ToClient
	directions
)

// Point says where a connection is cut.
type Point uint8

const (
	// BeforeRequest passes on no byte of the request.
	BeforeRequest Point = iota
	// BeforeRequestBody passes on the request's headers only.
	BeforeRequestBody
	// WithinRequestBody passes on the headers and half of the body.
	WithinRequestBody
	// AfterRequest passes on the whole request and no response.
	AfterRequest
	// BeforeResponse waits for the response and passes on nothing of it.
	BeforeResponse
	// BeforeResponseBody passes on the response's headers only.
	BeforeResponseBody
	// WithinResponseBody passes on the headers and half of the body.
	WithinResponseBody
	// AfterResponse passes on the whole response.
	AfterResponse
	// Points is the number of points.
	Points
)

// direction in which the message of the point travels.
func (p Point) direction() Direction {
	if p < BeforeResponse {
		return ToServer
	}
	return ToClient
}

// Faults describes what a relay does to its connections. The zero value is a
// relay without faults.
type Faults struct {
	// CutRate is the probability, from 0 to 1, that an exchange is cut, at one
	// of CutAt (empty: at any point).
	CutRate float64
	CutAt   []Point
	// Reset makes a cut a TCP reset instead of an orderly close.
	Reset bool
	// Delay holds each read back.
	Delay time.Duration
	// Silent holds everything in a direction back while it is set, as a network
	// partition does: nothing is lost, and it arrives when the partition ends,
	// even if the sender has closed the connection by then.
	Silent [directions]bool
	// Refuse closes the listener, so that new connections are refused. Existing
	// ones go on.
	Refuse bool
}
