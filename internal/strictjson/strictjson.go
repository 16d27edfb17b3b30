// Package strictjson decodes JSON with comments into structs. It reports every fault
// with its path and line instead of stopping at the first one.
//
// Field names are case-sensitive. Unknown and duplicate fields, nulls and values of a
// wrong type are faults. Fields that the input omits keep their values.
package strictjson

import (
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// MaxDepth bounds the nesting depth of a document. Brackets in strings count too.
const MaxDepth = 1000

// MaxFaults bounds the number of faults that one call of [Decode] reports.
const MaxFaults = 1000

// Fault is an error at one place of the input.
type Fault struct {
	// Path identifies the value, as in "services[3].weight"; it is empty for the
	// whole document.
	Path string
	// Line is the line number, from 1.
	Line    int
	Message string
}

// Defaulter is implemented by types of list elements that have default values.
// SetDefaults is called before an element is decoded.
type Defaulter interface {
	SetDefaults()
}

// Result holds the faults that [Decode] found and the lines of the values.
type Result struct {
	Faults []Fault
	// lines maps the path of each value to its line.
	lines map[string]int
}

// Line returns the line of the value at path. If the input has no such value, it
// returns the line of the innermost enclosing value that the input has.
func (r *Result) Line(path string) int {
	for {
		if line, ok := r.lines[path]; ok {
			return line
		}
		if path == "" {
			return 1
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

// Has reports whether the input has a value at path.
func (r *Result) Has(path string) bool {
	_, ok := r.lines[path]
	return ok
}

type decoder struct {
	result *Result
	// starts holds the offset of the start of each line.
	starts []int
}

// Decode decodes data into the struct that into points to. The struct may be partly
// set if the result has faults.
func Decode(data []byte, into any) *Result {
	d := &decoder{
		result: &Result{lines: make(map[string]int)},
		starts: lineStarts(data),
	}
	if depth(data) > MaxDepth {
		d.result.Faults = []Fault{{Line: 1, Message: fmt.Sprintf("nested deeper than %d levels", MaxDepth)}}
		return d.result
	}
	root, err := hujson.Parse(data)
	if err != nil {
		d.result.Faults = []Fault{syntaxFault(err)}
		return d.result
	}
	d.value("", &root, reflect.ValueOf(into).Elem())
	return d.result
}

// depth returns an upper bound of the nesting depth. It counts brackets in strings too.
func depth(data []byte) int {
	level, deepest := 0, 0
	for _, b := range data {
		switch b {
		case '{', '[':
			level++
			deepest = max(deepest, level)
		case '}', ']':
			level--
		}
	}
	return deepest
}

// syntaxFault converts an error of hujson, whose message starts with
// "hujson: line N, column M: ".
func syntaxFault(err error) Fault {
	var line, column int
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &line, &column); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
		return Fault{Line: line, Message: fmt.Sprintf("column %d: %s", column, message)}
	}
	return Fault{Line: 1, Message: message}
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, b := range data {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// line returns the line of the offset, from 1.
func (d *decoder) line(offset int) int {
	low, high := 0, len(d.starts)
	for high-low > 1 {
		mid := (low + high) / 2
		if d.starts[mid] <= offset {
			low = mid
		} else {
			high = mid
		}
	}
	return low + 1
}

func (d *decoder) fault(path string, offset int, format string, args ...any) {
	if len(d.result.Faults) < MaxFaults {
		fault := Fault{Path: path, Line: d.line(offset), Message: fmt.Sprintf(format, args...)}
		d.result.Faults = append(d.result.Faults, fault)
	}
}

func (d *decoder) value(path string, in *hujson.Value, out reflect.Value) {
	d.result.lines[path] = d.line(in.StartOffset)
	if out.Kind() == reflect.Pointer {
		if out.IsNil() {
			out.Set(reflect.New(out.Type().Elem()))
		}
		out = out.Elem()
	}
	if text, ok := out.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(path, in, text)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.object(path, in, out)
	case reflect.Slice:
		d.array(path, in, out)
	default:
		d.literal(path, in, out)
	}
}

func (d *decoder) text(path string, in *hujson.Value, out encoding.TextUnmarshaler) {
	literal, ok := in.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.fault(path, in.StartOffset, "want a string, found %s", kindName(in.Value.Kind()))
		return
	}
	if err := out.UnmarshalText([]byte(literal.String())); err != nil {
		if _, ok := out.(*time.Time); ok {
			err = errors.New("want a time as in 2006-01-02T15:04:05Z")
		}
		d.fault(path, in.StartOffset, "%v", err)
	}
}

func (d *decoder) object(path string, in *hujson.Value, out reflect.Value) {
	object, ok := in.Value.(*hujson.Object)
	if !ok {
		d.fault(path, in.StartOffset, "want an object, found %s", kindName(in.Value.Kind()))
		return
	}
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		field := join(path, name)
		target, known := fieldByName(out, name)
		switch {
		case !known:
			d.fault(field, member.Name.StartOffset, "unknown field")
		case seen[name]:
			d.fault(field, member.Name.StartOffset, "field given twice")
		default:
			d.value(field, &member.Value, target)
		}
		seen[name] = true
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldByName(out reflect.Value, name string) (reflect.Value, bool) {
	for i := range out.NumField() {
		if FieldName(out.Type().Field(i)) == name {
			return out.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// FieldName returns the JSON name of a struct field.
func FieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func (d *decoder) array(path string, in *hujson.Value, out reflect.Value) {
	array, ok := in.Value.(*hujson.Array)
	if !ok {
		d.fault(path, in.StartOffset, "want a list, found %s", kindName(in.Value.Kind()))
		return
	}
	list := reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		element := list.Index(i)
		if defaulter, ok := element.Addr().Interface().(Defaulter); ok {
			defaulter.SetDefaults()
		}
		d.value(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], element)
	}
	out.Set(list)
}

func (d *decoder) literal(path string, in *hujson.Value, out reflect.Value) {
	literal, ok := in.Value.(hujson.Literal)
	want := expectedKind(out.Kind())
	if !ok || kindName(literal.Kind()) != want {
		d.fault(path, in.StartOffset, "want %s, found %s", want, kindName(in.Value.Kind()))
		return
	}
	if err := setLiteral(literal, out); err != nil {
		d.fault(path, in.StartOffset, "%v", err)
	}
}

func expectedKind(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "a number"
	}
}

func setLiteral(literal hujson.Literal, out reflect.Value) error {
	text := string(literal)
	switch out.Kind() {
	case reflect.String:
		out.SetString(literal.String())
	case reflect.Bool:
		out.SetBool(literal.Bool())
	case reflect.Float64:
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("number %s is out of range", text)
		}
		out.SetFloat(value)
	case reflect.Uint64:
		value, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return fmt.Errorf("want a whole number that is not negative, found %s", text)
		}
		out.SetUint(value)
	default:
		value, err := strconv.ParseInt(text, 10, out.Type().Bits())
		if err != nil {
			return fmt.Errorf("want a whole number, found %s", text)
		}
		out.SetInt(value)
	}
	return nil
}

func kindName(kind hujson.Kind) string {
	switch kind {
	case '"':
		return "a string"
	case 't', 'f':
		return "true or false"
	case 'n':
		return "null"
	case '{':
		return "an object"
	case '[':
		return "a list"
	default:
		return "a number"
	}
}

// Encode returns v as indented JSON with a trailing newline.
func Encode(v any) ([]byte, error) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("strictjson: %w", err)
	}
	return append(data, '\n'), nil
}
