package peer

import (
	"fmt"
	"time"
)

// UnreachableError reports a message that the peer certainly did not handle.
type UnreachableError struct {
	InstanceID string
	Reason     string
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer: %s unreachable: %s", e.InstanceID, e.Reason)
}

// LostError reports a call that was sent but whose answer did not arrive. The
// peer may have handled it.
type LostError struct {
	InstanceID string
	Err        error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("peer: answer of %s lost: %v", e.InstanceID, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// RemoteError reports the failure of the peer's handler.
type RemoteError struct {
	InstanceID string
	Message    string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer: %s failed the call: %s", e.InstanceID, e.Message)
}

// VersionError reports a peer that speaks another protocol version.
type VersionError struct {
	InstanceID string
	Got        uint32
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("peer: %s speaks protocol version %d, want %d", e.InstanceID, e.Got, ProtocolVersion)
}

// FleetError reports a peer that belongs to another fleet.
type FleetError struct {
	InstanceID string
	Got        string
}

func (e *FleetError) Error() string {
	return fmt.Sprintf("peer: %s belongs to fleet %q", e.InstanceID, e.Got)
}

// IdentityError reports that another instance than expected answers at an
// address.
type IdentityError struct {
	Want, Got string
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer: expected instance %q, found %q", e.Want, e.Got)
}

// RefusedError reports a peer that refused the session.
type RefusedError struct {
	InstanceID string
	Reason     string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("peer: %s refused the session: %s", e.InstanceID, e.Reason)
}

// ClosedError reports a session that ended.
type ClosedError struct {
	InstanceID string
	// Err is what ended the session.
	Err error
}

func (e *ClosedError) Error() string {
	return fmt.Sprintf("peer: session with %s closed: %v", e.InstanceID, e.Err)
}

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Err }

// SilenceError reports a peer from which nothing arrived for too long.
type SilenceError struct {
	InstanceID string
	Limit      time.Duration
}

func (e *SilenceError) Error() string {
	return fmt.Sprintf("peer: nothing heard from %s for %v", e.InstanceID, e.Limit)
}
