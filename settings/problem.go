package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one mistake in a settings file.
type Problem struct {
	File     string
	Line     int // starts at 1
	Key      string
	Value    string // as written in the file; empty if the key is absent
	Expected string
}

// String returns "file:line: key: got value, expected ...".
func (p Problem) String() string {
	value := p.Value
	if value == "" {
		value = "nothing"
	}
	return fmt.Sprintf("%s:%d: %s: got %s, expected %s", p.File, p.Line, p.Key, value, p.Expected)
}

// Error holds all problems of a file, sorted by line.
type Error struct {
	Problems []Problem
}

// Error implements error. The message has one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func newError(problems []Problem) *Error {
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Line < problems[j].Line })
	return &Error{Problems: problems}
}
