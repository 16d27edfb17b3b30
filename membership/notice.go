package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/storage"
)

const (
	// maxEntriesPerNotice bounds the entry instances, apart from the local
	// one, in a full-state notice.
	maxEntriesPerNotice = 64
	// refreshInterval is the time between full-state notices to a random
	// peer.
	refreshInterval = 5 * time.Second
	// leaveRetryInterval is the delay before writing the leaving row is
	// retried.
	leaveRetryInterval = 250 * time.Millisecond
)

// broadcastLocked sends a notice to all known peers. Peers to which it can't be
// sent, for lack of a session or because of a full queue, get the full state
// later.
func (t *Tracker) broadcastLocked(notice *peerpb.Notice) {
	for id := range t.entries.byID {
		if t.opts.Messenger.Send(id, peerpb.Kind_KIND_NOTICE, notice) != nil {
			t.needFullState[id] = true
		}
	}
}

// sendFullStateLocked sends the full state to the peers in needFullState that
// have a session.
func (t *Tracker) sendFullStateLocked() {
	var notice *peerpb.Notice
	for id := range t.needFullState {
		known := t.entries.byID[id]
		if known == nil {
			delete(t.needFullState, id)
			continue
		}
		if !known.connected {
			continue
		}
		if notice == nil {
			notice = &peerpb.Notice{Entries: t.encodeEntriesLocked(), Servers: t.servers.notices()}
		}
		if t.opts.Messenger.Send(id, peerpb.Kind_KIND_NOTICE, notice) == nil {
			delete(t.needFullState, id)
		}
	}
}

// scheduleRefreshLocked selects a random peer for the full state once per
// refreshInterval. This makes up for lost session events and messages.
func (t *Tracker) scheduleRefreshLocked(now time.Time) {
	peers := t.opts.Messenger.Connected()
	if len(peers) == 0 || now.Sub(t.lastRefresh) < refreshInterval {
		return
	}
	t.lastRefresh = now
	t.needFullState[peers[rand.IntN(len(peers))]] = true
}

// encodeEntriesLocked returns the local instance and a random sample of the
// instances that have a session. The others are left out; otherwise peers would
// keep announcing a lost instance to each other and never remove it.
func (t *Tracker) encodeEntriesLocked() []*peerpb.Entry {
	reachable := t.entries.reachable()
	rand.Shuffle(len(reachable), func(i, j int) { reachable[i], reachable[j] = reachable[j], reachable[i] })
	encoded := []*peerpb.Entry{encodeEntry(t.selfLocked())}
	for _, instance := range reachable[:min(len(reachable), maxEntriesPerNotice)] {
		encoded = append(encoded, encodeEntry(instance))
	}
	return encoded
}

// handleNotice applies a notice received from a peer.
func (t *Tracker) handleNotice(_ context.Context, _ string, payload []byte) (proto.Message, error) {
	notice := &peerpb.Notice{}
	if err := proto.Unmarshal(payload, notice); err != nil {
		return nil, err
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range notice.GetEntries() {
		t.entries.upsert(decodeEntry(e), now)
	}
	for _, server := range notice.GetServers() {
		if t.servers.merge(server, now) {
			t.opts.Logger.Info("server_state", "address", server.GetAddress(), "leaving", server.GetLeaving())
		}
	}
	t.publishLocked()
	return nil, nil
}

// Leave notifies peers that the local instance is leaving and writes the leaving
// row to the list. It retries a failed write until it succeeds or ctx is done,
// in which case it returns the last write error.
func (t *Tracker) Leave(ctx context.Context) error {
	t.announceLeaving()
	for {
		err := t.opts.List.SetInstance(ctx, t.Self())
		if err == nil {
			return nil
		}
		t.opts.Logger.Debug("leave_failed", "error", err)
		timer := time.NewTimer(leaveRetryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}

func (t *Tracker) announceLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return
	}
	t.leaving = true
	t.opts.Logger.Info("leaving")
	t.broadcastLocked(&peerpb.Notice{Entries: []*peerpb.Entry{encodeEntry(t.selfLocked())}})
	t.publishLocked()
}

// Remove deletes the local row from the list. Call it once the instance has
// drained and Run has returned.
func (t *Tracker) Remove(ctx context.Context) error {
	return t.opts.List.RemoveInstance(ctx, t.opts.Self.ID)
}

func encodeEntry(instance storage.Instance) *peerpb.Entry {
	return &peerpb.Entry{
		InstanceId:  instance.ID,
		Region:      instance.Region,
		DataCentre:  instance.DataCentre,
		PeerAddress: instance.PeerAddress,
		Address:     instance.Address,
		Leaving:     instance.State == storage.StateLeaving,
	}
}

func decodeEntry(e *peerpb.Entry) storage.Instance {
	state := storage.StateLive
	if e.GetLeaving() {
		state = storage.StateLeaving
	}
	return storage.Instance{
		ID:          e.GetInstanceId(),
		Role:        storage.RoleEntry,
		Region:      e.GetRegion(),
		DataCentre:  e.GetDataCentre(),
		PeerAddress: e.GetPeerAddress(),
		Address:     e.GetAddress(),
		State:       state,
	}
}
