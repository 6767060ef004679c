package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

type sample struct {
	Name    string            `json:"name" validate:"required"`
	Port    int               `json:"port" validate:"min=1,max=65535"`
	Timeout Duration          `json:"timeout"`
	Level   string            `json:"level" validate:"oneof=info debug"`
	Labels  map[string]string `json:"labels"`
	Peers   []samplePeer      `json:"peers" validate:"dive"`
	Secrets []string          `json:"secrets" validate:"dive,min=8" sensitive:"true"`
}

type samplePeer struct {
	Address string `json:"address" validate:"hostname_port"`
}

func parse(text string) (sample, error) {
	s := sample{Port: 80, Timeout: Duration(time.Second), Level: "info"}
	err := Parse("test.jsonc", []byte(text), &s)
	return s, err
}

func TestParseFillsDefaultsAndAllowsComments(t *testing.T) {
	g := NewWithT(t)
	s, err := parse("{\n// a comment\n\"name\": \"a\", \"timeout\": \"250ms\",\n}")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Port).To(Equal(80))
	g.Expect(s.Timeout.Std()).To(Equal(250 * time.Millisecond))
}

// Guards against a loader that stops at the first mistake or reports a wrong
// line.
func TestParseReportsEveryMistakeWithItsLine(t *testing.T) {
	g := NewWithT(t)
	_, err := parse(`{
  "port": 70000,
  "timeout": 5,
  "lvel": "info",
  "level": "loud",
  "peers": [
    {"address": "nowhere"},
    {"address": 7}
  ]
}`)
	var problems *Error
	g.Expect(errors.As(err, &problems)).To(BeTrue())
	var got []string
	for _, p := range problems.Problems {
		got = append(got, p.String())
	}
	g.Expect(got).To(Equal([]string{
		`test.jsonc:1: name: got nothing, expected a value`,
		`test.jsonc:2: port: got 70000, expected at most 65535`,
		`test.jsonc:3: timeout: got 5, expected a duration with a unit, such as "250ms"`,
		`test.jsonc:4: lvel: got "lvel", expected a known key, one of labels, level, name, peers, port, secrets, timeout`,
		`test.jsonc:5: level: got "loud", expected one of info, debug`,
		`test.jsonc:7: peers[0].address: got "nowhere", expected an IP address and port, such as 127.0.0.1:8080`,
		`test.jsonc:8: peers[1].address: got 7, expected a string`,
	}))
}

// Guards against secrets in error messages, which are written to logs.
func TestSensitiveValuesAreNotShown(t *testing.T) {
	g := NewWithT(t)
	_, err := parse(`{"name": "a", "secrets": ["hunter2", 12345]}`)
	g.Expect(err).To(MatchError(ContainSubstring("secrets[0]: got a value that is not shown, expected at least 8")))
	g.Expect(err.Error()).NotTo(ContainSubstring("hunter2"))
	g.Expect(err.Error()).NotTo(ContainSubstring("12345"))
}

func TestParseReportsSyntaxErrorLine(t *testing.T) {
	g := NewWithT(t)
	_, err := parse("{\n\"name\": \"a\"\n\"port\": 1}")
	g.Expect(err).To(MatchError(ContainSubstring("test.jsonc:3:")))
}

// Guards against panics on arbitrary input and against problems whose line is
// outside the file.
func FuzzParse(f *testing.F) {
	f.Add(`{"name": "a"}`)
	f.Add(`{"peers": [{}, null, 3], "labels": {"a": 1}}`)
	f.Add("{\"name\":\n/*x*/ {}, }")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := parse(text)
		var problems *Error
		if err != nil && !errors.As(err, &problems) {
			t.Fatalf("untyped error %v", err)
		}
		if problems == nil {
			return
		}
		for _, p := range problems.Problems {
			if p.Line < 1 || p.Line > 1+strings.Count(text, "\n") {
				t.Fatalf("problem outside the file: %v", p)
			}
		}
	})
}
