package lint

import (
	"errors"
	"reflect"
	"strings"

	"github.com/pomelolock/pomelolock/internal/strictjson"
	"github.com/pomelolock/pomelolock/table"
)

// Check checks a table of the product's own fleet, in the format that [table.Parse] reads. It
// reports errors exactly if Parse rejects the table; warnings are looked for only in a table
// without errors.
func Check(data []byte) (table.Document, []Finding) {
	doc, err := table.Parse(data)
	if err != nil {
		return doc, Errors(err)
	}
	findings := Warnings(doc, OwnFleet)
	var scratch table.Document
	lines := strictjson.Decode(data, &scratch)
	for i := range findings {
		findings[i].Line = lines.Line(findings[i].path())
	}
	return doc, findings
}

// Errors returns the faults for which the product rejects a table, with what to write instead.
// It returns one finding without a place if err is not a [table.InvalidError], and none if err
// is nil.
func Errors(err error) []Finding {
	if err == nil {
		return nil
	}
	var invalid *table.InvalidError
	if !errors.As(err, &invalid) {
		return []Finding{{Severity: Error, Code: Rejected, Message: err.Error()}}
	}
	findings := make([]Finding, len(invalid.Faults))
	for i, fault := range invalid.Faults {
		findings[i] = Finding{
			Severity: Error, Code: Rejected, Message: fault.Message, Instead: advice(fault),
			Place: Place{List: string(fault.Sheet), Row: fault.Row, Column: fault.Column, Line: fault.Line},
		}
	}
	return findings
}

// sheetRows holds the type of the rows of each sheet.
var sheetRows = map[table.Sheet]reflect.Type{
	table.SheetFleet:    reflect.TypeFor[table.Fleet](),
	table.SheetServices: reflect.TypeFor[table.Service](),
	table.SheetRoutes:   reflect.TypeFor[table.Route](),
	table.SheetServers:  reflect.TypeFor[table.Server](),
}

// formats describes the values of columns by the tag that package table checks.
var formats = map[string]string{
	"name":     "a name of 1 to 63 letters, digits, '.', '_' or '-' that starts with a letter or digit",
	"method":   `a method in capitals such as "GET", or nothing for all`,
	"host":     "a host name in lower case without a port, or nothing for all",
	"health":   `a path such as "/healthz", or nothing`,
	"path":     `a path that starts with / and has no "..", "//", "?" or "#", such as "/orders/"`,
	"split":    `services with whole weights of 1 or more, such as "orders=90 orders-next=10"`,
	"addrport": `an IP address with a port, such as "10.0.0.7:8080"`,
}

// advice returns what to write instead of a rejected value, or "" if the message says all.
func advice(fault table.Fault) string {
	row, known := sheetRows[fault.Sheet]
	if !known || fault.Column == "" {
		return ""
	}
	var columns []string
	for i := range row.NumField() {
		field := row.Field(i)
		name := strictjson.FieldName(field)
		columns = append(columns, name)
		if name != fault.Column {
			continue
		}
		switch {
		case strings.Contains(fault.Message, "is already in row"):
			return "a value that no other row has, or remove one of the two rows"
		case strings.Contains(fault.Message, "no service is called"):
			return "the name of a row of the services sheet, or add that service"
		}
		return columnAdvice(field)
	}
	return "one of the columns " + strings.Join(columns, ", ")
}

func columnAdvice(field reflect.StructField) string {
	if bounds := field.Tag.Get("range"); bounds != "" {
		low, high, _ := strings.Cut(bounds, ",")
		return "a number from " + low + " to " + high
	}
	if choices := field.Tag.Get("enum"); choices != "" {
		return "one of " + strings.ReplaceAll(choices, ",", ", ")
	}
	if strictjson.FieldName(field) == "key_required" {
		return "false here, or false in repeatable"
	}
	if field.Type.Kind() == reflect.Bool {
		return "true or false"
	}
	return formats[field.Tag.Get("format")]
}
