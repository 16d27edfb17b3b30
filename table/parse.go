package table

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"

	"github.com/pomelolock/pomelolock/internal/strictjson"
)

// MaxDocumentBytes limits the size of an encoded document.
const MaxDocumentBytes = 8 << 20

// Parse decodes and validates a document written by an operator. The format is
// JSON with comments; omitted columns have their defaults. It fails with
// [InvalidError], which lists all faults.
func Parse(data []byte) (Document, error) {
	if len(data) > MaxDocumentBytes {
		message := fmt.Sprintf("larger than %d bytes", MaxDocumentBytes)
		return Document{}, &InvalidError{Faults: []Fault{{Message: message}}}
	}
	var doc Document
	doc.Fleet.SetDefaults()
	result := strictjson.Decode(data, &doc)
	var faults []Fault
	for _, fault := range result.Faults {
		faults = append(faults, decodeFault(fault))
	}
	faults = addCheckFaults(faults, check(doc), result)
	if len(faults) > 0 {
		return Document{}, &InvalidError{Faults: faults}
	}
	return doc, nil
}

// addCheckFaults appends the validation faults in checked with their line numbers.
// It omits those where decoding already failed for the cell, the row or the sheet.
func addCheckFaults(faults, checked []Fault, result *strictjson.Result) []Fault {
	type cell struct {
		sheet  Sheet
		row    int
		column string
	}
	known := make(map[cell]bool, len(faults))
	for _, fault := range faults {
		known[cell{fault.Sheet, fault.Row, fault.Column}] = true
	}
	if known[cell{}] {
		return faults
	}
	for _, fault := range checked {
		if known[cell{fault.Sheet, fault.Row, fault.Column}] || known[cell{fault.Sheet, fault.Row, ""}] || known[cell{fault.Sheet, 0, ""}] {
			continue
		}
		fault.Line = result.Line(fault.path())
		faults = append(faults, fault)
	}
	return faults
}

var pathPattern = regexp.MustCompile(`^([a-z_]+)(?:\[(\d+)\])?(?:\.(.*))?$`)

// decodeFault converts a decoding fault, whose path has a form such as
// "services[3].weight".
func decodeFault(fault strictjson.Fault) Fault {
	f := Fault{Line: fault.Line, Message: fault.Message}
	parts := pathPattern.FindStringSubmatch(fault.Path)
	if parts == nil {
		f.Column = fault.Path
		return f
	}
	for _, sheet := range Sheets() {
		if parts[1] == string(sheet) {
			f.Sheet, f.Column = sheet, parts[3]
		}
	}
	if f.Sheet == "" {
		f.Column = fault.Path
	}
	if index, err := strconv.Atoi(parts[2]); err == nil {
		f.Row = index + 1
	}
	return f
}

func (f Fault) path() string {
	path := string(f.Sheet)
	if f.Row > 0 {
		path += fmt.Sprintf("[%d]", f.Row-1)
	}
	if f.Column != "" {
		path += "." + f.Column
	}
	return path
}

// decodeAccepted decodes a stored document. Unknown fields are ignored, since a
// newer release may have written it.
func decodeAccepted(data []byte) (Document, error) {
	var doc Document
	doc.Fleet.SetDefaults()
	if err := json.Unmarshal(data, &doc); err != nil {
		return Document{}, &InvalidError{Faults: []Fault{{Message: err.Error()}}}
	}
	if err := Validate(doc); err != nil {
		return Document{}, err
	}
	return doc, nil
}

// UnmarshalJSON sets omitted columns to their defaults.
func (s *Service) UnmarshalJSON(data []byte) error {
	type plain Service
	s.SetDefaults()
	return json.Unmarshal(data, (*plain)(s))
}

// UnmarshalJSON sets omitted columns to their defaults.
func (s *Server) UnmarshalJSON(data []byte) error {
	type plain Server
	s.SetDefaults()
	return json.Unmarshal(data, (*plain)(s))
}

// Encode returns the document as indented JSON that [Parse] reads.
func Encode(doc Document) ([]byte, error) {
	doc.Services = emptyIfNil(doc.Services)
	doc.Routes = emptyIfNil(doc.Routes)
	doc.Servers = emptyIfNil(doc.Servers)
	data, err := strictjson.Encode(doc)
	if err != nil {
		return nil, fmt.Errorf("table: %w", err)
	}
	return data, nil
}

// emptyIfNil prevents an empty sheet from being encoded as null.
func emptyIfNil[R any](rows []R) []R {
	if rows == nil {
		return []R{}
	}
	return rows
}
