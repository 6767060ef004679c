package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

var (
	rawMessageType  = reflect.TypeOf(json.RawMessage(nil))
	unmarshalerType = reflect.TypeOf((*json.Unmarshaler)(nil)).Elem()
)

// walker compares a parsed file with the type that it is decoded into. It records
// the line and the value of each key for messages. Keys are full paths, such as
// peers[0].address.
type walker struct {
	file     string
	data     []byte
	problems []Problem
	lines    map[string]int    // line of each key
	values   map[string]string // value of each key, as shown in messages
	reported map[string]bool   // keys that already have a problem
	// sensitive counts the enclosing fields tagged `sensitive:"true"`, whose
	// values must not appear in messages.
	sensitive int
}

func newWalker(file string, data []byte) *walker {
	return &walker{file: file, data: data, lines: map[string]int{}, values: map[string]string{}, reported: map[string]bool{}}
}

func (w *walker) report(v *hujson.Value, key, expected string) {
	w.reported[key] = true
	w.problems = append(w.problems, Problem{File: w.file, Line: w.lineAt(v.StartOffset), Key: key, Value: w.displayText(*v), Expected: expected})
}

// reject reports a value of the wrong type and replaces it by null, which
// decodes without an error, so that the rest of the file can still be decoded.
func (w *walker) reject(v *hujson.Value, key, expected string) {
	w.report(v, key, expected)
	v.Value = hujson.Literal("null")
}

// lineAt returns the line of a byte offset, starting at 1.
func (w *walker) lineAt(offset int) int {
	return 1 + strings.Count(string(w.data[:min(offset, len(w.data))]), "\n")
}

// displayText returns the text of a value for a message, redacted if the value
// is sensitive.
func (w *walker) displayText(v hujson.Value) string {
	if w.sensitive > 0 {
		return redactedText
	}
	return w.text(v)
}

// maxValueBytes is the longest part of a wrong value that a message quotes.
const maxValueBytes = 60

// text returns the source text of a value, shortened to maxValueBytes, or its
// kind if it is an object or a list.
func (w *walker) text(v hujson.Value) string {
	switch v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	}
	text := string(w.data[v.StartOffset:v.EndOffset])
	if len(text) > maxValueBytes {
		return text[:maxValueBytes] + "..."
	}
	return text
}

// redactedText replaces the value of a field tagged `sensitive:"true"`.
const redactedText = "a value that is not shown"

// walk checks the keys and the types of v and its descendants against t.
func (w *walker) walk(v *hujson.Value, t reflect.Type, key string) {
	w.lines[key] = w.lineAt(v.StartOffset)
	w.values[key] = w.text(*v)
	if w.sensitive > 0 {
		w.values[key] = redactedText
	}
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == rawMessageType || t.Kind() == reflect.Interface:
	case reflect.PointerTo(t).Implements(unmarshalerType):
		w.tryUnmarshal(v, t, key)
	case t.Kind() == reflect.Struct:
		w.walkStruct(v, t, key)
	case t.Kind() == reflect.Map:
		w.walkMap(v, t, key)
	case t.Kind() == reflect.Slice:
		w.walkSlice(v, t, key)
	default:
		w.tryUnmarshal(v, t, key)
	}
}

// tryUnmarshal rejects v if it cannot be decoded into t.
func (w *walker) tryUnmarshal(v *hujson.Value, t reflect.Type, key string) {
	clone := v.Clone()
	clone.Standardize()
	dst := reflect.New(t)
	if err := json.Unmarshal(clone.Pack(), dst.Interface()); err != nil {
		w.reject(v, key, describeType(t, dst.Interface()))
	}
}

// describeType returns what is expected of a value of type t, for a message.
func describeType(t reflect.Type, value any) string {
	if e, ok := value.(Expecter); ok {
		return e.Expected()
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number that is not negative"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	}
	return t.String()
}

func (w *walker) walkStruct(v *hujson.Value, t reflect.Type, key string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		w.reject(v, key, "an object")
		return
	}
	fields := structFields(t)
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := literalString(m.Name)
		path := joinKey(key, name)
		field, known := fields[name]
		switch {
		case !known:
			w.report(&m.Name, path, "a known key, one of "+knownKeys(fields))
		case seen[name]:
			w.report(&m.Name, path, "each key once")
		default:
			w.walkField(&m.Value, field, path)
		}
		seen[name] = true
	}
}

func (w *walker) walkField(v *hujson.Value, f reflect.StructField, key string) {
	if f.Tag.Get("sensitive") == "true" {
		w.sensitive++
		defer func() { w.sensitive-- }()
	}
	w.walk(v, f.Type, key)
}

func (w *walker) walkMap(v *hujson.Value, t reflect.Type, key string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		w.reject(v, key, "an object")
		return
	}
	for i := range obj.Members {
		m := &obj.Members[i]
		w.walk(&m.Value, t.Elem(), joinKey(key, literalString(m.Name)))
	}
}

func (w *walker) walkSlice(v *hujson.Value, t reflect.Type, key string) {
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		w.reject(v, key, "a list")
		return
	}
	for i := range list.Elements {
		w.walk(&list.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", key, i))
	}
}

// validate checks the `validate` tags of dst. It skips keys for which walk has
// already reported a problem.
func (w *walker) validate(dst any) {
	var failures validator.ValidationErrors
	if !errors.As(newValidator().Struct(dst), &failures) {
		return
	}
	for _, f := range failures {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		if w.reported[key] {
			continue
		}
		w.problems = append(w.problems, Problem{File: w.file, Line: w.nearestLine(key), Key: key, Value: w.values[key], Expected: describeTag(f)})
	}
}

// nearestLine returns the line of key or, if key is absent from the file, of the
// closest enclosing key.
func (w *walker) nearestLine(key string) int {
	for {
		if line, ok := w.lines[key]; ok {
			return line
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			return 1
		}
		key = key[:i]
	}
}

// describeTag returns what the failed `validate` tag requires, for a message.
func describeTag(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "a value"
	case "min", "gte":
		return "at least " + f.Param()
	case "max", "lte":
		return "at most " + f.Param()
	case "gt":
		return "more than " + f.Param()
	case "lt":
		return "less than " + f.Param()
	case "oneof":
		return "one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	case "hostname_port", "tcp_addr":
		return "an IP address and port, such as 127.0.0.1:8080"
	case "url", "http_url":
		return "a URL, such as http://127.0.0.1:8080"
	}
	return strings.TrimSpace(f.Tag() + " " + f.Param())
}

// structFields returns the fields of t that a settings file can set, by key.
func structFields(t reflect.Type) map[string]reflect.StructField {
	fields := map[string]reflect.StructField{}
	for _, f := range reflect.VisibleFields(t) {
		name := jsonName(f)
		if !f.IsExported() || f.Anonymous || name == "-" {
			continue
		}
		fields[name] = f
	}
	return fields
}

func knownKeys(fields map[string]reflect.StructField) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// literalString returns the value of a string literal, or "" if v is not a
// literal.
func literalString(v hujson.Value) string {
	if lit, ok := v.Value.(hujson.Literal); ok {
		return lit.String()
	}
	return ""
}

func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}
