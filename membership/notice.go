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
	// maxIntroduced bounds the other instances named to a new peer.
	maxIntroduced = 64
	// refreshEvery is the time between repetitions of the whole state to
	// one random peer.
	refreshEvery = 5 * time.Second
	// leaveRetry is the time between attempts to write the leaving row.
	leaveRetry = 250 * time.Millisecond
)

// tellAllLocked sends a notice to all known peers. Those without a session or
// with a full queue get the whole state later.
func (t *Tracker) tellAllLocked(notice *peerpb.Notice) {
	for id := range t.entries.byID {
		if t.opts.Messenger.Send(id, peerpb.Kind_KIND_NOTICE, notice) != nil {
			t.unsent[id] = true
		}
	}
}

// introduceLocked sends the whole state to peers that need it and have a
// session.
func (t *Tracker) introduceLocked() {
	var notice *peerpb.Notice
	for id := range t.unsent {
		known := t.entries.byID[id]
		if known == nil {
			delete(t.unsent, id)
			continue
		}
		if !known.connected {
			continue
		}
		if notice == nil {
			notice = &peerpb.Notice{Entries: t.introductionsLocked(), Servers: t.servers.notices()}
		}
		if t.opts.Messenger.Send(id, peerpb.Kind_KIND_NOTICE, notice) == nil {
			delete(t.unsent, id)
		}
	}
}

// refreshOneLocked picks a peer to send the whole state to, which repairs what
// a lost session event or message left behind.
func (t *Tracker) refreshOneLocked(now time.Time) {
	peers := t.opts.Messenger.Connected()
	if len(peers) == 0 || now.Sub(t.refreshed) < refreshEvery {
		return
	}
	t.refreshed = now
	t.unsent[peers[rand.IntN(len(peers))]] = true
}

// introductionsLocked returns the local instance and a random choice of those
// with a session. Instances without one are not named, so that peers do not
// keep the memory of a lost instance alive among themselves.
func (t *Tracker) introductionsLocked() []*peerpb.Entry {
	known := t.entries.reachable()
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	introduced := []*peerpb.Entry{encodeEntry(t.selfLocked())}
	for _, instance := range known[:min(len(known), maxIntroduced)] {
		introduced = append(introduced, encodeEntry(instance))
	}
	return introduced
}

// handleNotice applies a peer's notice.
func (t *Tracker) handleNotice(_ context.Context, _ string, payload []byte) (proto.Message, error) {
	notice := &peerpb.Notice{}
	if err := proto.Unmarshal(payload, notice); err != nil {
		return nil, err
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range notice.GetEntries() {
		t.entries.learn(decodeEntry(e), now)
	}
	for _, server := range notice.GetServers() {
		if t.servers.merge(server, now) {
			t.opts.Logger.Info("server_state", "address", server.GetAddress(), "leaving", server.GetLeaving())
		}
	}
	t.publishLocked()
	return nil, nil
}

// Leave tells peers and the list that the local instance is leaving, and
// writes the row again until the list took it or ctx ends.
func (t *Tracker) Leave(ctx context.Context) error {
	t.announceLeaving()
	for {
		err := t.opts.List.SetInstance(ctx, t.Self())
		if err == nil {
			return nil
		}
		t.opts.Logger.Debug("leave_failed", "error", err)
		timer := time.NewTimer(leaveRetry)
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
	t.tellAllLocked(&peerpb.Notice{Entries: []*peerpb.Entry{encodeEntry(t.selfLocked())}})
	t.publishLocked()
}

// Remove deletes the local row from the list. Call it when the instance has
// finished its work and Run has ended.
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
