package table

import (
	"fmt"
	"strings"
)

// Sheet is the name of a part of a document.
type Sheet string

// Sheets of a document.
const (
	SheetFleet    Sheet = "fleet"
	SheetServices Sheet = "services"
	SheetRoutes   Sheet = "routes"
	SheetServers  Sheet = "servers"
)

// Sheets returns all sheets in display order.
func Sheets() []Sheet {
	return []Sheet{SheetFleet, SheetServices, SheetRoutes, SheetServers}
}

// Fault describes an invalid cell, row or sheet.
type Fault struct {
	Sheet Sheet `json:"sheet,omitempty"`
	// Row is the 1-based row number in the sheet, without the header; 0 means
	// the whole sheet.
	Row    int    `json:"row,omitempty"`
	Column string `json:"column,omitempty"`
	// Line is the 1-based line number in the file; 0 if it is unknown.
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
}

func (f Fault) String() string {
	var parts []string
	if f.Sheet != "" {
		parts = append(parts, string(f.Sheet))
	}
	if f.Row > 0 {
		parts = append(parts, fmt.Sprintf("row %d", f.Row))
	}
	if f.Line > 0 {
		parts = append(parts, fmt.Sprintf("line %d", f.Line))
	}
	if f.Column != "" {
		parts = append(parts, "column "+f.Column)
	}
	if len(parts) == 0 {
		return f.Message
	}
	return strings.Join(parts, ", ") + ": " + f.Message
}

// InvalidError reports all faults of a table.
type InvalidError struct {
	Faults []Fault
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return "table: " + strings.Join(lines, "\n")
}
