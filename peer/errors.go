package peer

import (
	"fmt"
	"time"
)

// UnreachableError reports a message that the peer did not handle. It is safe
// to send the message again.
type UnreachableError struct {
	InstanceID string
	Reason     string
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer: %s unreachable: %s", e.InstanceID, e.Reason)
}

// LostError reports a call that was sent but whose response was not received.
// The peer may have handled it.
type LostError struct {
	InstanceID string
	Err        error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("peer: no response received from %s: %v", e.InstanceID, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// RemoteError reports that the peer's handler failed or does not exist.
type RemoteError struct {
	InstanceID string
	Message    string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer: %s failed the call: %s", e.InstanceID, e.Message)
}

// VersionError reports a peer with a different protocol version.
type VersionError struct {
	InstanceID string
	// Got is the peer's protocol version.
	Got uint32
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("peer: %s speaks protocol version %d, want %d", e.InstanceID, e.Got, ProtocolVersion)
}

// FleetError reports a peer that belongs to a different fleet.
type FleetError struct {
	InstanceID string
	// Got is the name of the peer's fleet.
	Got string
}

func (e *FleetError) Error() string {
	return fmt.Sprintf("peer: %s belongs to fleet %q", e.InstanceID, e.Got)
}

// IdentityError reports a peer with an unexpected instance ID: not the dialled
// instance, the local instance itself, or no ID at all. Want is the dialled
// instance and empty in the latter two cases.
type IdentityError struct {
	Want, Got string
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer: expected instance %q, found %q", e.Want, e.Got)
}

// RefusedError reports that the peer refused the session.
type RefusedError struct {
	InstanceID string
	Reason     string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("peer: %s refused the session: %s", e.InstanceID, e.Reason)
}

// ClosedError reports that a session was closed.
type ClosedError struct {
	InstanceID string
	// Err is the cause.
	Err error
}

func (e *ClosedError) Error() string {
	return fmt.Sprintf("peer: session with %s closed: %v", e.InstanceID, e.Err)
}

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Err }

// HeartbeatTimeoutError reports a peer from which neither heartbeats nor other
// data were received within the timeout.
type HeartbeatTimeoutError struct {
	InstanceID string
	Timeout    time.Duration
}

func (e *HeartbeatTimeoutError) Error() string {
	return fmt.Sprintf("peer: no data received from %s for %v", e.InstanceID, e.Timeout)
}
