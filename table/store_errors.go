package table

import "fmt"

// ConflictError reports that another table was accepted since the one which the
// operator edited. Nothing was accepted.
type ConflictError struct {
	// Base is the version that the operator edited.
	Base uint64 `json:"base"`
	// Present is the head of the accepted versions.
	Present Document `json:"-"`
	// Theirs lists what was accepted since Base; nil if Base is no longer
	// kept.
	Theirs []Change `json:"theirs"`
	// Changes lists what the proposed table would change in Present.
	Changes []Change `json:"changes"`
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("table: version %d was accepted by %s after version %d was edited", e.Present.Version, e.Present.Author, e.Base)
}

// StaleError reports a store that keeps answering with a version older than one
// that is known to be accepted.
type StaleError struct {
	Got  uint64
	Want uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("table: the store answers with version %d, at least %d is accepted", e.Got, e.Want)
}

// UnsettledError reports an acceptance that may or may not have taken effect.
// Accepting the same document with the same acceptance ID again settles it.
type UnsettledError struct {
	AcceptanceID string
	Err          error
}

func (e *UnsettledError) Error() string {
	return fmt.Sprintf("table: outcome of acceptance %s is unknown: %v", e.AcceptanceID, e.Err)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Err }

// CorruptError reports stored or received data that is not the accepted
// document which its reference names.
type CorruptError struct {
	Version uint64
	Reason  string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("table: version %d is corrupt: %s", e.Version, e.Reason)
}
