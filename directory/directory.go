package directory

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// RemovalGracePeriod is the longest time for which removed entries stay in use after the
	// store has recovered from an outage. The platform guarantees that live servers
	// register again within about two seconds. The period is shorter, so that the
	// entries of servers that are really gone are dropped in time.
	RemovalGracePeriod = 1700 * time.Millisecond
	// maxEntries is the number of entries above which tombstones are deleted.
	maxEntries = 4096
)

// Server is a registered backend server.
type Server struct {
	// ID is unique among the servers of all services.
	ID      string
	Service string
	// Address is an IP address and port.
	Address    string
	DataCentre string
	// Slots is the number of requests that the server can run concurrently.
	Slots int
	// Draining reports whether the server accepts no new requests.
	Draining bool
	// Born is the start time of the server in Unix milliseconds; 0 if unknown. A
	// server may restart under the same ID.
	Born int64
	// Seq counts what the server wrote about itself since its start.
	Seq int64
	// WarmUntil is the time at which the server's warm-up ends.
	WarmUntil time.Time
}

// Change is the newest state of one server's entry.
type Change struct {
	Server
	// Version is the store version of the change.
	Version uint64
	// Removed reports whether the entry was removed. Only the ID and, if known, Born of
	// Server are set then.
	Removed bool
	// Leaving reports whether the server said in an answer that it leaves.
	Leaving bool
}

// gone reports whether the server has left or is leaving.
func (c Change) gone() bool { return c.Removed || c.Draining || c.Leaving }

type entry struct {
	Change
	// lastVersion is the version of the last change received, including those
	// that repeat the entry.
	lastVersion uint64
	// copiedSeq is the Seq of the entry in the copy from which the store was restored
	// in copiedEra, if the copy contradicts what was known before.
	copiedSeq int64
	copiedEra uint64
	// heldUntil is the end of the grace period of a removed entry that is still in
	// use, otherwise the zero time.
	heldUntil time.Time
}

// Directory holds the entries of all servers. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	entries map[string]*entry
	// version is the store version up to which no change is missing.
	version uint64
	// held is at least the number of removed entries that are still in use.
	held int
	// synced is set once the directory has had a complete view of the store.
	synced      bool
	evacuations evacuations
	index       atomic.Pointer[index]

	// OnReturned, if set, is called with the servers of a data centre that is no longer
	// evacuated, before they are used again. It must be set before the directory is used,
	// must not block and must not call the directory.
	OnReturned func(dataCentre string, servers []Server)
}

// index holds the servers that accept new requests, except those in evacuated data centres.
type index struct {
	byService, byDataCentre map[string][]Server
	// evacuated holds the servers in evacuated data centres that would accept requests.
	evacuated   map[string][]Server
	evacuations evacuations
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{entries: make(map[string]*entry)}
	d.index.Store(&index{})
	return d
}

// Servers returns the servers of a service that accept new requests and are not evacuated,
// sorted by ID. The result must not be modified.
func (d *Directory) Servers(service string) []Server { return d.index.Load().byService[service] }

// InDataCentres returns the servers of all services that accept new requests by data centre,
// without evacuated data centres, in no particular order. The result must not be modified.
func (d *Directory) InDataCentres() map[string][]Server { return d.index.Load().byDataCentre }

// All returns the servers of all services that accept new requests and are not evacuated, in
// no particular order.
func (d *Directory) All() []Server {
	var all []Server
	for _, servers := range d.index.Load().byService {
		all = append(all, servers...)
	}
	return all
}

// Ended reports whether a process of a server, which started at born, has no entry in the store
// any more. A draining server has one.
func (d *Directory) Ended(id string, born int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	return e == nil || e.Removed || e.Born != born
}

// Replaced reports whether a server's entry is that of a process that started after born.
func (d *Directory) Replaced(id string, born int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	return e != nil && !e.Removed && e.Born > born
}

// Version returns the store version up to which no change is missing.
func (d *Directory) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// MarkSynced records that the directory has received all entries of a synced peer.
func (d *Directory) MarkSynced() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.synced = true
}

// Synced reports whether the directory has had a complete view of the store.
func (d *Directory) Synced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.synced
}

// Apply applies the changes made after version base, up to and including version, and
// returns those that were new. If changes up to base are missing, the directory's
// version doesn't advance. Entries removed before holdUntil stay in use until then.
func (d *Directory) Apply(changes []Change, base, version uint64, holdUntil time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	applied := d.applyLocked(changes, holdUntil)
	if base <= d.version {
		d.version = max(d.version, version, newestVersion(applied))
	}
	if len(applied) > 0 {
		d.rebuildLocked(time.Now())
	}
	return applied
}

func newestVersion(changes []Change) uint64 {
	var version uint64
	for _, change := range changes {
		version = max(version, change.Version)
	}
	return version
}

// Replace applies a complete view of the store at a version and returns the changes
// that were new. Entries missing from the view that are not newer than it are removed.
// holdUntil has the same meaning as for [Directory.Apply].
func (d *Directory) Replace(all []Change, version uint64, holdUntil time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := make(map[string]bool, len(all))
	for _, change := range all {
		present[change.ID] = true
	}
	for id, e := range d.entries {
		if !present[id] && !e.Removed && e.Version <= version {
			all = append(all, Change{Server: Server{ID: id, Born: e.Born}, Version: version, Removed: true})
		}
	}
	applied := d.applyLocked(all, holdUntil)
	d.version = max(d.version, newestVersion(applied))
	d.synced = true
	d.rebuildLocked(time.Now())
	return applied
}

