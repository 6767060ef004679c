package cli

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/settings"
)

// Guards against invalid files that are accepted, and violations that are reported
// with the wrong line.
func TestParseFileReportsLines(t *testing.T) {
	for text, want := range map[string]string{
		"{}":                      "f:1: (file): got nothing, expected at least one object to create, replace or delete",
		"{\n\"servers\": [\n{}]}": "f:3: servers[0].id: got nothing, expected a value",
		"{\n\"server\": []}":      `f:2: server: got "server", expected a known key, one of delete, reportLayouts, routes, servers, services, workspaces`,
		"{\"delete\": [\n{\"kind\": \"Sever\", \"name\": \"a\"}]}":                                       `f:2: delete[0].kind: got "Sever", expected one of Service, Server, Route, Workspace, ReportLayout`,
		"{\"workspaces\": [{\"id\": \"a\"}],\n\"delete\": [{\"kind\": \"Workspace\", \"name\": \"a\"}]}": `f:2: delete[0].name: got "a", expected each object once`,
	} {
		g := NewWithT(t)
		_, err := ParseFile("f", []byte(text))
		g.Expect(err).To(MatchError(want))
	}
}

// Guards against panics, untyped errors, violations reported with a line outside the
// file, and accepted files that change when they are written and parsed again.
func FuzzParseFile(f *testing.F) {
	f.Add(changeText)
	f.Add(`{"delete": [{"kind": "Server", "name": "b1"}]}`)
	f.Add(`{"routes": [{"name": "r", "methods": ["GET"], "ratePerSecond": 1.5}], /* x */ "workspaces": [null]}`)
	f.Add("{\"reportLayouts\": [{\"name\": \"l\", \"columns\": [{\"heading\": \"\\u00e9\"}],},\n{\"name\": \"l\"}]}")
	f.Fuzz(func(t *testing.T, text string) {
		file, err := ParseFile("f", []byte(text))
		if err != nil {
			checkProblems(t, text, err)
			return
		}
		first, err := json.Marshal(file)
		if err != nil {
			t.Fatalf("accepted file cannot be written: %v", err)
		}
		again, err := ParseFile("f", first)
		if err != nil {
			t.Fatalf("written file is refused: %v\n%s", err, first)
		}
		if second, _ := json.Marshal(again); string(second) != string(first) {
			t.Fatalf("written file reads differently:\n%s\n%s", first, second)
		}
	})
}

func checkProblems(t *testing.T, text string, err error) {
	var problems *settings.Error
	if !errors.As(err, &problems) || len(problems.Problems) == 0 {
		t.Fatalf("untyped error %v", err)
	}
	for _, p := range problems.Problems {
		if p.Line < 1 || p.Line > 1+strings.Count(text, "\n") {
			t.Fatalf("violation outside the file: %v", p)
		}
	}
}
