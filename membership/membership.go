// Package membership merges the platform's instance list and the peer sessions
// into one view of the fleet.
//
// A [Tracker] polls the list, watches the peer sessions and immediately
// notifies peers of backend servers and entry instances that are leaving. An
// entry instance with an open session stays in the view even if its row is
// missing from the list or the list is unavailable. An instance without a
// session is dropped from the view after a timeout, unless most of the listed
// instances lack a session too: the local instance is then assumed to be the
// isolated one.
//
// Both sources lag, so the view is only a hint. It selects the instances to
// contact but never establishes that an action is safe; epochs, conditional
// writes and expiries do that.
package membership

import (
	"github.com/pomelolock/pomelolock/storage"
)

// View is a read-only view of the fleet. Implementations are safe for
// concurrent use.
type View interface {
	// Self returns the local instance.
	Self() storage.Instance
	// Entries returns the entry instances that are believed to be live and
	// not leaving, sorted by ID. Self is included unless it is leaving.
	Entries() []storage.Instance
	// LeavingServer reports whether the backend server with this address
	// is known to be leaving.
	LeavingServer(address string) bool
	// Changed returns a channel that is closed when the view next changes.
	Changed() <-chan struct{}
}
