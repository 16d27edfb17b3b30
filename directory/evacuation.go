package directory

import (
	"maps"
	"slices"
	"time"
)

// evacuations is the set of data centres whose servers get nothing, as of a store version.
type evacuations struct {
	// known is set once the set has been read by this process or received from a peer.
	known   bool
	version uint64
	// centres is replaced, never modified.
	centres map[string]bool
}

// SetEvacuated sets the data centres whose servers are not used, as of a store version, and
// returns those that were added and those that are in use again. Nothing changes if the
// directory has a set of this version or a newer one.
//
// [Directory.OnReturned] is called for each data centre that is in use again.
func (d *Directory) SetEvacuated(version uint64, dataCentres []string) (evacuated, returned []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.evacuations
	if old.known && version <= old.version {
		return nil, nil
	}
	centres := make(map[string]bool, len(dataCentres))
	for _, centre := range dataCentres {
		centres[centre] = true
		if !old.centres[centre] {
			evacuated = append(evacuated, centre)
		}
	}
	for centre := range old.centres {
		if !centres[centre] {
			returned = append(returned, centre)
		}
	}
	slices.Sort(evacuated)
	slices.Sort(returned)
	before := d.index.Load().evacuated
	if d.OnReturned != nil {
		for _, centre := range returned {
			d.OnReturned(centre, before[centre])
		}
	}
	d.evacuations = evacuations{known: true, version: version, centres: centres}
	d.rebuildLocked(time.Now())
	return evacuated, returned
}

// Evacuations returns the evacuated data centres, sorted, and the store version at which the
// set last changed. known is false if this process has not learned the set yet.
func (d *Directory) Evacuations() (dataCentres []string, version uint64, known bool) {
	e := d.index.Load().evacuations
	return slices.Sorted(maps.Keys(e.centres)), e.version, e.known
}

// EvacuationsKnown reports whether the evacuated data centres are known. Until then no server
// may get a request.
func (d *Directory) EvacuationsKnown() bool { return d.index.Load().evacuations.known }

// Evacuated reports whether the servers of a data centre get nothing.
func (d *Directory) Evacuated(dataCentre string) bool {
	return d.index.Load().evacuations.centres[dataCentre]
}

// AnyEvacuated reports whether any data centre is evacuated.
func (d *Directory) AnyEvacuated() bool { return len(d.index.Load().evacuations.centres) > 0 }

// EvacuatedServers returns the servers that accept requests but are in evacuated data centres,
// by data centre, in no particular order. The result must not be modified.
func (d *Directory) EvacuatedServers() map[string][]Server { return d.index.Load().evacuated }
