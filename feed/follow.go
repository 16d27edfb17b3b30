package feed

import (
	"encoding/json"
	"time"

	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/gossip"
	"github.com/pomelolock/pomelolock/gossip/gossippb"
	"github.com/pomelolock/pomelolock/table"
)

// Freshness implements [gossip.Follower].
func (f *Feed) Freshness() gossip.Freshness {
	_, evacuations, _ := f.opts.Directory.Evacuations()
	// The proof is read before the version: of a later version, it proves less.
	era := f.Era()
	asOf := f.tableAsOf(era)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.era != era {
		// A time of one era says nothing in another.
		asOf = 0
	}
	return gossip.Freshness{
		TableAsOf:          asOf,
		EvacuationsVersion: evacuations,

		ServersVersion: f.opts.Directory.Version(),
		TableVersion:   f.tableVersion(),
		At:             f.freshAt,
		Read:           f.read,
		Era:            f.era,
	}
}

// Wanted implements [gossip.Follower]. The first state of a process has to be whole: after a
// restore of the store, peers know of servers that left and that the copy still lists.
func (f *Feed) Wanted() (serversVersion, tableVersion uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.heardState {
		return 0, f.tableVersion()
	}
	return f.opts.Directory.Version(), f.tableVersion()
}

// ReceiveDeparture implements [gossip.Follower].
func (f *Feed) ReceiveDeparture(from, server string, born int64) {
	if _, changed := f.opts.Directory.Leave(server, born); changed {
		f.opts.Logger.Info("server leaving", "server", server, "born", born, "source", from)
	}
}

func (f *Feed) tableVersion() uint64 {
	if snapshot := f.opts.Current.Load(); snapshot != nil {
		return snapshot.Version()
	}
	return 0
}

// ReceiveFreshness implements [gossip.Follower].
func (f *Feed) ReceiveFreshness(_ string, theirs gossip.Freshness) (behind bool) {
	f.receiveProof(theirs)
	f.mu.Lock()
	defer f.mu.Unlock()
	servers, tableVersion := f.opts.Directory.Version(), f.tableVersion()
	_, evacuations, evacuationsKnown := f.opts.Directory.Evacuations()
	f.era = max(f.era, theirs.Era)
	if !f.heardState && theirs.ServersVersion > 0 && !f.opts.FirstStart {
		return true
	}
	if theirs.ServersVersion > servers || theirs.TableVersion > tableVersion || theirs.EvacuationsVersion > evacuations {
		return true
	}
	if !evacuationsKnown && theirs.ServersVersion > 0 {
		// The peer may know that no data centre is evacuated.
		return true
	}
	if theirs.ServersVersion < servers || theirs.TableVersion < tableVersion || theirs.EvacuationsVersion < evacuations {
		return false
	}
	// A read that was already counted, or that this process made itself, confirms
	// nothing new. Without this check, every further path by which a read arrives
	// would make it look slightly more recent.
	if theirs.Read.Process == f.process || theirs.Read.Number <= f.peerReads[theirs.Read.Process] {
		return false
	}
	if len(f.peerReads) >= maxTrackedProcesses {
		clear(f.peerReads)
	}
	f.peerReads[theirs.Read.Process] = theirs.Read.Number
	if theirs.At.After(f.peerFreshAt) {
		f.peerFreshAt = theirs.At
	}
	if theirs.At.After(f.freshAt) {
		f.freshAt, f.read = theirs.At, theirs.Read
	}
	return false
}

// ReceiveState implements [gossip.Follower].
func (f *Feed) ReceiveState(from string, state *gossippb.State) {
	f.mu.Lock()
	f.heardState = f.heardState || state.GetBase() == 0
	if hold := time.Now().Add(time.Duration(state.GetHoldMs()) * time.Millisecond); hold.After(f.holdUntil) && state.GetHoldMs() > 0 {
		f.holdUntil = hold
	}
	hold := f.holdUntil
	f.mu.Unlock()
	// Before the servers, so that a new process never uses those of an evacuated data centre.
	f.receiveEvacuations(from, state.GetEvacuations())
	applied := f.opts.Directory.Apply(decodeChanges(state.GetServers()), state.GetBase(), state.GetVersion(), hold)
	if state.GetBase() == 0 && len(state.GetServers()) > 0 {
		f.opts.Directory.MarkSynced()
	}
	f.logChanges(applied, from)
	if len(state.GetTable()) == 0 {
		return
	}
	var doc table.Document
	if err := json.Unmarshal(state.GetTable(), &doc); err != nil {
		f.opts.Logger.Warn("decoding the received table failed", "from", from, "error", err)
		return
	}
	f.activate(doc, from)
}

// State implements [gossip.Follower].
func (f *Feed) State(serversVersion, tableVersion uint64) *gossippb.State {
	state := &gossippb.State{Base: serversVersion, Version: f.opts.Directory.Version()}
	if state.Version > serversVersion {
		state.Servers = encodeChanges(f.opts.Directory.Since(serversVersion))
	} else {
		state.Base = state.Version
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	state.HoldMs = holdMS(f.holdUntil)
	if f.tableVersion() > tableVersion {
		state.Table = f.table
	}
	state.Evacuations = f.encodeEvacuations()
	if len(state.Servers) == 0 && len(state.Table) == 0 && state.Evacuations == nil {
		return nil
	}
	return state
}

func holdMS(until time.Time) uint32 { return uint32(max(time.Until(until).Milliseconds(), 0)) }

func encodeChanges(changes []directory.Change) []*gossippb.Server {
	now := time.Now()
	encoded := make([]*gossippb.Server, len(changes))
	for i, c := range changes {
		encoded[i] = &gossippb.Server{
			Id: c.ID, Version: c.Version, Gone: c.Removed, Service: c.Service, Address: c.Address,
			DataCentre: c.DataCentre, Slots: uint32(c.Slots), Draining: c.Draining, BornMs: c.Born,
			Leaving: c.Leaving, Seq: c.Seq,
			WarmUpMs: uint32(max(c.WarmUntil.Sub(now).Milliseconds(), 0)),
		}
	}
	return encoded
}

func decodeChanges(encoded []*gossippb.Server) []directory.Change {
	now := time.Now()
	changes := make([]directory.Change, len(encoded))
	for i, s := range encoded {
		changes[i] = directory.Change{
			Server: directory.Server{
				ID: s.GetId(), Service: s.GetService(), Address: s.GetAddress(), DataCentre: s.GetDataCentre(),
				Slots: int(s.GetSlots()), Draining: s.GetDraining(), Born: s.GetBornMs(), Seq: s.GetSeq(),
				WarmUntil: now.Add(time.Duration(s.GetWarmUpMs()) * time.Millisecond),
			},
			Version: s.GetVersion(),
			Removed: s.GetGone(),
			Leaving: s.GetLeaving(),
		}
	}
	return changes
}
