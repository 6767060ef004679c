package kernel

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"
)

// Task is a long-running job with a goroutine of its own. Run returns nil or
// context.Canceled when ctx ends; any other error stops all tasks of the group.
type Task struct {
	Name string
	Run  func(ctx context.Context) error
}

// TaskError names the task that failed.
type TaskError struct {
	Task string
	Err  error
}

// Error implements error.
func (e *TaskError) Error() string { return fmt.Sprintf("task %s: %v", e.Task, e.Err) }

// Unwrap returns the cause.
func (e *TaskError) Unwrap() error { return e.Err }

// RunTasks runs all tasks until ctx ends or one fails, waits for all of them
// and returns the first failure as *TaskError. Cancellation is not a failure.
func RunTasks(ctx context.Context, tasks ...Task) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, t := range tasks {
		g.Go(func() error {
			err := t.Run(ctx)
			if err == nil || errors.Is(err, context.Canceled) {
				return nil
			}
			return &TaskError{Task: t.Name, Err: err}
		})
	}
	return g.Wait()
}
