package peer

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pomelolock/pomelolock/storage"
)

// target is an instance that the mesh keeps a session with.
type target struct {
	instance storage.Instance
	cancel   context.CancelFunc
	// dialing is true while a dial is under way.
	dialing bool
	// last is the ID of the last session with the target.
	last uint64
	// failing is true after a failed dial, until one succeeds.
	failing bool
	// wake ends the wait before the next dial.
	wake chan struct{}
}

// SetTargets replaces the instances to keep sessions with. Sessions with other
// instances stay open but are not dialled again. Self and instances without a
// peer address are ignored.
func (m *Mesh) SetTargets(instances []storage.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[string]bool, len(instances))
	for _, instance := range instances {
		if instance.ID == m.opts.Self.ID || instance.PeerAddress == "" {
			continue
		}
		wanted[instance.ID] = true
		m.setTargetLocked(instance)
	}
	for id, t := range m.targets {
		if !wanted[id] {
			t.cancel()
			delete(m.targets, id)
		}
	}
}

func (m *Mesh) setTargetLocked(instance storage.Instance) {
	present := m.targets[instance.ID]
	if m.closed || present != nil && present.instance.PeerAddress == instance.PeerAddress {
		return
	}
	if present != nil {
		present.cancel()
	}
	ctx, cancel := context.WithCancel(m.ctx)
	t := &target{instance: instance, cancel: cancel, wake: make(chan struct{}, 1)}
	m.targets[instance.ID] = t
	m.wg.Go(func() { m.keepDialled(ctx, t) })
}

// keepDialled opens a session whenever there is none.
func (m *Mesh) keepDialled(ctx context.Context, t *target) {
	backoff := m.opts.RedialMin
	if m.opts.Self.ID > t.instance.ID {
		// The lower ID dials first, so that pairs rarely dial at once.
		m.pause(ctx, t, m.opts.RedialMin)
	}
	for ctx.Err() == nil {
		last, ok := m.beginDial(t)
		if !ok {
			m.pause(ctx, t, m.opts.RedialMax)
			continue
		}
		if m.dialOnce(ctx, t, last) {
			backoff = m.opts.RedialMin
			continue
		}
		m.pause(ctx, t, jittered(backoff))
		backoff = min(2*backoff, m.opts.RedialMax)
	}
}

// pause waits for d or until a session with the target closed.
func (m *Mesh) pause(ctx context.Context, t *target, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.wake:
	case <-ctx.Done():
	}
}

// jittered returns a duration between a half and three halves of d.
func jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}

// beginDial reports whether there is no session with the target, and which
// one there was before.
func (m *Mesh) beginDial(t *target) (last uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.dialing = m.sessions[t.instance.ID] == nil
	return t.last, t.dialing
}

// dialOnce reports whether it opened a session, and returns when that closed.
func (m *Mesh) dialOnce(ctx context.Context, t *target, last uint64) bool {
	s, err := m.dialSession(ctx, t.instance.ID, t.instance.PeerAddress, last)
	if err == nil {
		if err = m.register(s, 0); err != nil {
			s.close(err)
			s.run()
		}
	}
	m.mu.Lock()
	t.dialing = false
	m.mu.Unlock()
	if err != nil {
		m.dialFailed(ctx, t, err)
		return false
	}
	t.failing = false
	m.serveSession(s)
	return true
}

func (m *Mesh) dialFailed(ctx context.Context, t *target, err error) {
	var refused *RefusedError
	if ctx.Err() != nil || errors.As(err, &refused) {
		return
	}
	m.counters.dialFailures.Add(1)
	level := slog.LevelWarn
	if t.failing {
		level = slog.LevelDebug
	}
	t.failing = true
	m.opts.Logger.Log(ctx, level, "peer_dial_failed", "peer", t.instance.ID, "address", t.instance.PeerAddress, "error", err)
}

// DuplicateError reports a second session with a peer that was not kept.
type DuplicateError struct {
	InstanceID string
}

func (e *DuplicateError) Error() string {
	return "peer: the other session with " + e.InstanceID + " is kept"
}

// register makes s the session with its peer, or fails with [DuplicateError].
// last is the last session that the dialler of an incoming session knew.
func (m *Mesh) register(s *session, last uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous, t := m.sessions[s.peer.ID], m.targets[s.peer.ID]
	if m.closed || !s.dialed && m.crossesLocked(previous, t, s.peer.ID, last) {
		return &DuplicateError{InstanceID: s.peer.ID}
	}
	m.sessions[s.peer.ID] = s
	m.counters.opened.Add(1)
	if t != nil {
		t.last = s.id
	}
	if previous != nil {
		previous.close(&DuplicateError{InstanceID: s.peer.ID})
		return nil
	}
	m.emitLocked(Event{InstanceID: s.peer.ID, DataCentre: s.peer.DataCentre, Up: true})
	return nil
}

// crossesLocked reports whether an incoming session was dialled while the
// local instance dialled its own, which is then kept. While both dials are
// under way the lower ID refuses the other's. A session that was dialled here
// and that the peer did not know when it dialled crossed it too. In all other
// cases the peer dials because it lost the earlier session.
func (m *Mesh) crossesLocked(previous *session, t *target, id string, last uint64) bool {
	if previous == nil {
		return t != nil && t.dialing && m.opts.Self.ID < id
	}
	return previous.dialed && previous.id != last
}

// serveSession runs a registered session to its end.
func (m *Mesh) serveSession(s *session) {
	m.opts.Logger.Info("peer_up", "peer", s.peer.ID, "data_centre", s.peer.DataCentre)
	s.run()
	m.unregister(s)
	m.opts.Logger.Info("peer_down", "peer", s.peer.ID, "error", context.Cause(s.ctx))
}

func (m *Mesh) unregister(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.lost.Add(1)
	if m.sessions[s.peer.ID] != s {
		return
	}
	delete(m.sessions, s.peer.ID)
	m.emitLocked(Event{InstanceID: s.peer.ID, DataCentre: s.peer.DataCentre})
	if t := m.targets[s.peer.ID]; t != nil {
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

func (m *Mesh) emitLocked(event Event) {
	for _, events := range m.events {
		select {
		case events <- event:
		default:
		}
	}
}
