package cli

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/pomelolock/pomelolock/operator"
	"github.com/pomelolock/pomelolock/settings"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/httpplatform"
	"github.com/pomelolock/pomelolock/table"
)

// Code is an exit code of the tool.
type Code int

// Exit codes.
const (
	CodeDone         Code = 0
	CodeFailed       Code = 1
	CodeUsage        Code = 2
	CodeConflict     Code = 3
	CodeUnauthorized Code = 4
	CodeUnreachable  Code = 5
	CodeNotInForce   Code = 6
	CodeUnknown      Code = 7
	CodeDeclined     Code = 8
)

// usageError reports a command that cannot be understood.
type usageError struct {
	reason string
}

func (e *usageError) Error() string { return e.reason }

// declinedError reports that the operator answered no.
type declinedError struct{}

func (e *declinedError) Error() string { return "declined; nothing was accepted" }

// unknownError reports an acceptance whose outcome could not be learned.
type unknownError struct {
	acceptanceID string
	err          error
}

func (e *unknownError) Error() string {
	return fmt.Sprintf("the outcome is unknown: %v; run the command again with --acceptance %s to settle it", e.err, e.acceptanceID)
}

func (e *unknownError) Unwrap() error { return e.err }

// notInForceError lists the instances that a wait ended without.
type notInForceError struct {
	version uint64
	ids     []string
}

func (e *notInForceError) Error() string {
	return fmt.Sprintf("version %d is accepted but not in force on %v", e.version, e.ids)
}

// noInstanceError reports that there is no instance to ask.
type noInstanceError struct{}

func (e *noInstanceError) Error() string {
	return "no live instance with an operator address is listed; name one with --operator"
}

// codeOf returns the exit code of an error.
func codeOf(err error) Code {
	var usage *usageError
	var faults *settings.FaultError
	var file *settings.FileError
	var invalid *table.InvalidError
	var options *httpplatform.OptionsError
	var notInForce *notInForceError
	var unknown *unknownError
	var declined *declinedError
	switch {
	case err == nil:
		return CodeDone
	case errors.As(err, &usage), errors.As(err, &faults), errors.As(err, &file), errors.As(err, &invalid), errors.As(err, &options):
		return CodeUsage
	case errors.As(err, &notInForce):
		return CodeNotInForce
	case errors.As(err, &unknown):
		return CodeUnknown
	case errors.As(err, &declined):
		return CodeDeclined
	}
	return remoteCode(err)
}

func remoteCode(err error) Code {
	var unreachable *operator.UnreachableError
	var unavailable *storage.UnavailableError
	var none *noInstanceError
	switch {
	case operator.HasCode(err, operator.CodeInvalid):
		return CodeUsage
	case operator.HasCode(err, operator.CodeConflict):
		return CodeConflict
	case operator.HasCode(err, operator.CodeUnauthorized):
		return CodeUnauthorized
	case operator.HasCode(err, operator.CodeUnavailable),
		errors.As(err, &unreachable), errors.As(err, &unavailable), errors.As(err, &none):
		return CodeUnreachable
	}
	return CodeFailed
}

// failureOutput is an error as JSON.
type failureOutput struct {
	ExitCode       Code               `json:"exit_code"`
	Error          string             `json:"error"`
	SettingsFaults []settings.Fault   `json:"settings_faults,omitempty"`
	TableFaults    []table.Fault      `json:"table_faults,omitempty"`
	Conflict       *operator.Conflict `json:"conflict,omitempty"`
	NotInForce     []string           `json:"not_in_force,omitempty"`
}

func describe(err error) failureOutput {
	out := failureOutput{ExitCode: codeOf(err), Error: err.Error()}
	var faults *settings.FaultError
	if errors.As(err, &faults) {
		out.SettingsFaults = faults.Faults
	}
	var invalid *table.InvalidError
	if errors.As(err, &invalid) {
		out.TableFaults = invalid.Faults
	}
	var failure *operator.Failure
	if errors.As(err, &failure) {
		out.TableFaults = append(out.TableFaults, failure.Faults...)
		out.Conflict = failure.Conflict
	}
	var notInForce *notInForceError
	if errors.As(err, &notInForce) {
		out.NotInForce = notInForce.ids
	}
	return out
}

// finish prints the error, if any, and returns the exit code.
func (a *app) finish(err error) int {
	if err == nil {
		return int(CodeDone)
	}
	out := describe(err)
	if a.JSON {
		data, _ := json.Marshal(out)
		fmt.Fprintln(a.Err, string(data))
		return int(out.ExitCode)
	}
	fmt.Fprintln(a.Err, "pomelolock:", out.Error)
	if out.Conflict != nil {
		a.printConflict(out.Conflict)
	}
	return int(out.ExitCode)
}

func (a *app) printConflict(conflict *operator.Conflict) {
	fmt.Fprintf(a.Err, "accepted by %s since version %d:\n", conflict.Author, conflict.Base)
	printChanges(a.Err, conflict.Theirs)
	fmt.Fprintf(a.Err, "your table would change in version %d:\n", conflict.Present)
	printChanges(a.Err, conflict.Changes)
}
