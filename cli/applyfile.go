package cli

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/settings"
)

// MaxFileBytes bounds an applied file.
const MaxFileBytes = 8 << 20

// File is an applied file: JSON with comments that holds the objects to create
// or replace under the keys of snapshot.Objects, and those to delete.
type File struct {
	snapshot.Objects
	Delete []FileRef `json:"delete,omitempty" validate:"dive"`
}

// FileRef names an object to delete.
type FileRef struct {
	Kind snapshot.Kind `json:"kind" validate:"oneof=Service Server Route Workspace ReportLayout"`
	Name string        `json:"name" validate:"required"`
}

// Refs returns the objects to delete.
func (f File) Refs() []snapshot.Ref {
	var refs []snapshot.Ref
	for _, r := range f.Delete {
		refs = append(refs, snapshot.Ref{Kind: r.Kind, Name: r.Name})
	}
	return refs
}

// ParseFile reads an applied file; name stands for the file in messages. Every
// mistake is reported at once with its line. An error is always
// *settings.Error.
func ParseFile(name string, data []byte) (File, error) {
	var f File
	if err := settings.Parse(name, data, &f); err != nil {
		return File{}, err
	}
	if problems := checkNames(name, data, f); len(problems) > 0 {
		return File{}, &settings.Error{Problems: problems}
	}
	f.Objects = writable(f.Objects)
	return f, nil
}

// writable replaces absent columns by an empty list, because they would be
// written as null, which the file format refuses.
func writable(o snapshot.Objects) snapshot.Objects {
	o.ReportLayouts = slices.Clone(o.ReportLayouts)
	for i := range o.ReportLayouts {
		if o.ReportLayouts[i].Columns == nil {
			o.ReportLayouts[i].Columns = []snapshot.ReportColumn{}
		}
	}
	return o
}

// element is one object of the file at its place.
type element struct {
	ref snapshot.Ref
	// list and index are its place, nameKey the field that holds its name.
	list    string
	index   int
	nameKey string
}

func elements(f File) []element {
	var all []element
	add := func(list string, index int, nameKey string, kind snapshot.Kind, name string) {
		all = append(all, element{snapshot.Ref{Kind: kind, Name: name}, list, index, nameKey})
	}
	for i, s := range f.Services {
		add("services", i, "name", snapshot.KindService, string(s.Name))
	}
	for i, s := range f.Servers {
		add("servers", i, "id", snapshot.KindServer, string(s.ID))
	}
	for i, r := range f.Routes {
		add("routes", i, "name", snapshot.KindRoute, string(r.Name))
	}
	for i, w := range f.Workspaces {
		add("workspaces", i, "id", snapshot.KindWorkspace, string(w.ID))
	}
	for i, l := range f.ReportLayouts {
		add("reportLayouts", i, "name", snapshot.KindReportLayout, l.Name)
	}
	for i, r := range f.Delete {
		add("delete", i, "name", r.Kind, r.Name)
	}
	return all
}

// checkNames reports objects without a name and objects named twice, of which
// one would be lost without notice.
func checkNames(file string, data []byte, f File) []settings.Problem {
	// The file was parsed before, so that this cannot fail.
	root, _ := hujson.Parse(data)
	var problems []settings.Problem
	seen := map[snapshot.Ref]bool{}
	report := func(e element, value, expected string) {
		problems = append(problems, settings.Problem{
			File: file, Line: lineOf(&root, data, e), Key: fmt.Sprintf("%s[%d].%s", e.list, e.index, e.nameKey),
			Value: value, Expected: expected,
		})
	}
	for _, e := range elements(f) {
		switch {
		case e.ref.Name == "":
			report(e, "", "a value")
		case seen[e.ref]:
			report(e, fmt.Sprintf("%q", e.ref.Name), "each object once")
		}
		seen[e.ref] = true
	}
	if len(seen) == 0 {
		problems = append(problems, settings.Problem{File: file, Line: 1, Key: "(file)", Expected: "at least one object to create, replace or delete"})
	}
	return problems
}

func lineOf(root *hujson.Value, data []byte, e element) int {
	v := root.Find(fmt.Sprintf("/%s/%d", e.list, e.index))
	if v == nil {
		return 1
	}
	return 1 + strings.Count(string(data[:min(v.StartOffset, len(data))]), "\n")
}

// readFile reads the file at path; "-" stands for standard input. Errors are
// *FileError.
func readFile(path string, stdin io.Reader) ([]byte, error) {
	source := stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, &FileError{Path: path, Err: unwrapPath(err)}
		}
		defer file.Close()
		source = file
	}
	data, err := io.ReadAll(io.LimitReader(source, MaxFileBytes+1))
	if err != nil {
		return nil, &FileError{Path: path, Err: unwrapPath(err)}
	}
	if len(data) > MaxFileBytes {
		return nil, &FileError{Path: path, Err: errFileTooLarge}
	}
	return data, nil
}
