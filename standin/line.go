// Package standin holds what the programs that start stand-ins share: the lines
// by which usher-standin announces its addresses, and free loopback addresses.
package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/agateusher/agateusher/core/model"
)

// LineKind is what a Line announces.
type LineKind string

// Kinds of lines.
const (
	LineBackend  LineKind = "backend"
	LinePlatform LineKind = "platform"
	// LineAdmin announces the administration address of all backend servers.
	LineAdmin LineKind = "admin"
	// LineReady is the last line. All listeners are open when it is written.
	LineReady LineKind = "ready"
)

// Line is one JSON line on the standard output of usher-standin.
type Line struct {
	Kind       LineKind          `json:"kind"`
	ID         model.ServerID    `json:"id,omitempty"`
	Service    model.ServiceName `json:"service,omitempty"`
	DataCentre model.DataCentre  `json:"dataCentre,omitempty"`
	// Address is "ip:port".
	Address string `json:"address,omitempty"`
}

// LineError reports output of a stand-in that holds a malformed line, or that
// ends without a line of kind "ready".
type LineError struct {
	Line string
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("stand-in output %q: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// ReadLines reads lines up to the one of kind "ready", which is not returned.
// Errors are *LineError; the cause is io.ErrUnexpectedEOF if the output ends
// before the stand-in is ready.
func ReadLines(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var l Line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return lines, &LineError{Line: scanner.Text(), Err: err}
		}
		if l.Kind == LineReady {
			return lines, nil
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return lines, &LineError{Err: err}
	}
	return lines, &LineError{Err: io.ErrUnexpectedEOF}
}
