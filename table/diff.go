package table

import (
	"fmt"
	"reflect"

	"github.com/pomelolock/pomelolock/internal/strictjson"
)

// ChangeKind is the type of a change.
type ChangeKind string

// Change kinds.
const (
	RowAdded   ChangeKind = "added"
	RowRemoved ChangeKind = "removed"
	CellSet    ChangeKind = "changed"
)

// Change is one difference between two documents.
type Change struct {
	Kind  ChangeKind `json:"kind"`
	Sheet Sheet      `json:"sheet"`
	// Row is the key of the row: the name of a service or server, the
	// host, method and path prefix of a route, "" for the fleet sheet.
	Row string `json:"row,omitempty"`
	// Column is set for changed cells only.
	Column string `json:"column,omitempty"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
}

func (c Change) String() string {
	switch c.Kind {
	case RowAdded:
		return fmt.Sprintf("+ %s %s: %s", c.Sheet, c.Row, c.New)
	case RowRemoved:
		return fmt.Sprintf("- %s %s: %s", c.Sheet, c.Row, c.Old)
	default:
		return fmt.Sprintf("~ %s %s %s: %s -> %s", c.Sheet, c.Row, c.Column, c.Old, c.New)
	}
}

// Diff returns the changes that turn the document before into after, grouped by
// sheet. The order of rows is ignored.
func Diff(before, after Document) []Change {
	changes := diffRow(nil, SheetFleet, "", before.Fleet, after.Fleet)
	changes = diffSheet(changes, SheetServices, before.Services, after.Services, func(s Service) string { return s.Name })
	changes = diffSheet(changes, SheetRoutes, before.Routes, after.Routes, Route.key)
	return diffSheet(changes, SheetServers, before.Servers, after.Servers, func(s Server) string { return s.Name })
}

func diffSheet[R any](changes []Change, sheet Sheet, before, after []R, key func(R) string) []Change {
	old := make(map[string]R, len(before))
	for _, row := range before {
		old[key(row)] = row
	}
	remaining := make(map[string]bool, len(after))
	for _, row := range after {
		name := key(row)
		remaining[name] = true
		if previous, ok := old[name]; ok {
			changes = diffRow(changes, sheet, name, previous, row)
			continue
		}
		changes = append(changes, Change{Kind: RowAdded, Sheet: sheet, Row: name, New: rowText(row)})
	}
	for _, row := range before {
		if name := key(row); !remaining[name] {
			changes = append(changes, Change{Kind: RowRemoved, Sheet: sheet, Row: name, Old: rowText(row)})
		}
	}
	return changes
}

func diffRow(changes []Change, sheet Sheet, name string, before, after any) []Change {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		if a.Field(i).Equal(b.Field(i)) {
			continue
		}
		changes = append(changes, Change{
			Kind:   CellSet,
			Sheet:  sheet,
			Row:    name,
			Column: strictjson.FieldName(a.Type().Field(i)),
			Old:    cellText(a.Field(i)),
			New:    cellText(b.Field(i)),
		})
	}
	return changes
}

// rowText formats the cells of a row that are not zero.
func rowText(row any) string {
	v := reflect.ValueOf(row)
	text := ""
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			continue
		}
		if text != "" {
			text += " "
		}
		text += strictjson.FieldName(v.Type().Field(i)) + "=" + cellText(v.Field(i))
	}
	return text
}
