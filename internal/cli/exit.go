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

// Code is an exit code of the tool. The help text lists their meanings.
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
	CodeWarnings     Code = 9
	CodeRejected     Code = 10
)

// usageError reports unusable arguments, flags or input files.
type usageError struct {
	reason string
}

func (e *usageError) Error() string { return e.reason }

// warningsError reports a table without errors that has warnings.
type warningsError struct {
	count int
}

func (e *warningsError) Error() string {
	return fmt.Sprintf("the table is valid, with %d warning(s)", e.count)
}

// rejectedError reports an operator's row that the users' platform would not put in force. A
// rejected table of the product's own fleet is a [table.InvalidError].
type rejectedError struct {
	file  string
	count int
}

func (e *rejectedError) Error() string {
	return fmt.Sprintf("%s has %d error(s); instances would keep the table in force", e.file, e.count)
}

// isInvalid reports whether err lists the faults of a table.
func isInvalid(err error) bool {
	var invalid *table.InvalidError
	return errors.As(err, &invalid)
}

// declinedError reports that the operator declined the changes.
type declinedError struct{}

func (e *declinedError) Error() string { return "declined; nothing was accepted" }

// unknownOutcomeError reports an acceptance that may or may not have taken
// effect.
type unknownOutcomeError struct {
	acceptanceID string
	err          error
}

func (e *unknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome is unknown: %v; run the command again with --acceptance %s to settle it", e.err, e.acceptanceID)
}

func (e *unknownOutcomeError) Unwrap() error { return e.err }

// notInForceError lists the live instances on which an accepted version was not
// active when the wait timed out.
type notInForceError struct {
	version uint64
	ids     []string
}

func (e *notInForceError) Error() string {
	return fmt.Sprintf("version %d is accepted but not in force on %v", e.version, e.ids)
}

// noInstanceError reports that no live instance can take the request.
type noInstanceError struct{}

func (e *noInstanceError) Error() string {
	return "no live instance with an operator address is listed; name one with --operator"
}

// exitCode returns the exit code for an error, CodeDone for nil.
func exitCode(err error) Code {
	var usage *usageError
	var faults *settings.FaultError
	var file *settings.FileError
	var invalid *table.InvalidError
	var options *httpplatform.OptionsError
	var notInForce *notInForceError
	var unknown *unknownOutcomeError
	var declined *declinedError
	var warnings *warningsError
	var rejected *rejectedError
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
	case errors.As(err, &warnings):
		return CodeWarnings
	case errors.As(err, &rejected):
		return CodeRejected
	}
	return remoteExitCode(err)
}

// remoteExitCode returns the exit code for an error of an instance or of the
// platform.
func remoteExitCode(err error) Code {
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

// failureOutput is the JSON form of an error.
type failureOutput struct {
	ExitCode       Code               `json:"exit_code"`
	Error          string             `json:"error"`
	SettingsFaults []settings.Fault   `json:"settings_faults,omitempty"`
	TableFaults    []table.Fault      `json:"table_faults,omitempty"`
	Conflict       *operator.Conflict `json:"conflict,omitempty"`
	NotInForce     []string           `json:"not_in_force,omitempty"`
}

func newFailureOutput(err error) failureOutput {
	out := failureOutput{ExitCode: exitCode(err), Error: err.Error()}
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
	out := newFailureOutput(err)
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
