package table

import (
	"fmt"
	"strings"
)

// Sheet names one part of a document.
type Sheet string

// Sheets of a document.
const (
	SheetFleet    Sheet = "fleet"
	SheetServices Sheet = "services"
	SheetRoutes   Sheet = "routes"
	SheetServers  Sheet = "servers"
)

// Sheets lists all sheets in the order in which they are shown.
func Sheets() []Sheet {
	return []Sheet{SheetFleet, SheetServices, SheetRoutes, SheetServers}
}

// Fault is one cell or row that does not fit.
type Fault struct {
	Sheet Sheet `json:"sheet,omitempty"`
	// Row counts the rows of the sheet from 1, without a header; 0 stands
	// for the whole sheet.
	Row    int    `json:"row,omitempty"`
	Column string `json:"column,omitempty"`
	// Line counts the lines of the file from 1; 0 if there is no file.
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

// InvalidError lists every fault of a table.
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
