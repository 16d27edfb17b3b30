package feed

import (
	"slices"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/gossip/gossippb"
)

// evacuationState guards changes of the evacuated data centres, which the directory holds.
type evacuationState struct {
	mu sync.Mutex
	// confirmed is the newest store version as of which the set in the directory is known to
	// be right. It is at least the version at which the set last changed.
	confirmed uint64
}

// applyEvacuations applies what a read of the store says of evacuated data centres. asked is
// when the store was asked.
//
// The version of the set is that of the newest row that led to it, so that several readers
// arrive at the same one. A complete read that contradicts the known set has found rows
// missing, whose removal has no row: the version is then that of the read.
func (f *Feed) applyEvacuations(state Desired, version uint64, asked time.Time) {
	f.evacuations.mu.Lock()
	current, currentVersion, known := f.opts.Directory.Evacuations()
	if !known && !state.Complete || known && state.Complete && version <= f.evacuations.confirmed {
		f.evacuations.mu.Unlock()
		return
	}
	next, newest := slices.Clone(current), currentVersion
	if state.Complete {
		next, newest = nil, 0
	}
	for centre, row := range state.Evacuations {
		if !state.Complete && row.Version <= f.evacuations.confirmed {
			// A peer's set, which is newer than this change, includes it.
			continue
		}
		next = slices.DeleteFunc(next, func(c string) bool { return c == centre })
		if row.InForce {
			next = append(next, centre)
		}
		newest = max(newest, row.Version)
	}
	slices.Sort(next)
	if state.Complete {
		newest = min(newest, version)
		if known && !slices.Equal(next, current) {
			newest = version
		}
	}
	f.evacuations.confirmed = max(f.evacuations.confirmed, version)
	c := f.setEvacuatedLocked(newest, next)
	f.evacuations.mu.Unlock()
	c.age = time.Since(asked)
	f.logEvacuations(c, "store")
	if !known || len(c.evacuated)+len(c.returned) == 0 {
		// The peers have the first set of a process, or request it.
		return
	}
	v := f.opts.Directory.Version()
	f.opts.Exchange.SendStateAll(&gossippb.State{Base: v, Version: v, Evacuations: f.encodeEvacuations()})
	f.opts.Exchange.Flush()
}

// receiveEvacuations applies the set of a peer; nil if the peer does not know it.
func (f *Feed) receiveEvacuations(from string, theirs *gossippb.Evacuations) {
	if theirs == nil {
		return
	}
	age := f.Age()
	f.evacuations.mu.Lock()
	current, currentVersion, known := f.opts.Directory.Evacuations()
	version, next := theirs.GetVersion(), slices.Sorted(slices.Values(theirs.GetDataCentres()))
	if known && version <= currentVersion {
		f.evacuations.mu.Unlock()
		return
	}
	if known && version <= f.evacuations.confirmed && !slices.Equal(next, current) {
		// This process has read the store later and found something else, whose version it
		// could not tell. The version of its read makes the others take its set.
		version, next = f.evacuations.confirmed, current
	}
	f.evacuations.confirmed = max(f.evacuations.confirmed, version)
	c := f.setEvacuatedLocked(version, next)
	f.evacuations.mu.Unlock()
	c.age = age
	f.logEvacuations(c, from)
}

// evacuationChange is a change of the set of evacuated data centres.
type evacuationChange struct {
	version uint64
	// age is how old the information is at most.
	age                 time.Duration
	evacuated, returned []string
	// servers and inFlight count the servers of each data centre that changed and the
	// requests of this instance that run there.
	servers, inFlight map[string]int
}

func (f *Feed) setEvacuatedLocked(version uint64, dataCentres []string) evacuationChange {
	c := evacuationChange{version: version, servers: make(map[string]int), inFlight: make(map[string]int)}
	inUse, before := f.opts.Directory.InDataCentres(), f.opts.Directory.EvacuatedServers()
	c.evacuated, c.returned = f.opts.Directory.SetEvacuated(version, dataCentres)
	for _, centre := range slices.Concat(c.evacuated, c.returned) {
		servers := slices.Concat(inUse[centre], before[centre])
		c.servers[centre] = len(servers)
		if f.opts.InFlight != nil {
			c.inFlight[centre] = f.opts.InFlight(servers)
		}
	}
	return c
}

func (f *Feed) logEvacuations(c evacuationChange, source string) {
	log := func(event, centre string) {
		f.opts.Logger.Info(event, "data_centre", centre, "version", c.version, "source", source, "age", c.age,
			"servers", c.servers[centre], "in_flight", c.inFlight[centre])
	}
	for _, centre := range c.evacuated {
		log("data centre evacuated", centre)
	}
	for _, centre := range c.returned {
		log("data centre in use again", centre)
	}
}

// encodeEvacuations returns the evacuated data centres, or nil if they are not known.
func (f *Feed) encodeEvacuations() *gossippb.Evacuations {
	centres, version, known := f.opts.Directory.Evacuations()
	if !known {
		return nil
	}
	return &gossippb.Evacuations{Version: version, DataCentres: centres}
}
