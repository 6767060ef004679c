package model

import (
	"math"
	"strconv"
	"strings"
)

// RateLimit is the rate that a backend server asks for in an answer, in requests per
// second from the whole fleet. The zero value means no limit.
type RateLimit struct {
	InForce   bool
	PerSecond float64
}

// ParseRateLimit parses the text of a limit, a decimal number of requests per second.
// Text that is no such number means no limit.
func ParseRateLimit(text string) RateLimit {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(rate >= 0) || math.IsInf(rate, 0) { // rate may be NaN
		return RateLimit{}
	}
	return RateLimit{InForce: true, PerSecond: rate}
}
