package table

import "fmt"

// ConflictError reports that a newer version was accepted after the operator
// started to edit. The proposed table was not accepted.
type ConflictError struct {
	// Base is the version on which the proposed table is based.
	Base uint64 `json:"base"`
	// Present is the latest accepted version.
	Present Document `json:"-"`
	// Theirs lists the changes from Base to Present; nil if Base is not among
	// the recent versions or could not be read.
	Theirs []Change `json:"theirs"`
	// Changes lists the changes from Present to the proposed table.
	Changes []Change `json:"changes"`
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("table: version %d was accepted by %s after version %d was edited", e.Present.Version, e.Present.Author, e.Base)
}

// StaleError reports that all attempts read an older version than the latest
// accepted one.
type StaleError struct {
	Got  uint64
	Want uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("table: the store answers with version %d, at least %d is accepted", e.Got, e.Want)
}

// UnknownOutcomeError reports an acceptance that may or may not have taken effect.
// Repeating the call with the same document and acceptance ID resolves the outcome.
type UnknownOutcomeError struct {
	AcceptanceID string
	Err          error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("table: outcome of acceptance %s is unknown: %v", e.AcceptanceID, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// CorruptError reports stored or received data that does not match its reference
// or can't be decoded.
type CorruptError struct {
	Version uint64
	Reason  string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("table: version %d is corrupt: %s", e.Version, e.Reason)
}
