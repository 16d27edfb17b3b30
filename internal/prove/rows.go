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

// Row names one test of one promise.
type Row struct {
	// ID names the row on the command line and in the page.
	ID string `json:"id"`
	// Promise is the number of the promise, or 0 for a failure.
	Promise int `json:"promise"`
	// Package is the path of the test's package from the module's root.
	Package string `json:"package"`
	// Test is the test's name, with subtests after slashes.
	Test string `json:"test"`
	// Seed tells which fixed seed the test uses.
	Seed string `json:"seed"`
	// Off are the switch-offs; with each of them the test has to fail.
	Off []SwitchOff `json:"off"`
	// NotShown names mechanisms without which the test passes all the same.
	NotShown string `json:"not_shown,omitempty"`
}

// SwitchOff takes a mechanism away by edits of source files.
type SwitchOff struct {
	// Name tells what is taken away.
	Name  string `json:"name"`
	Edits []Edit `json:"edits"`
}

// Edit replaces a text that occurs exactly once in a file.
type Edit struct {
	// File is the path of the source file from the module's root.
	File string `json:"file"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Rows returns the committed rows.
func Rows() ([]Row, error) {
	var rows []Row
	decoder := json.NewDecoder(bytes.NewReader(rowsJSON))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&rows); err != nil {
		return nil, fmt.Errorf("prove: rows.json: %w", err)
	}
	return rows, nil
}

// Select returns the rows whose ID begins with one of the prefixes; all rows
// without any.
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

// script returns the name of the script that the test runs, if any.
func (r Row) script() string {
	_, script, _ := strings.Cut(r.Test, "/")
	return script
}

// sameRun reports whether one run of the go tool can take both tests.
func (r Row) sameRun(other Row) bool {
	return r.Package == other.Package && (r.script() == "") == (other.script() == "")
}

// pattern returns the argument of -run that matches the rows' tests alone.
func pattern(rows []Row) string {
	var names, scripts []string
	for _, row := range rows {
		name, script, _ := strings.Cut(row.Test, "/")
		names, scripts = append(names, name), append(scripts, script)
	}
	all := alternatives(names)
	if scripts[0] != "" {
		all += "/" + alternatives(scripts)
	}
	return all
}

func alternatives(names []string) string {
	slices.Sort(names)
	return "^(" + strings.Join(slices.Compact(names), "|") + ")$"
}
