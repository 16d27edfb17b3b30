package storage

import "fmt"

// NotFoundError reports a key or object that does not exist.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("storage: %q not found", e.Key)
}

// ConflictError reports a conditional write whose expected version differs
// from the present one. Nothing was written.
type ConflictError struct {
	Key      string
	Expected Version
	// Present is the version found, if the service told it.
	Present Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("storage: %q has version %d, expected %d", e.Key, e.Present, e.Expected)
}

// UnavailableError reports an operation that certainly had no effect because
// the service could not be reached or refused it.
type UnavailableError struct {
	Op  string
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("storage: %s unavailable: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports a write that may or may not have taken effect.
// Read back to settle it.
type UnknownOutcomeError struct {
	Op  string
	Err error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("storage: outcome of %s unknown: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }
