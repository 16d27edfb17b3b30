package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelolock/pomelolock/storage"
)

const (
	// unreachableTimeout is how long an instance may lack a session before
	// it is dropped from the view.
	unreachableTimeout = 3 * time.Second
	// unlistedTimeout is how long an instance that has neither a row in the
	// list nor a session remains a session target before it is removed.
	unlistedTimeout = 10 * time.Second
	// maxEntries bounds the number of tracked instances.
	maxEntries = 4096
)

// entry is the state of one other entry instance.
type entry struct {
	instance  storage.Instance
	listed    bool
	connected bool
	// leaving is never reset, because a replacement instance has a new ID.
	leaving bool
	// disconnectedSince is when the last session ended, or when the instance
	// was added if it has had no session.
	disconnectedSince time.Time
}

// entries tracks the other entry instances by ID. It is not safe for concurrent
// use.
type entries struct {
	self string
	byID map[string]*entry
}

func newEntries(self string) *entries {
	return &entries{self: self, byID: make(map[string]*entry)}
}

// upsert adds the instance, or updates the known one if the new data has a peer
// address. It returns nil for an empty ID, for the local instance, and for a new
// instance beyond maxEntries.
func (e *entries) upsert(instance storage.Instance, now time.Time) *entry {
	if instance.ID == "" || instance.ID == e.self {
		return nil
	}
	known := e.byID[instance.ID]
	if known == nil {
		if len(e.byID) >= maxEntries {
			return nil
		}
		known = &entry{instance: instance, disconnectedSince: now}
		e.byID[instance.ID] = known
	}
	if instance.PeerAddress != "" {
		known.instance = instance
	}
	known.leaving = known.leaving || instance.State == storage.StateLeaving
	return known
}

// applyList applies the rows of a successful list read.
func (e *entries) applyList(rows []storage.Instance, now time.Time) {
	for _, known := range e.byID {
		known.listed = false
	}
	for _, row := range rows {
		if row.Role != storage.RoleEntry {
			continue
		}
		if known := e.upsert(row, now); known != nil {
			known.listed = true
		}
	}
}

// applySessions applies the IDs of all peers that have a session and returns the
// IDs of those that had none before.
func (e *entries) applySessions(ids []string, now time.Time) (opened []string) {
	connected := make(map[string]bool, len(ids))
	for _, id := range ids {
		connected[id] = true
		known := e.upsert(storage.Instance{ID: id, Role: storage.RoleEntry, State: storage.StateLive}, now)
		if known != nil && !known.connected {
			known.connected = true
			opened = append(opened, id)
		}
	}
	for id, known := range e.byID {
		if known.connected && !connected[id] {
			known.connected = false
			known.disconnectedSince = now
		}
	}
	return opened
}

// removeExpired removes instances that have had neither a row in the list nor a
// session for longer than unlistedTimeout.
func (e *entries) removeExpired(now time.Time) {
	for id, known := range e.byID {
		if !known.listed && !known.connected && now.Sub(known.disconnectedSince) > unlistedTimeout {
			delete(e.byID, id)
		}
	}
}

// isolated reports whether fewer than half of the listed instances that aren't
// leaving have a session. The local instance then assumes that it is the one
// that is cut off.
func (e *entries) isolated() bool {
	var listed, connected int
	for _, known := range e.byID {
		if !known.listed || known.leaving {
			continue
		}
		listed++
		if known.connected {
			connected++
		}
	}
	return 2*connected < listed
}

// live returns the other instances that belong to the view, sorted by ID.
func (e *entries) live(now time.Time) []storage.Instance {
	isolated := e.isolated()
	var live []storage.Instance
	for _, known := range e.byID {
		if known.inView(isolated, now) {
			live = append(live, known.instance)
		}
	}
	slices.SortFunc(live, byID)
	return live
}

func (k *entry) inView(isolated bool, now time.Time) bool {
	if k.leaving {
		return false
	}
	if k.connected || k.listed && isolated {
		return true
	}
	return now.Sub(k.disconnectedSince) <= unreachableTimeout
}

// targets returns the instances to maintain sessions with, sorted by ID.
func (e *entries) targets() []storage.Instance {
	targets := make([]storage.Instance, 0, len(e.byID))
	for _, known := range e.byID {
		targets = append(targets, known.instance)
	}
	slices.SortFunc(targets, byID)
	return targets
}

// reachable returns the instances that may be named to peers: those that have a
// session and a peer address and aren't leaving.
func (e *entries) reachable() []storage.Instance {
	var reachable []storage.Instance
	for _, known := range e.byID {
		if known.connected && known.instance.PeerAddress != "" && !known.leaving {
			reachable = append(reachable, known.instance)
		}
	}
	return reachable
}

func byID(a, b storage.Instance) int { return strings.Compare(a.ID, b.ID) }
