package lint

import (
	"fmt"
	"strings"
)

// Severity tells whether the product rejects a table for a finding.
type Severity string

// Severities of a finding.
const (
	// Error is a finding for which the product rejects the whole table.
	Error Severity = "error"
	// Warning is a finding that the product accepts.
	Warning Severity = "warning"
)

// Code identifies the type of a finding.
type Code string

// Types of findings.
const (
	// Rejected is the only type of an error that package table or the platform's decoder
	// reports; the message has the reason.
	Rejected Code = "rejected"

	ShadowedRoute    Code = "shadowed-route"
	UnmatchableRoute Code = "unmatchable-route"
	UnknownService   Code = "unknown-service"
	UnusedService    Code = "unused-service"
	RepeatedService  Code = "repeated-service"
	ZeroShare        Code = "zero-share"
	SingleShare      Code = "single-share"
	RepeatedShare    Code = "repeated-share"
	UnreadableSplit  Code = "unreadable-split"
	IgnoredSplit     Code = "ignored-split"
	ShortTimeout     Code = "timeout-below-target"
	NoTarget         Code = "no-target"
	NegativeValue    Code = "negative-value"
	TooManyAttempts  Code = "too-many-attempts"
	ShortHeaderLimit Code = "short-header-limit"
	SmallBurst       Code = "burst-below-one"
	BurstWithoutRate Code = "burst-without-rate"
	NeedlessPublic   Code = "needless-public"
	PartialWarmUp    Code = "partial-warm-up"
	NoKeys           Code = "no-keys"
	NoWorkspaces     Code = "no-workspaces"
	SharedKey        Code = "shared-key"
	NamelessEntry    Code = "empty-name"
	RepeatedName     Code = "repeated-name"
	IgnoredVersion   Code = "ignored-version"
)

// Place locates a finding in a file. Zero fields are unknown or don't apply.
type Place struct {
	// List is a sheet of the table, or a list or object of the platform's row.
	List string `json:"list,omitempty"`
	// Row is the number of the entry in the list, from 1.
	Row int `json:"row,omitempty"`
	// Column is the name of the cell or field.
	Column string `json:"column,omitempty"`
	// Line is the line in the file, from 1.
	Line int `json:"line,omitempty"`
}

// String returns the place in the form that [table.Fault] uses.
func (p Place) String() string {
	var parts []string
	if p.List != "" {
		parts = append(parts, p.List)
	}
	if p.Row > 0 {
		parts = append(parts, fmt.Sprintf("row %d", p.Row))
	}
	if p.Line > 0 {
		parts = append(parts, fmt.Sprintf("line %d", p.Line))
	}
	if p.Column != "" {
		parts = append(parts, "column "+p.Column)
	}
	return strings.Join(parts, ", ")
}

// Finding is an error or a warning at one place of a table.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	Place
	Message string `json:"message"`
	// Instead tells what to write instead.
	Instead string `json:"instead,omitempty"`
}

// String returns the finding in two lines, the second with what to write instead.
func (f Finding) String() string {
	text := string(f.Severity) + ": "
	if place := f.Place.String(); place != "" {
		text += place + ": "
	}
	text += f.Message
	if f.Instead != "" {
		text += "\n  instead: " + f.Instead
	}
	return text
}

// Count returns the number of errors and of warnings.
func Count(findings []Finding) (errors, warnings int) {
	for _, finding := range findings {
		if finding.Severity == Error {
			errors++
		} else {
			warnings++
		}
	}
	return errors, warnings
}
