package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

// maxFileBytes limits the size of a settings file, so that a wrong path (such as
// a log file) gives an error instead of exhausting memory. Devices have size 0
// and pass this check.
const maxFileBytes = 4 << 20

// ReadError reports that a settings file could not be read.
type ReadError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("read settings %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// errTooLarge is wrapped by ReadError for a file over maxFileBytes.
var errTooLarge = errors.New("file is larger than 4 MiB")

// Load reads the file at path into dst, a pointer to a struct that holds the
// defaults. Errors are *ReadError or *Error.
func Load(path string, dst any) error {
	info, err := os.Stat(path)
	if err != nil {
		return &ReadError{Path: path, Err: err}
	}
	if info.Size() > maxFileBytes {
		return &ReadError{Path: path, Err: errTooLarge}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return &ReadError{Path: path, Err: err}
	}
	return Parse(path, data, dst)
}

// Parse decodes data over dst, a pointer to a struct that holds the defaults, and
// checks the result against the `validate` tags of its fields
// (go-playground/validator). name is the file name in messages. Errors are
// *Error.
func Parse(name string, data []byte, dst any) error {
	root, err := hujson.Parse(data)
	if err != nil {
		return newError([]Problem{{File: name, Line: syntaxLine(data, err), Key: "(file)", Value: "invalid syntax", Expected: "JSON with comments: " + err.Error()}})
	}
	w := newWalker(name, data)
	w.walk(&root, reflect.TypeOf(dst).Elem(), "")
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), dst); err != nil {
		w.problems = append(w.problems, Problem{File: name, Line: 1, Key: "(file)", Value: "undecodable content", Expected: err.Error()})
	}
	w.validate(dst)
	if len(w.problems) > 0 {
		return newError(w.problems)
	}
	return nil
}

// syntaxLine returns the line that a hujson error names, or the last line of data
// if it names none.
func syntaxLine(data []byte, err error) int {
	var line, column int
	for e := err; e != nil; e = errors.Unwrap(e) {
		if _, scanErr := fmt.Sscanf(e.Error(), "hujson: line %d, column %d", &line, &column); scanErr == nil {
			return line
		}
	}
	return 1 + strings.Count(string(data), "\n")
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	return v
}

// jsonName returns the key of a field in a settings file.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		return f.Name
	}
	return name
}
