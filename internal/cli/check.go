package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/pomelolock/pomelolock/platform"
	"github.com/pomelolock/pomelolock/table"
	"github.com/pomelolock/pomelolock/table/lint"
)

type tableCheckCmd struct {
	Path        string `arg:"" help:"JSON file or directory of CSV files."`
	Against     string `placeholder:"FILE" help:"Table in force, in the same format; lists what changes for requests."`
	PlatformRow bool   `help:"The file holds the operator's row of the users' platform."`
}

// checkedTable is the outcome of checking one file.
type checkedTable struct {
	doc      table.Document
	findings []lint.Finding
	// rejected is the error for which the table is rejected, or nil.
	rejected error
}

// tableCheckOutput is the result of checking a table.
type tableCheckOutput struct {
	File     string         `json:"file"`
	Valid    bool           `json:"valid"`
	Findings []lint.Finding `json:"findings,omitempty"`
	Against  string         `json:"against,omitempty"`
	Effects  []lint.Effect  `json:"effects,omitempty"`
}

func (c *tableCheckCmd) Run(a *app) error {
	checked, err := c.check(c.Path)
	if err != nil {
		return err
	}
	out := tableCheckOutput{File: c.Path, Valid: checked.rejected == nil, Findings: checked.findings, Against: c.Against}
	if c.Against != "" {
		effects, more, err := c.compare(checked)
		if err != nil {
			return err
		}
		out.Effects = effects
		out.Findings = append(out.Findings, more...)
	}
	if err := a.print(out, out.writeText); err != nil {
		return err
	}
	if checked.rejected != nil {
		return checked.rejected
	}
	if _, warnings := lint.Count(out.Findings); warnings > 0 {
		return &warningsError{count: warnings}
	}
	return nil
}

// check checks a file by the rules of its fleet. It fails if the file can't be read.
func (c *tableCheckCmd) check(path string) (checkedTable, error) {
	info, err := os.Stat(path)
	if err != nil {
		return checkedTable{}, &usageError{reason: err.Error()}
	}
	if info.IsDir() && !c.PlatformRow {
		return checkSheets(path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return checkedTable{}, &usageError{reason: err.Error()}
	}
	var checked checkedTable
	if c.PlatformRow {
		checked.doc, checked.findings = platform.CheckTable(data)
		if errors, _ := lint.Count(checked.findings); errors > 0 {
			checked.rejected = &rejectedError{file: path, count: errors}
		}
		return checked, nil
	}
	if checked.doc, err = table.Parse(data); err != nil {
		return checkedTable{findings: lint.Errors(err), rejected: err}, nil
	}
	checked.doc, checked.findings = lint.Check(data)
	return checked, nil
}

// checkSheets checks a table in CSV files. Warnings have rows and no lines.
func checkSheets(dir string) (checkedTable, error) {
	doc, err := readSheets(dir)
	if err != nil && !isInvalid(err) {
		return checkedTable{}, err
	}
	if err != nil {
		return checkedTable{findings: lint.Errors(err), rejected: err}, nil
	}
	return checkedTable{doc: doc, findings: lint.Warnings(doc, lint.OwnFleet)}, nil
}

// compare returns the effects of a table on requests, and none if it is rejected.
func (c *tableCheckCmd) compare(next checkedTable) ([]lint.Effect, []lint.Finding, error) {
	inForce, err := c.check(c.Against)
	if err != nil {
		return nil, nil, err
	}
	if inForce.rejected != nil {
		return nil, nil, &usageError{reason: fmt.Sprintf("--against %s: not a valid table: %v", c.Against, inForce.rejected)}
	}
	if next.rejected != nil {
		return nil, nil, nil
	}
	if c.PlatformRow {
		effects, findings := platform.CompareTables(inForce.doc, next.doc)
		return effects, findings, nil
	}
	return lint.Compare(inForce.doc, next.doc, lint.OwnFleet), nil, nil
}

func (o tableCheckOutput) writeText(w io.Writer) error {
	verdict := "valid"
	if !o.Valid {
		verdict = "rejected"
	}
	fmt.Fprintf(w, "%s is %s\n", o.File, verdict)
	for _, finding := range o.Findings {
		fmt.Fprintln(w, finding)
	}
	if o.Against == "" || !o.Valid {
		return nil
	}
	fmt.Fprintf(w, "changes for requests, compared with %s:\n", o.Against)
	if len(o.Effects) == 0 {
		fmt.Fprintln(w, "  no changes")
	}
	for _, effect := range o.Effects {
		fmt.Fprintln(w, " ", effect)
	}
	return nil
}
