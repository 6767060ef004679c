package objectapi

import (
	"fmt"
	"time"
)

// UnavailableError reports a call that got no definite answer. It wraps
// ErrUnavailable and the cause, which may be the context's error. A write may
// or may not have taken effect, and may still take effect later.
type UnavailableError struct {
	Method string // HTTP method
	Target string // key, prefix or path
	Err    error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s %s: %v: %v", e.Method, e.Target, ErrUnavailable, e.Err)
}

// Unwrap returns ErrUnavailable and the cause.
func (e *UnavailableError) Unwrap() []error { return []error{ErrUnavailable, e.Err} }

// NotSentError reports a call whose context had ended before anything was
// sent. A write certainly did not take effect.
type NotSentError struct {
	Method string
	Target string
	Err    error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("%s %s: not sent: %v", e.Method, e.Target, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// RateLimitedError reports a call that the platform refused because of its
// rate limit. A write certainly did not take effect.
type RateLimitedError struct {
	Method string
	Target string
	// RetryAfter is the platform's hint; zero if it gave none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("%s %s: rate limit of the object API; retry after %s", e.Method, e.Target, e.RetryAfter)
}

// ResponseError reports an answer that the protocol does not allow. For a
// write it is wrapped in *UnavailableError unless the status is 4xx.
type ResponseError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("unexpected response, status %d: %s", e.Status, e.Detail)
}

// KeyError reports a key that the object API does not accept.
type KeyError struct {
	Key string
}

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("malformed object key %q", e.Key) }

// notFoundError names the missing key.
type notFoundError struct{ key string }

func (e *notFoundError) Error() string { return fmt.Sprintf("%s: %v", e.key, ErrNotFound) }
func (e *notFoundError) Unwrap() error { return ErrNotFound }

// tooLargeError names the key and size of a value over the limit.
type tooLargeError struct {
	key   string
	bytes int
}

func (e *tooLargeError) Error() string {
	return fmt.Sprintf("%s: %v: %d bytes, limit %d", e.key, ErrTooLarge, e.bytes, MaxValueBytes)
}
func (e *tooLargeError) Unwrap() error { return ErrTooLarge }

// OptionsError reports an unusable client option.
type OptionsError struct {
	Option string
	Err    error
}

// Error implements error.
func (e *OptionsError) Error() string { return fmt.Sprintf("option %s: %v", e.Option, e.Err) }

// Unwrap returns the cause.
func (e *OptionsError) Unwrap() error { return e.Err }
