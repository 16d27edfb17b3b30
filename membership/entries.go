package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelolock/pomelolock/storage"
)

const (
	// unreachableAfter is how long a listed instance may lack a session
	// before it leaves the view.
	unreachableAfter = 3 * time.Second
	// unlistedAfter is how long an instance that is in no list is dialled
	// without a session before it is forgotten.
	unlistedAfter = 10 * time.Second
	// maxEntries bounds the instances remembered.
	maxEntries = 4096
)

// entry is what is known of another entry instance.
type entry struct {
	instance  storage.Instance
	listed    bool
	connected bool
	// leaving never returns to false: a replacement has a new ID.
	leaving bool
	// downSince is when the last session ended, or when the instance
	// became known.
	downSince time.Time
}

// entries is the state of the other entry instances. It is not safe for
// concurrent use.
type entries struct {
	self string
	byID map[string]*entry
}

func newEntries(self string) *entries {
	return &entries{self: self, byID: make(map[string]*entry)}
}

// learn adds or completes an instance and returns nil for the local one.
func (e *entries) learn(instance storage.Instance, now time.Time) *entry {
	if instance.ID == "" || instance.ID == e.self {
		return nil
	}
	known := e.byID[instance.ID]
	if known == nil {
		if len(e.byID) >= maxEntries {
			return nil
		}
		known = &entry{instance: instance, downSince: now}
		e.byID[instance.ID] = known
	}
	if instance.PeerAddress != "" {
		known.instance = instance
	}
	known.leaving = known.leaving || instance.State == storage.StateLeaving
	return known
}

// setListed applies the rows of a successful read of the list.
func (e *entries) setListed(rows []storage.Instance, now time.Time) {
	for _, known := range e.byID {
		known.listed = false
	}
	for _, row := range rows {
		if row.Role != storage.RoleEntry {
			continue
		}
		if known := e.learn(row, now); known != nil {
			known.listed = true
		}
	}
}

// setConnected applies the IDs of peers with a session and returns those whose
// session is new.
func (e *entries) setConnected(ids []string, now time.Time) (opened []string) {
	connected := make(map[string]bool, len(ids))
	for _, id := range ids {
		connected[id] = true
		known := e.learn(storage.Instance{ID: id, Role: storage.RoleEntry, State: storage.StateLive}, now)
		if known != nil && !known.connected {
			known.connected = true
			opened = append(opened, id)
		}
	}
	for id, known := range e.byID {
		if known.connected && !connected[id] {
			known.connected = false
			known.downSince = now
		}
	}
	return opened
}

// forget drops instances that neither the list nor a session supports.
func (e *entries) forget(now time.Time) {
	for id, known := range e.byID {
		if !known.listed && !known.connected && now.Sub(known.downSince) > unlistedAfter {
			delete(e.byID, id)
		}
	}
}

// isolated reports whether less than half of the listed instances have a
// session, which the local instance takes for its own fault.
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

// live returns the instances in view, sorted by ID.
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
	return now.Sub(k.downSince) <= unreachableAfter
}

// targets returns all instances to keep sessions with, sorted by ID.
func (e *entries) targets() []storage.Instance {
	targets := make([]storage.Instance, 0, len(e.byID))
	for _, known := range e.byID {
		targets = append(targets, known.instance)
	}
	slices.SortFunc(targets, byID)
	return targets
}

// reachable returns the instances with a session, to be told to others.
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
