package table

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// NotReadyError tells why an instance cannot know that it has the present
// version in force.
type NotReadyError struct {
	Reason string
}

func (e *NotReadyError) Error() string { return "table: not ready: " + e.Reason }

// syncState is what an instance knows about versions.
type syncState struct {
	started time.Time
	// held is the version in force; the zero value before the first.
	held Accepted

	// storeRead is when the store answered last, and storeHead what.
	storeRead time.Time
	storeHead Ref
	storeDown bool

	// peers holds what each connected peer offered last, and peerRead when
	// the last answer with a version arrived.
	peers    map[string]Ref
	peerRead time.Time
	// asked is set once all peers of a first round answered or failed.
	asked bool
	// silence is how long nobody may answer.
	silence time.Duration

	// refused holds an offered version that was never accepted.
	refused Ref
	// behind is since when a version above the held one is known.
	behind time.Time
	// joined is set once the instance was ready.
	joined bool
}

func newSyncState(silence time.Duration) syncState {
	return syncState{peers: make(map[string]Ref), silence: silence}
}

// noteStore records an answer of the store and reports whether it became
// readable or unreadable.
func (st *syncState) noteStore(now time.Time, head Ref, err error) bool {
	wasDown := st.storeDown
	st.storeDown = err != nil
	if err == nil {
		st.storeRead = now
		if head.Version >= st.storeHead.Version {
			st.storeHead = head
		}
	}
	st.updateBehind(now)
	return wasDown != st.storeDown
}

func (st *syncState) notePeer(now time.Time, o offer) {
	st.peers[o.from] = o.ref
	if o.ref.Version > 0 {
		st.peerRead = now
	}
	st.updateBehind(now)
}

func (st *syncState) forgetPeer(id string) {
	delete(st.peers, id)
}

// keepPeers forgets peers whose closed sessions went unnoticed.
func (st *syncState) keepPeers(connected []string) {
	maps.DeleteFunc(st.peers, func(id string, _ Ref) bool { return !slices.Contains(connected, id) })
}

func (st *syncState) refuse(ref Ref) {
	st.refused = ref
}

// holders returns the peers that hold exactly this version, sorted.
func (st *syncState) holders(ref Ref) []string {
	var ids []string
	for id, held := range st.peers {
		if held == ref {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// bestOffer returns the highest version above the held one that a peer offers
// and that was not refused.
func (st *syncState) bestOffer() (offer, bool) {
	best := offer{ref: st.held.Ref}
	for id, ref := range st.peers {
		higher := ref.Version > best.ref.Version || ref.Version == best.ref.Version && best.from != "" && id < best.from
		if higher && ref != st.refused {
			best = offer{from: id, ref: ref}
		}
	}
	return best, best.from != ""
}

func (st *syncState) updateBehind(now time.Time) {
	_, offered := st.bestOffer()
	if !offered && st.storeHead.Version <= st.held.Ref.Version {
		st.behind = time.Time{}
	} else if st.behind.IsZero() {
		st.behind = now
	}
}

// late reports whether a higher version has been known for longer than
// adoptWait.
func (st *syncState) late(now time.Time) bool {
	return !st.behind.IsZero() && now.Sub(st.behind) > adoptWait
}

// ready decides whether the held version is the present one, as far as the
// store and the peers tell.
func (st *syncState) ready(now time.Time, alone bool) error {
	st.updateBehind(now)
	if st.held.Ref.Version == 0 {
		return &NotReadyError{Reason: "no table is known yet"}
	}
	if err := st.known(now, alone); err != nil {
		return err
	}
	if err := st.current(now); err != nil {
		return err
	}
	st.joined = true
	return nil
}

// known checks that the store or a peer answered, and lately enough.
func (st *syncState) known(now time.Time, alone bool) error {
	answered := alone || st.asked && !st.peerRead.IsZero()
	if !st.joined && !answered && now.Sub(st.started) < firstAnswerWait {
		return &NotReadyError{Reason: "no peer has answered yet"}
	}
	if st.storeRead.IsZero() && st.peerRead.IsZero() && !st.joined {
		return &NotReadyError{Reason: "neither the store nor a peer has answered yet"}
	}
	heard := st.storeRead
	if st.peerRead.After(heard) {
		heard = st.peerRead
	}
	if silence := now.Sub(heard); !alone && silence > st.silence {
		return &NotReadyError{Reason: fmt.Sprintf("neither the store nor a peer answered for %v", silence.Round(time.Second))}
	}
	return nil
}

// current checks that no higher version is known. A running instance has
// adoptWait to put it in force. An offer that the store does not confirm makes
// only a new instance wait, and not for longer than adoptWait.
func (st *syncState) current(now time.Time) error {
	if st.behind.IsZero() {
		return nil
	}
	late := st.late(now)
	best, _ := st.bestOffer()
	unconfirmed := !st.storeDown && st.storeHead.Version <= st.held.Ref.Version
	if unconfirmed && (st.joined || late) || !unconfirmed && st.joined && !late {
		return nil
	}
	version := max(best.ref.Version, st.storeHead.Version)
	return &NotReadyError{Reason: fmt.Sprintf("version %d is accepted but not in force", version)}
}
