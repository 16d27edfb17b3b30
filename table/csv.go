package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/pomelolock/pomelolock/internal/strictjson"
)

// SheetFile is one sheet as comma-separated values for spreadsheets. The first
// line holds the column names.
type SheetFile struct {
	Sheet Sheet
	Data  []byte
}

// FileName returns the name of the sheet's file.
func (f SheetFile) FileName() string { return string(f.Sheet) + ".csv" }

// ExportCSV returns one file per sheet of the document.
func ExportCSV(doc Document) ([]SheetFile, error) {
	var files []SheetFile
	for _, sheet := range Sheets() {
		data, err := writeCSV(sheetRows(&doc, sheet))
		if err != nil {
			return nil, fmt.Errorf("table: write sheet %s: %w", sheet, err)
		}
		files = append(files, SheetFile{Sheet: sheet, Data: data})
	}
	return files, nil
}

// sheetRows returns an addressable slice with the rows of a sheet. The fleet
// sheet has no slice in the document, so its result is a copy with one row.
func sheetRows(doc *Document, sheet Sheet) reflect.Value {
	switch sheet {
	case SheetServices:
		return reflect.ValueOf(&doc.Services).Elem()
	case SheetRoutes:
		return reflect.ValueOf(&doc.Routes).Elem()
	case SheetServers:
		return reflect.ValueOf(&doc.Servers).Elem()
	default:
		fleet := []Fleet{doc.Fleet}
		return reflect.ValueOf(&fleet).Elem()
	}
}

func writeCSV(rows reflect.Value) ([]byte, error) {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	row := rows.Type().Elem()
	cells := make([]string, row.NumField())
	for i := range cells {
		cells[i] = strictjson.FieldName(row.Field(i))
	}
	if err := w.Write(cells); err != nil {
		return nil, err
	}
	for r := range rows.Len() {
		for i := range cells {
			cells[i] = cellText(rows.Index(r).Field(i))
		}
		if err := w.Write(cells); err != nil {
			return nil, err
		}
	}
	w.Flush()
	return b.Bytes(), w.Error()
}

func cellText(value reflect.Value) string {
	if value.Kind() == reflect.Float64 {
		return strconv.FormatFloat(value.Float(), 'f', -1, 64)
	}
	return fmt.Sprint(value.Interface())
}

// ImportCSV reads the sheets of a document. Missing sheets are empty, except that
// a missing fleet sheet has its defaults; so have omitted columns and empty cells.
// Cells are separated by commas, semicolons or tabs. The version is that of the
// table from which the sheets were exported. It fails with [InvalidError], in
// which Line is the row number shown by a spreadsheet.
func ImportCSV(files []SheetFile, version uint64) (Document, error) {
	doc := Document{Version: version}
	doc.Fleet.SetDefaults()
	imp := &importer{lines: make(map[Sheet][]int)}
	for _, file := range files {
		imp.importSheet(&doc, file)
	}
	if len(imp.faults) == 0 {
		for _, fault := range check(doc) {
			if lines := imp.lines[fault.Sheet]; fault.Row > 0 && fault.Row <= len(lines) {
				fault.Line = lines[fault.Row-1]
			}
			imp.faults = append(imp.faults, fault)
		}
	}
	if len(imp.faults) > 0 {
		return Document{}, &InvalidError{Faults: imp.faults}
	}
	return doc, nil
}

type importer struct {
	faults []Fault
	// lines holds the line number in the file of each row.
	lines map[Sheet][]int
}

func (imp *importer) importSheet(doc *Document, file SheetFile) {
	data := bytes.TrimPrefix(file.Data, []byte("\ufeff"))
	if len(data) > MaxDocumentBytes {
		imp.faults = append(imp.faults, Fault{Sheet: file.Sheet, Message: fmt.Sprintf("larger than %d bytes", MaxDocumentBytes)})
		return
	}
	r := csv.NewReader(bytes.NewReader(data))
	r.Comma = separator(data)
	header, err := r.Read()
	if err != nil {
		imp.faults = append(imp.faults, Fault{Sheet: file.Sheet, Line: 1, Message: "no header with column names"})
		return
	}
	rows := sheetRows(doc, file.Sheet)
	rows.SetZero()
	columns := imp.parseHeader(file.Sheet, header, rows.Type().Elem())
	if columns == nil {
		return
	}
	imp.importRows(file.Sheet, r, columns, rows)
	if file.Sheet == SheetFleet {
		imp.importFleet(doc, rows)
	}
}

