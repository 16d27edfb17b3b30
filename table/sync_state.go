package table

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// NotReadyError reports why an instance can't confirm that the latest version is
// active.
type NotReadyError struct {
	Reason string
}

func (e *NotReadyError) Error() string { return "table: not ready: " + e.Reason }

// syncState holds what an instance knows about the versions of the store and of its
// peers.
type syncState struct {
	started time.Time
	// active is the version in use at this instance; the zero value before the first.
	active Accepted

	// lastStoreRead is the time of the last successful read of the store, and
	// storeHead the highest version read.
	lastStoreRead   time.Time
	storeHead       Ref
	storeUnreadable bool

	// peers holds the latest offer of each connected peer. lastPeerOffer is when
	// the last offer with a version was received.
	peers         map[string]Ref
	lastPeerOffer time.Time
	// initialExchangeDone is set after the first exchange with peers, whether or
	// not its calls succeeded.
	initialExchangeDone bool
	// contactTimeout is how long the instance stays ready without a response from
	// the store or a peer.
	contactTimeout time.Duration

	// rejected is the last offered version that the store showed not to be accepted.
	rejected Ref
	// behindSince is when a version higher than the active one became known; zero
	// if none is known.
	behindSince time.Time
	// wasReady is set once the instance has been ready.
	wasReady bool
}

func newSyncState(contactTimeout time.Duration) syncState {
	return syncState{peers: make(map[string]Ref), contactTimeout: contactTimeout}
}

// recordStoreRead records the result of reading the head and reports whether the
// store became readable or unreadable.
func (st *syncState) recordStoreRead(now time.Time, head Ref, err error) bool {
	wasDown := st.storeUnreadable
	st.storeUnreadable = err != nil
	if err == nil {
		st.lastStoreRead = now
		if head.Version >= st.storeHead.Version {
			st.storeHead = head
		}
	}
	st.updateBehindSince(now)
	return wasDown != st.storeUnreadable
}

func (st *syncState) recordPeerOffer(now time.Time, o offer) {
	st.peers[o.from] = o.ref
	if o.ref.Version > 0 {
		st.lastPeerOffer = now
	}
	st.updateBehindSince(now)
}

func (st *syncState) removePeer(id string) {
	delete(st.peers, id)
}

// retainPeers removes all peers that are not connected. It covers sessions whose
// closing event was missed.
func (st *syncState) retainPeers(connected []string) {
	maps.DeleteFunc(st.peers, func(id string, _ Ref) bool { return !slices.Contains(connected, id) })
}

func (st *syncState) reject(ref Ref) {
	st.rejected = ref
}

// holders returns the sorted IDs of the peers at which exactly this version is
// active.
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

// bestOffer returns the highest offered version that is higher than the active one
// and was not rejected. Of peers with the same version it returns the lowest ID.
func (st *syncState) bestOffer() (offer, bool) {
	best := offer{ref: st.active.Ref}
	for id, ref := range st.peers {
		higher := ref.Version > best.ref.Version || ref.Version == best.ref.Version && best.from != "" && id < best.from
		if higher && ref != st.rejected {
			best = offer{from: id, ref: ref}
		}
	}
	return best, best.from != ""
}

func (st *syncState) updateBehindSince(now time.Time) {
	_, offered := st.bestOffer()
	if !offered && st.storeHead.Version <= st.active.Ref.Version {
		st.behindSince = time.Time{}
	} else if st.behindSince.IsZero() {
		st.behindSince = now
	}
}

// overdue reports whether a higher version has been known for longer than
// maxActivationDelay.
func (st *syncState) overdue(now time.Time) bool {
	return !st.behindSince.IsZero() && now.Sub(st.behindSince) > maxActivationDelay
}

// ready returns nil if, as far as the store and the peers report, the active
// version is the latest one.
func (st *syncState) ready(now time.Time, onlyInstance bool) error {
	st.updateBehindSince(now)
	if st.active.Ref.Version == 0 {
		return &NotReadyError{Reason: "no table is known yet"}
	}
	if err := st.checkContact(now, onlyInstance); err != nil {
		return err
	}
	if err := st.checkUpToDate(now); err != nil {
		return err
	}
	st.wasReady = true
	return nil
}

// checkContact checks that the store or a peer has responded within contactTimeout.
// A new instance also waits up to initialPeerTimeout for a peer. The only instance
// in the membership view needs neither a peer nor recent contact.
func (st *syncState) checkContact(now time.Time, onlyInstance bool) error {
	peerResponded := onlyInstance || st.initialExchangeDone && !st.lastPeerOffer.IsZero()
	if !st.wasReady && !peerResponded && now.Sub(st.started) < initialPeerTimeout {
		return &NotReadyError{Reason: "no peer has answered yet"}
	}
	if st.lastStoreRead.IsZero() && st.lastPeerOffer.IsZero() && !st.wasReady {
		return &NotReadyError{Reason: "neither the store nor a peer has answered yet"}
	}
	lastContact := st.lastStoreRead
	if st.lastPeerOffer.After(lastContact) {
		lastContact = st.lastPeerOffer
	}
	if sinceContact := now.Sub(lastContact); !onlyInstance && sinceContact > st.contactTimeout {
		return &NotReadyError{Reason: fmt.Sprintf("neither the store nor a peer answered for %v", sinceContact.Round(time.Second))}
	}
	return nil
}

// checkUpToDate checks that no higher version is known. An instance that was
// ready before has maxActivationDelay to activate a higher version. An offer that
// the store does not confirm delays only a new instance, by at most
// maxActivationDelay.
func (st *syncState) checkUpToDate(now time.Time) error {
	if st.behindSince.IsZero() {
		return nil
	}
	overdue := st.overdue(now)
	best, _ := st.bestOffer()
	unconfirmed := !st.storeUnreadable && st.storeHead.Version <= st.active.Ref.Version
	if unconfirmed && (st.wasReady || overdue) || !unconfirmed && st.wasReady && !overdue {
		return nil
	}
	version := max(best.ref.Version, st.storeHead.Version)
	return &NotReadyError{Reason: fmt.Sprintf("version %d is accepted but not in force", version)}
}
