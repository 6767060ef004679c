package stricthttp

import (
	"bytes"
	"sync"
)

// headScanner looks for lines that begin with a blank in the head of a response, as they
// are not seen after parsing. The heads of interim responses before it are part of it. It is
// safe for concurrent use.
type headScanner struct {
	mu sync.Mutex
	// done is set after the head of the final response.
	done bool
	fold bool
	// line has the first bytes of the present line, and length counts all of them.
	line   [statusBytes]byte
	length int
	// interim is set within the head of an interim response, and fields after its first line.
	interim, fields bool
}

// statusBytes is the size of "HTTP/1.1 1", which begins an interim response.
const statusBytes = len("HTTP/1.1 1")

// reset prepares for the next response.
func (s *headScanner) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done, s.fold, s.length, s.interim, s.fields = false, false, 0, false, false
}

// folded reports whether a line began with a blank.
func (s *headScanner) folded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold
}

// scan takes the next bytes of the connection.
func (s *headScanner) scan(p []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(p) > 0 && !s.done {
		part, rest, ended := bytes.Cut(p, []byte{'\n'})
		if s.length < len(s.line) {
			copy(s.line[s.length:], part)
		}
		s.length += len(part)
		p = rest
		if ended {
			s.endLine()
		}
	}
}

func (s *headScanner) endLine() {
	start := s.line[:min(s.length, len(s.line))]
	s.length = 0
	switch {
	case len(bytes.TrimRight(start, "\r")) == 0 && s.fields:
		s.done, s.fields = !s.interim, false
	case s.fields:
		s.fold = s.fold || start[0] == ' ' || start[0] == '\t'
	default:
		s.interim = len(start) == statusBytes && start[statusBytes-1] == '1'
		s.fields = true
	}
}
