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

// MaxFileBytes is the maximum size of an applied file.
const MaxFileBytes = 8 << 20

// File is an applied file. It is JSON with comments and holds the objects to create
// or replace, under the keys of snapshot.Objects, and the objects to delete.
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

// ParseFile parses an applied file; name identifies the file in messages. Every
// error is a *settings.Error, which reports all violations with their lines.
func ParseFile(name string, data []byte) (File, error) {
	var f File
	if err := settings.Parse(name, data, &f); err != nil {
		return File{}, err
	}
	if problems := checkNames(name, data, f); len(problems) > 0 {
		return File{}, &settings.Error{Problems: problems}
	}
	f.Objects = withNonNilColumns(f.Objects)
	return f, nil
}

// withNonNilColumns replaces nil columns of report layouts by an empty list,
// because nil would be encoded as null, which the file format rejects.
func withNonNilColumns(o snapshot.Objects) snapshot.Objects {
	o.ReportLayouts = slices.Clone(o.ReportLayouts)
	for i := range o.ReportLayouts {
		if o.ReportLayouts[i].Columns == nil {
			o.ReportLayouts[i].Columns = []snapshot.ReportColumn{}
		}
	}
	return o
}

// fileObject is the reference of an object in the file, with its position.
type fileObject struct {
	ref snapshot.Ref
	// list and index are the object's position, nameKey is the key of its name.
	list    string
	index   int
	nameKey string
}

// fileObjects returns all objects of the file, including those to delete.
func fileObjects(f File) []fileObject {
	var all []fileObject
	add := func(list string, index int, nameKey string, kind snapshot.Kind, name string) {
		all = append(all, fileObject{snapshot.Ref{Kind: kind, Name: name}, list, index, nameKey})
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

// checkNames reports objects without a name and objects that the file names twice,
// of which one would be dropped silently. It also reports a file without objects.
func checkNames(file string, data []byte, f File) []settings.Problem {
	// This cannot fail, because the file was parsed before.
	root, _ := hujson.Parse(data)
	var problems []settings.Problem
	seen := map[snapshot.Ref]bool{}
	report := func(o fileObject, value, expected string) {
		problems = append(problems, settings.Problem{
			File: file, Line: lineOf(&root, data, o), Key: fmt.Sprintf("%s[%d].%s", o.list, o.index, o.nameKey),
			Value: value, Expected: expected,
		})
	}
	for _, o := range fileObjects(f) {
		switch {
		case o.ref.Name == "":
			report(o, "", "a value")
		case seen[o.ref]:
			report(o, fmt.Sprintf("%q", o.ref.Name), "each object once")
		}
		seen[o.ref] = true
	}
	if len(seen) == 0 {
		problems = append(problems, settings.Problem{File: file, Line: 1, Key: "(file)", Expected: "at least one object to create, replace or delete"})
	}
	return problems
}

// lineOf returns the line of an object, counted from 1.
func lineOf(root *hujson.Value, data []byte, o fileObject) int {
	v := root.Find(fmt.Sprintf("/%s/%d", o.list, o.index))
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
