// Package telemetry sets up logging (logrus), metrics (tally) and tracing
// (OpenTelemetry) for all programs.
package telemetry

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// Logger is the logger type used in all packages.
type Logger = logrus.FieldLogger

// Fields are the key=value pairs of one log line.
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

// NewLogger returns a logger that writes one line of key=value pairs per event.
// The level is a logrus level, such as error, warn, info or debug, and can be
// changed with SetLevel. The error is *LogLevelError.
func NewLogger(w io.Writer, level string) (*logrus.Logger, error) {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	if err := SetLevel(l, level); err != nil {
		return nil, err
	}
	return l, nil
}

// SetLevel changes the level of a logger, also while it is in use. The error is
// *LogLevelError.
func SetLevel(l *logrus.Logger, level string) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return &LogLevelError{Level: level, Err: err}
	}
	l.SetLevel(parsed)
	return nil
}
