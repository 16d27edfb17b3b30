// Package membership merges the platform's instance list with the peer
// sessions into one view of the fleet.
//
// A [Tracker] polls the list, follows the peer sessions and tells peers at
// once which backend servers and entry instances are leaving. An entry
// instance with an open session stays in view although the list lost its row
// or is down. An instance without a session leaves the view after a while,
// unless most other sessions are down as well, in which case the local
// instance is presumably the one that is cut off.
//
// Both sources lag, so the view is a hint: it decides whom to ask, and never
// whether an action is safe. Safety rests on epochs, conditional writes and
// expiries.
package membership

import (
	"github.com/pomelolock/pomelolock/storage"
)

// View is a read-only view of the fleet. Implementations are safe for
// concurrent use.
type View interface {
	// Self returns the local instance.
	Self() storage.Instance
	// Entries returns the entry instances believed live and not leaving,
	// sorted by ID. It contains Self unless Self is leaving.
	Entries() []storage.Instance
	// LeavingServer reports whether the backend server with this address
	// is known to be leaving.
	LeavingServer(address string) bool
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
