// Package telemetry sets up logs (logrus), metrics (tally) and traces
// (OpenTelemetry) for every program.
package telemetry

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// Logger is the logger that all packages take.
type Logger = logrus.FieldLogger

// Fields are the key=value pairs of one event.
type Fields = logrus.Fields

// LogLevelError reports an unknown log level.
type LogLevelError struct {
	Level string
	Err   error
}

// Error implements error.
func (e *LogLevelError) Error() string { return fmt.Sprintf("log level %q: %v", e.Level, e.Err) }

// Unwrap returns the cause.
func (e *LogLevelError) Unwrap() error { return e.Err }

// NewLogger returns a logger that writes one key=value line per event. The
// level is one of error, warn, info, debug and can be changed with SetLevel.
func NewLogger(w io.Writer, level string) (*logrus.Logger, error) {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	if err := SetLevel(l, level); err != nil {
		return nil, err
	}
	return l, nil
}

// SetLevel changes the level of a running logger.
func SetLevel(l *logrus.Logger, level string) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return &LogLevelError{Level: level, Err: err}
	}
	l.SetLevel(parsed)
	return nil
}