func (d *Directory) applyLocked(changes []Change, holdUntil time.Time) []Change {
	var applied []Change
	now := time.Now()
	for _, change := range changes {
		old := d.entries[change.ID]
		if old != nil {
			if change.Version < old.lastVersion || change.Version == old.lastVersion && (old.gone() || !change.gone()) {
				continue
			}
			change = change.after(old.Change)
			if old.equal(change) {
				old.lastVersion = change.Version
				if EraOf(change.Version) > EraOf(old.Version) {
					old.Version = change.Version
				}
				continue
			}
		}
		next := &entry{Change: change, lastVersion: change.Version}
		// A removal of the same version is older news than the outage or restore: the
		// entry is from a copy of the store.
		if change.Removed && old != nil && !old.Removed && now.Before(holdUntil) && change.Version > old.lastVersion {
			next.Server = old.Server
			next.heldUntil = holdUntil
			d.held++
		}
		d.entries[change.ID] = next
		applied = append(applied, change)
	}
	d.trimLocked()
	return applied
}

// after completes a change with what is known of the server: its start if it is removed,
// and that it leaves unless it has started again.
func (c Change) after(old Change) Change {
	if c.Removed && c.Born == 0 {
		c.Born = old.Born
	}
	c.Leaving = c.Leaving || old.Leaving && c.Born == old.Born
	return c
}

// Screen returns changes that were read from the store, with those replaced that only show
// an old copy from which the store was restored: a server that is known to have left or to
// drain is not in use again because the copy lists it, only once it has written again.
func (d *Directory) Screen(changes []Change) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	screened := make([]Change, len(changes))
	for i, change := range changes {
		screened[i] = change
		old := d.entries[change.ID]
		if old == nil || change.gone() || !old.Removed && !old.Draining || change.Born != old.Born {
			continue
		}
		era := EraOf(change.Version)
		if era > EraOf(old.lastVersion) {
			old.copiedEra, old.copiedSeq = era, change.Seq
		}
		if old.copiedEra > 0 && old.copiedEra == era && change.Seq <= old.copiedSeq {
			kept := old.Change
			kept.Version = change.Version
			screened[i] = kept
		}
	}
	return screened
}

// equal reports whether a change leaves the entry as it is. The end of the warm-up is
// not compared, since it is computed anew from the remaining time at each read.
func (e *entry) equal(change Change) bool {
	if e.Removed || change.Removed || e.Leaving != change.Leaving {
		return e.Removed == change.Removed && e.Leaving == change.Leaving
	}
	a, b := e.Server, change.Server
	a.WarmUntil, b.WarmUntil = time.Time{}, time.Time{}
	a.Seq, b.Seq = 0, 0
	return a == b
}

// trimLocked deletes the older half of the tombstones if there are too many entries.
func (d *Directory) trimLocked() {
	if len(d.entries) <= maxEntries {
		return
	}
	var tombstones []*entry
	for _, e := range d.entries {
		if e.Removed && e.heldUntil.IsZero() {
			tombstones = append(tombstones, e)
		}
	}
	slices.SortFunc(tombstones, func(a, b *entry) int { return int(int64(a.Version) - int64(b.Version)) })
	for _, e := range tombstones[:len(tombstones)/2] {
		delete(d.entries, e.ID)
	}
}

// Expire takes the removed entries whose grace period has ended out of use and returns
// their IDs.
func (d *Directory) Expire(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held == 0 {
		return nil
	}
	var expired []string
	d.held = 0
	for id, e := range d.entries {
		if !e.heldUntil.IsZero() && !now.Before(e.heldUntil) {
			e.heldUntil = time.Time{}
			e.Server = Server{ID: id, Born: e.Born}
			expired = append(expired, id)
		} else if !e.heldUntil.IsZero() {
			d.held++
		}
	}
	if len(expired) > 0 {
		d.rebuildLocked(now)
	}
	return expired
}

// Leave records that a server, since the given start, said in an answer that it leaves. It
// is out of use then, whatever the store says of it, until it has started again. Leave
// returns the change for other instances, and false if there is nothing new.
func (d *Directory) Leave(id string, born int64) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	if e == nil || e.Leaving || e.Born != born {
		return Change{}, false
	}
	e.Leaving = true
	d.rebuildLocked(time.Now())
	return e.Change, true
}

// Retire takes a server out of use without a change of its entry in the store, because
// another server responds at its address. It returns false and changes nothing if the entry
// is missing, draining or removed. A newer entry puts the server back into use.
func (d *Directory) Retire(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	if e == nil || e.Draining || e.Removed {
		return false
	}
	e.Draining = true
	d.rebuildLocked(time.Now())
	return true
}

// Since returns the changes newer than a version, including tombstones.
func (d *Directory) Since(version uint64) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for _, e := range d.entries {
		if e.Version > version {
			changes = append(changes, e.Change)
		}
	}
	return changes
}

// inUse reports whether the server accepts new requests. A removed one still counts as
// in use during its grace period.
func (e *entry) inUse(now time.Time) bool {
	return !e.Draining && !e.Leaving && (!e.Removed || now.Before(e.heldUntil))
}

// rebuildLocked rebuilds the index.
func (d *Directory) rebuildLocked(now time.Time) {
	byService, byDataCentre := make(map[string][]Server), make(map[string][]Server)
	evacuated := make(map[string][]Server)
	for _, e := range d.entries {
		if !e.inUse(now) {
			continue
		}
		if d.evacuations.centres[e.DataCentre] {
			evacuated[e.DataCentre] = append(evacuated[e.DataCentre], e.Server)
			continue
		}
		byService[e.Service] = append(byService[e.Service], e.Server)
		byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e.Server)
	}
	for _, servers := range byService {
		slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	}
	d.index.Store(&index{byService: byService, byDataCentre: byDataCentre, evacuated: evacuated, evacuations: d.evacuations})
}
