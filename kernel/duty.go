package kernel

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"
)

// Duty is a long-running job with a goroutine of its own. Run returns nil when
// ctx ends; any other return stops the whole group.
type Duty struct {
	Name string
	Run  func(ctx context.Context) error
}

// DutyError says which duty failed.
type DutyError struct {
	Duty string
	Err  error
}

// Error implements error.
func (e *DutyError) Error() string { return fmt.Sprintf("duty %s: %v", e.Duty, e.Err) }

// Unwrap returns the cause.
func (e *DutyError) Unwrap() error { return e.Err }

// RunDuties runs all duties until ctx ends or one fails, waits for all of them
// and returns the first failure as *DutyError. Cancellation is not a failure.
func RunDuties(ctx context.Context, duties ...Duty) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, d := range duties {
		g.Go(func() error {
			err := d.Run(ctx)
			if err == nil || errors.Is(err, context.Canceled) {
				return nil
			}
			return &DutyError{Duty: d.Name, Err: err}
		})
	}
	return g.Wait()
}
