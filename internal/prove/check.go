package prove

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// pageFile is the document that lists the rows.
const pageFile = "docs/PROOFS.md"

// RowError reports a row that is inconsistent with the source or the document.
type RowError struct {
	ID     string
	Reason string
}

func (e *RowError) Error() string { return "prove: row " + e.ID + ": " + e.Reason }

// scriptDirs maps a test that runs scripts as subtests to the directory of the
// scripts, relative to the test's package.
var scriptDirs = map[string]string{
	"TestScenarios":      "testdata",
	"TestProofScenarios": "testdata/proofs",
}

// pageRow matches a line of the document's tables and captures the row's ID,
// package and test.
var pageRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|[^|]*\\| `([^`]+)` \\| `([^`]+)` \\|")

// Check validates the rows against the module at root and returns one error per
// inconsistency: a duplicate ID, a missing test or script, a row with neither a
// switch-off nor a reason for having none, an edit whose old text does not occur
// exactly once, or a difference from docs/PROOFS.md.
func Check(root string, rows []Row) []error {
	var faults []error
	seen := make(map[string]bool)
	for _, row := range rows {
		if seen[row.ID] {
			faults = append(faults, &RowError{row.ID, "duplicate ID"})
		}
		seen[row.ID] = true
		if err := checkTest(root, row); err != nil {
			faults = append(faults, err)
		}
		faults = append(faults, checkSwitchOffs(root, row)...)
	}
	return append(faults, checkPage(root, rows)...)
}

// checkTest verifies that the test function exists and, for a scenario, its
// script.
func checkTest(root string, row Row) error {
	name, script, hasScript := strings.Cut(row.Test, "/")
	if !declaresTest(filepath.Join(root, row.Package), name) {
		return &RowError{row.ID, fmt.Sprintf("no test %s in %s", name, row.Package)}
	}
	if !hasScript {
		return nil
	}
	dir, known := scriptDirs[name]
	if !known {
		return &RowError{row.ID, "no script directory for " + name}
	}
	path := filepath.Join(root, row.Package, dir, script+".txt")
	if _, err := os.Stat(path); err != nil {
		return &RowError{row.ID, "no script: " + err.Error()}
	}
	return nil
}

// declaresTest reports whether a test file in dir declares the function test.
func declaresTest(dir, test string) bool {
	return anyTestFileMatches(dir, func(source string) bool { return strings.Contains(source, "\nfunc "+test+"(") })
}

// anyTestFileMatches reports whether matches returns true for the source of any
// test file in dir.
func anyTestFileMatches(dir string, matches func(source string) bool) bool {
	files, _ := filepath.Glob(filepath.Join(dir, "*_test.go"))
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err == nil && matches(string(source)) {
			return true
		}
	}
	return false
}

func checkSwitchOffs(root string, row Row) []error {
	var faults []error
	if len(row.Off) == 0 && row.NotShown == "" {
		faults = append(faults, &RowError{row.ID, "has neither a switch-off nor a reason in not_shown"})
	}
	for _, off := range row.Off {
		if _, err := off.applyEdits(root); err != nil {
			faults = append(faults, &RowError{row.ID, err.Error()})
		}
	}
	return faults
}

// checkPage compares the rows with those listed in the document.
func checkPage(root string, rows []Row) []error {
	page, err := os.ReadFile(filepath.Join(root, pageFile))
	if err != nil {
		return []error{fmt.Errorf("prove: %w", err)}
	}
	named := make(map[string][]string)
	for _, match := range pageRow.FindAllStringSubmatch(string(page), -1) {
		named[match[1]] = match[2:]
	}
	var faults []error
	for _, row := range rows {
		got := named[row.ID]
		delete(named, row.ID)
		if len(got) != 2 || got[0] != row.Package || got[1] != row.Test {
			faults = append(faults, &RowError{row.ID, fmt.Sprintf("%s lists package and test %q", pageFile, got)})
		}
	}
	for id := range named {
		faults = append(faults, &RowError{id, "only in " + pageFile})
	}
	return faults
}
