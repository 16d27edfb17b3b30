// Package membership merges the platform's instance list with the peer
// sessions into one view of the fleet.
//
// Both sources lag, so the view is a hint: it decides whom to ask, and never
// whether an action is safe. Safety rests on epochs, conditional writes and
// expiries.
package membership

import (
	"github.com/pomelolock/pomelolock/platform"
)

// View is a read-only view of the fleet. Implementations are safe for
// concurrent use.
type View interface {
	// Self returns the local instance.
	Self() platform.Instance
	// Entries returns the entry instances believed live and not leaving,
	// sorted by ID. It contains Self unless Self is leaving.
	Entries() []platform.Instance
	// LeavingServer reports whether the backend server with this address
	// is known to be leaving.
	LeavingServer(address string) bool
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
