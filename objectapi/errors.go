package objectapi

import (
	"fmt"
	"time"
)

// UnavailableError reports a call whose outcome is unknown. It wraps
// ErrUnavailable and the cause, which may be the context's error. A write may
// have taken effect, or may still take effect later.
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

// NotSentError reports a call that failed before anything was sent, for example
// because its context had ended. A write did not take effect.
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

// RateLimitedError reports a call that the platform rejected because of its rate
// limit. A write did not take effect.
type RateLimitedError struct {
	Method string
	Target string
	// RetryAfter is the delay that the platform asks for; zero if it sent none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("%s %s: rate limit of the object API; retry after %s", e.Method, e.Target, e.RetryAfter)
}

// ResponseError reports a response that the protocol does not allow. It is wrapped
// in *UnavailableError if the status is 5xx or if the ETag or the body is invalid.
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

// notFoundError reports that the object with the key does not exist.
type notFoundError struct{ key string }

func (e *notFoundError) Error() string { return fmt.Sprintf("%s: %v", e.key, ErrNotFound) }
func (e *notFoundError) Unwrap() error { return ErrNotFound }

// tooLargeError reports a value larger than MaxValueBytes.
type tooLargeError struct {
	key   string
	bytes int
}

func (e *tooLargeError) Error() string {
	return fmt.Sprintf("%s: %v: %d bytes, limit %d", e.key, ErrTooLarge, e.bytes, MaxValueBytes)
}
func (e *tooLargeError) Unwrap() error { return ErrTooLarge }

// OptionsError reports an invalid client option.
type OptionsError struct {
	Option string
	Err    error
}

// Error implements error.
func (e *OptionsError) Error() string { return fmt.Sprintf("option %s: %v", e.Option, e.Err) }

// Unwrap returns the cause.
func (e *OptionsError) Unwrap() error { return e.Err }
