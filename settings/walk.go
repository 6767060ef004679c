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

// walker compares a parsed file with the type it is decoded into and remembers
// where each key stands.
type walker struct {
	file     string
	data     []byte
	problems []Problem
	lines    map[string]int
	values   map[string]string
	bad      map[string]bool
	// sensitive counts the enclosing fields tagged `sensitive:"true"`, whose
	// values must not appear in messages.
	sensitive int
}

func newWalker(file string, data []byte) *walker {
	return &walker{file: file, data: data, lines: map[string]int{}, values: map[string]string{}, bad: map[string]bool{}}
}

func (w *walker) report(v *hujson.Value, key, expected string) {
	w.bad[key] = true
	w.problems = append(w.problems, Problem{File: w.file, Line: w.line(v.StartOffset), Key: key, Value: w.shown(*v), Expected: expected})
}

// reject reports a value of the wrong type and replaces it by null, which
// decodes to nothing, so that the rest of the file is still decoded.
func (w *walker) reject(v *hujson.Value, key, expected string) {
	w.report(v, key, expected)
	v.Value = hujson.Literal("null")
}

func (w *walker) line(offset int) int {
	return 1 + strings.Count(string(w.data[:min(offset, len(w.data))]), "\n")
}

// shown returns the text of a value for a message.
func (w *walker) shown(v hujson.Value) string {
	if w.sensitive > 0 {
		return hidden
	}
	return w.text(v)
}

// maxValueText bounds the part of a wrong value that a message repeats.
const maxValueText = 60

func (w *walker) text(v hujson.Value) string {
	switch v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	}
	text := string(w.data[v.StartOffset:v.EndOffset])
	if len(text) > maxValueText {
		return text[:maxValueText] + "..."
	}
	return text
}

// hidden stands for the value of a field that is tagged as sensitive.
const hidden = "a value that is not shown"

func (w *walker) walk(v *hujson.Value, t reflect.Type, key string) {
	w.lines[key] = w.line(v.StartOffset)
	w.values[key] = w.text(*v)
	if w.sensitive > 0 {
		w.values[key] = hidden
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

func (w *walker) tryUnmarshal(v *hujson.Value, t reflect.Type, key string) {
	clone := v.Clone()
	clone.Standardize()
	dst := reflect.New(t)
	if err := json.Unmarshal(clone.Pack(), dst.Interface()); err != nil {
		w.reject(v, key, describeType(t, dst.Interface()))
	}
}

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
		path := join(key, name)
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
		w.walk(&m.Value, t.Elem(), join(key, literalString(m.Name)))
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

// validate runs the validate tags and reports what the walk has not reported.
func (w *walker) validate(dst any) {
	var failures validator.ValidationErrors
	if !errors.As(newValidator().Struct(dst), &failures) {
		return
	}
	for _, f := range failures {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		if w.bad[key] {
			continue
		}
		w.problems = append(w.problems, Problem{File: w.file, Line: w.nearestLine(key), Key: key, Value: w.values[key], Expected: describeTag(f)})
	}
}

// nearestLine returns the line of key or, for an absent key, of the closest
// enclosing one.
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

func literalString(v hujson.Value) string {
	if lit, ok := v.Value.(hujson.Literal); ok {
		return lit.String()
	}
	return ""
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}
