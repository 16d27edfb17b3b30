package storage

import "fmt"

// NotFoundError reports that a key or object does not exist.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("storage: %q not found", e.Key)
}

// ConflictError reports that the expected version of a conditional write differs
// from the current version. The write had no effect.
type ConflictError struct {
	Key      string
	Expected Version
	// Present is the current version, or [Absent] if the key does not exist
	// or the service did not return the version.
	Present Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("storage: %q has version %d, expected %d", e.Key, e.Present, e.Expected)
}

// UnavailableError reports a failed operation that certainly had no effect, for
// example because the service could not be reached or refused it.
type UnavailableError struct {
	Op  string
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("storage: %s unavailable: %v", e.Op, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports a write that may or may not have taken effect. The
// caller must read back to determine the outcome.
type UnknownOutcomeError struct {
	Op  string
	Err error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("storage: outcome of %s unknown: %v", e.Op, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }
