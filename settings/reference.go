package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/pomelolock/pomelolock/internal/strictjson"
)

// referenceHeader is the text of docs/SETTINGS.md before its first row.
const referenceHeader = `# Settings of an instance

` + "`pomelolockd --settings FILE`" + ` reads one file of JSON with comments and trailing
commas. It is checked as a whole at start; each fault is printed with file, line
and field, and the exit code is 2. ` + "`pomelolock settings check FILE`" + ` does the
same check. This page is generated from package settings by
` + "`go test ./settings -run TestReference -update`" + `.

| Field | Default | Allowed | Meaning |
|---|---|---|---|
`

// Reference returns the text of the page docs/SETTINGS.md in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString(referenceHeader)
	writeRows(&b, "", reflect.ValueOf(Default()).Elem())
	return b.String()
}

// writeRows writes a table row for each field of a struct and of the structs in it.
func writeRows(b *strings.Builder, path string, value reflect.Value) {
	for i := range value.NumField() {
		field, tags := value.Field(i), value.Type().Field(i)
		name := path + strictjson.FieldName(tags)
		if field.Kind() == reflect.Pointer {
			field = reflect.New(field.Type().Elem()).Elem()
		}
		if field.Kind() == reflect.Struct {
			fmt.Fprintf(b, "| `%s` | | object | %s |\n", name, tags.Tag.Get("doc"))
			writeRows(b, name+".", field)
			continue
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", name, defaultText(field, tags.Tag), allowedText(field, tags.Tag), tags.Tag.Get("doc"))
	}
}

func defaultText(field reflect.Value, tags reflect.StructTag) string {
	if tags.Get("required") == "true" {
		return "required"
	}
	if field.Kind() == reflect.String && field.Len() == 0 {
		return "none"
	}
	return fmt.Sprintf("`%v`", field)
}

func allowedText(field reflect.Value, tags reflect.StructTag) string {
	if bounds := tags.Get("range"); bounds != "" {
		low, high := parseRange(bounds)
		return fmt.Sprintf("%d to %d", low, high)
	}
	switch tags.Get("format") {
	case "name":
		return "name"
	case "addrport":
		return "IP:port"
	case "url":
		return "http(s) URL"
	case "sha256":
		return "64 hex digits"
	case "file":
		return "file"
	case "level":
		return strings.Join(levels, ", ")
	}
	return field.Kind().String()
}