func (imp *importer) importFleet(doc *Document, rows reflect.Value) {
	if rows.Len() != 1 {
		imp.faults = append(imp.faults, Fault{Sheet: SheetFleet, Message: fmt.Sprintf("%d rows, want exactly one", rows.Len())})
		return
	}
	doc.Fleet = rows.Index(0).Interface().(Fleet)
}

// separator detects the separator from the header line.
func separator(data []byte) rune {
	line, _, _ := bytes.Cut(data, []byte("\n"))
	for _, candidate := range []rune{',', ';', '\t'} {
		if bytes.ContainsRune(line, candidate) {
			return candidate
		}
	}
	return ','
}

// parseHeader returns the field index of each column. It returns nil after
// recording a fault.
func (imp *importer) parseHeader(sheet Sheet, names []string, row reflect.Type) []int {
	known := make(map[string]int, row.NumField())
	for i := range row.NumField() {
		known[strictjson.FieldName(row.Field(i))] = i
	}
	columns := make([]int, len(names))
	faultsBefore := len(imp.faults)
	for i, name := range names {
		name = strings.TrimSpace(name)
		field, ok := known[name]
		if !ok {
			imp.faults = append(imp.faults, Fault{Sheet: sheet, Line: 1, Column: name, Message: "unknown or repeated column"})
		}
		delete(known, name)
		columns[i] = field
	}
	if len(imp.faults) > faultsBefore {
		return nil
	}
	return columns
}

func (imp *importer) importRows(sheet Sheet, r *csv.Reader, columns []int, rows reflect.Value) {
	for {
		cells, err := r.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			imp.addReadFault(sheet, rows.Len()+1, err)
			return
		}
		line, _ := r.FieldPos(0)
		imp.lines[sheet] = append(imp.lines[sheet], line)
		row := reflect.New(rows.Type().Elem())
		if defaulter, ok := row.Interface().(strictjson.Defaulter); ok {
			defaulter.SetDefaults()
		}
		rows.Set(reflect.Append(rows, row.Elem()))
		imp.setCells(sheet, line, columns, cells, rows.Index(rows.Len()-1), rows.Len())
	}
}

func (imp *importer) addReadFault(sheet Sheet, row int, err error) {
	fault := Fault{Sheet: sheet, Row: row, Message: err.Error()}
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		fault.Line, fault.Message = parse.Line, parse.Err.Error()
	}
	imp.faults = append(imp.faults, fault)
}

func (imp *importer) setCells(sheet Sheet, line int, columns []int, cells []string, row reflect.Value, number int) {
	for i, cell := range cells {
		cell = strings.TrimSpace(cell)
		if cell == "" {
			continue
		}
		if err := setCell(row.Field(columns[i]), cell); err != nil {
			column := strictjson.FieldName(row.Type().Field(columns[i]))
			imp.faults = append(imp.faults, Fault{Sheet: sheet, Row: number, Line: line, Column: column, Message: err.Error()})
		}
	}
}

func setCell(out reflect.Value, cell string) error {
	switch out.Kind() {
	case reflect.String:
		out.SetString(cell)
	case reflect.Bool:
		value, err := strconv.ParseBool(strings.ToLower(cell))
		if err != nil {
			return fmt.Errorf("want true or false, found %q", cell)
		}
		out.SetBool(value)
	case reflect.Float64:
		value, err := strconv.ParseFloat(cell, 64)
		if err != nil {
			return fmt.Errorf("want a number, found %q", cell)
		}
		out.SetFloat(value)
	default:
		value, err := strconv.ParseInt(cell, 10, out.Type().Bits())
		if err != nil {
			return fmt.Errorf("want a whole number, found %q", cell)
		}
		out.SetInt(value)
	}
	return nil
}
