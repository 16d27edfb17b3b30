package peer

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pomelolock/pomelolock/storage"
)

// target is an instance with which the mesh maintains a session.
type target struct {
	instance storage.Instance
	cancel   context.CancelFunc
	// dialing is true while a dial is in progress.
	dialing bool
	// lastSession is the ID of the latest session with the target.
	lastSession uint64
	// dialFailing is true from a failed dial until one succeeds.
	dialFailing bool
	// wake ends the wait before the next dial early.
	wake chan struct{}
}

// SetTargets replaces the set of instances to maintain sessions with. Sessions
// with other instances stay open but are not redialled. Self and instances
// without a peer address are ignored.
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
	current := m.targets[instance.ID]
	if m.closed || current != nil && current.instance.PeerAddress == instance.PeerAddress {
		return
	}
	if current != nil {
		current.cancel()
	}
	ctx, cancel := context.WithCancel(m.ctx)
	t := &target{instance: instance, cancel: cancel, wake: make(chan struct{}, 1)}
	m.targets[instance.ID] = t
	m.wg.Go(func() { m.maintainSession(ctx, t) })
}

// maintainSession dials the target whenever there is no session with it, until
// ctx ends.
func (m *Mesh) maintainSession(ctx context.Context, t *target) {
	backoff := m.opts.RedialMin
	if m.opts.Self.ID > t.instance.ID {
		// The lower ID dials first, so that the two sides rarely dial
		// simultaneously.
		m.waitToRedial(ctx, t, m.opts.RedialMin)
	}
	for ctx.Err() == nil {
		last, ok := m.beginDial(t)
		if !ok {
			m.waitToRedial(ctx, t, m.opts.RedialMax)
			continue
		}
		if m.dialTarget(ctx, t, last) {
			backoff = m.opts.RedialMin
			continue
		}
		m.waitToRedial(ctx, t, jitter(backoff))
		backoff = min(2*backoff, m.opts.RedialMax)
	}
}

// waitToRedial waits for d, or less if a session with the target closes or ctx
// ends.
func (m *Mesh) waitToRedial(ctx context.Context, t *target, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.wake:
	case <-ctx.Done():
	}
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}

// beginDial marks the target as being dialled if it has no session. It returns
// the ID of the previous session and whether to dial.
func (m *Mesh) beginDial(t *target) (last uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.dialing = m.sessions[t.instance.ID] == nil
	return t.lastSession, t.dialing
}

// dialTarget dials the target and serves the session until it closes. It reports
// whether a session was opened.
func (m *Mesh) dialTarget(ctx context.Context, t *target, last uint64) bool {
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
		m.recordDialFailure(ctx, t, err)
		return false
	}
	t.dialFailing = false
	m.serveSession(s)
	return true
}

// recordDialFailure counts a failed dial and logs it, at debug level if the
// previous dial failed too. Refusals by the peer and cancelled dials are
// ignored.
func (m *Mesh) recordDialFailure(ctx context.Context, t *target, err error) {
	var refused *RefusedError
	if ctx.Err() != nil || errors.As(err, &refused) {
		return
	}
	m.counters.dialFailures.Add(1)
	level := slog.LevelWarn
	if t.dialFailing {
		level = slog.LevelDebug
	}
	t.dialFailing = true
	m.opts.Logger.Log(ctx, level, "peer_dial_failed", "peer", t.instance.ID, "address", t.instance.PeerAddress, "error", err)
}

// DuplicateError reports a session that was closed or refused because another
// session with the same peer is kept, or because the mesh is closed.
type DuplicateError struct {
	InstanceID string
}

func (e *DuplicateError) Error() string {
	return "peer: the other session with " + e.InstanceID + " is kept"
}

// register makes s the session with its peer and closes the previous one, or fails
// with [DuplicateError]. peerLastSession is the ID of the latest session that
// the dialler of an incoming session knew.
func (m *Mesh) register(s *session, peerLastSession uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous, t := m.sessions[s.peer.ID], m.targets[s.peer.ID]
	if m.closed || !s.dialed && m.isSimultaneousDialLocked(previous, t, s.peer.ID, peerLastSession) {
		return &DuplicateError{InstanceID: s.peer.ID}
	}
	m.sessions[s.peer.ID] = s
	m.counters.opened.Add(1)
	if t != nil {
		t.lastSession = s.id
	}
	if previous != nil {
		previous.close(&DuplicateError{InstanceID: s.peer.ID})
		return nil
	}
	m.emitLocked(Event{InstanceID: s.peer.ID, DataCentre: s.peer.DataCentre, Up: true})
	return nil
}

// isSimultaneousDialLocked reports whether an incoming session was dialled at
// the same time as one of the local instance and is to be refused in its favour.
// While both dials are in progress, the instance with the lower ID refuses the
// other's. The same holds if the local instance's dial has completed, but the
// peer did not know that session when it dialled. In all other cases the peer
// redials because it lost the earlier session, which the new one replaces.
func (m *Mesh) isSimultaneousDialLocked(previous *session, t *target, id string, peerLastSession uint64) bool {
	if previous == nil {
		return t != nil && t.dialing && m.opts.Self.ID < id
	}
	return previous.dialed && previous.id != peerLastSession
}

// serveSession serves a registered session until it closes.
func (m *Mesh) serveSession(s *session) {
	m.opts.Logger.Info("peer_up", "peer", s.peer.ID, "data_centre", s.peer.DataCentre)
	s.run()
	m.unregister(s)
	m.opts.Logger.Info("peer_down", "peer", s.peer.ID, "error", context.Cause(s.ctx))
}

// unregister removes a closed session, unless another has replaced it, and
// triggers a redial.
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

// emitLocked sends the event to the subscribers whose buffers have space.
func (m *Mesh) emitLocked(event Event) {
	for _, events := range m.events {
		select {
		case events <- event:
		default:
		}
	}
}
