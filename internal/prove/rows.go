package prove

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

//go:embed rows.json
var rowsJSON []byte

// Row links a documented guarantee to a test that verifies it.
type Row struct {
	// ID identifies the row on the command line and in docs/PROOFS.md.
	ID string `json:"id"`
	// Promise is the number of the guarantee, or 0 if the row covers a kind of
	// failure instead.
	Promise int `json:"promise"`
	// Package is the directory of the test's package, relative to the module root.
	Package string `json:"package"`
	// Test is the test's name. A subtest follows after a slash.
	Test string `json:"test"`
	// Seed describes the fixed seed that the test uses.
	Seed string `json:"seed"`
	// Off holds the switch-offs. The test must fail with each of them.
	Off []SwitchOff `json:"off"`
	// NotShown names mechanisms that the test does not cover, as it also passes
	// without them.
	NotShown string `json:"not_shown,omitempty"`
}

// SwitchOff disables a mechanism by editing source files.
type SwitchOff struct {
	// Name is the disabled mechanism.
	Name  string `json:"name"`
	Edits []Edit `json:"edits"`
}

// Edit replaces a text that must occur exactly once in a file.
type Edit struct {
	// File is the path of the source file, relative to the module root.
	File string `json:"file"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Rows returns the rows of the embedded rows.json.
func Rows() ([]Row, error) {
	var rows []Row
	decoder := json.NewDecoder(bytes.NewReader(rowsJSON))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&rows); err != nil {
		return nil, fmt.Errorf("prove: rows.json: %w", err)
	}
	return rows, nil
}

// Select returns the rows whose ID starts with one of the prefixes, in their
// order. Without prefixes it returns all rows.
func Select(rows []Row, prefixes []string) []Row {
	if len(prefixes) == 0 {
		return rows
	}
	var selected []Row
	for _, row := range rows {
		for _, prefix := range prefixes {
			if strings.HasPrefix(row.ID, prefix) {
				selected = append(selected, row)
				break
			}
		}
	}
	return selected
}

// script returns the name of the script that the test runs, or an empty string.
func (r Row) script() string {
	_, script, _ := strings.Cut(r.Test, "/")
	return script
}

// canRunWith reports whether one invocation of go test can run both tests.
func (r Row) canRunWith(other Row) bool {
	return r.Package == other.Package && (r.script() == "") == (other.script() == "")
}

// runPattern returns a -run argument that matches only the rows' tests.
func runPattern(rows []Row) string {
	var names, scripts []string
	for _, row := range rows {
		name, script, _ := strings.Cut(row.Test, "/")
		names, scripts = append(names, name), append(scripts, script)
	}
	all := alternation(names)
	if scripts[0] != "" {
		all += "/" + alternation(scripts)
	}
	return all
}

// alternation returns a regular expression that matches exactly the names. It
// sorts names.
func alternation(names []string) string {
	slices.Sort(names)
	return "^(" + strings.Join(slices.Compact(names), "|") + ")$"
}
