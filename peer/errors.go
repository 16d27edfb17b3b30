package peer

import "fmt"

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
