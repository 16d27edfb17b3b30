package slot

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/membership"
	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/slot/slotpb"
)

// HandoverError reports a group whose coordinator could not be handed over.
// Another instance takes over as after a crash.
type HandoverError struct {
	Service    string
	DataCentre string
	Err        error
}

func (e *HandoverError) Error() string {
	return fmt.Sprintf("slot: handover of %s in %s: %v", e.Service, e.DataCentre, e.Err)
}

// Unwrap returns the cause.
func (e *HandoverError) Unwrap() error { return e.Err }

// HandoverReason is an error that states why a coordinator could not be handed
// over.
type HandoverReason string

func (r HandoverReason) Error() string { return "slot: " + string(r) }

const (
	errNoSuccessor      HandoverReason = "no successor is connected"
	errTakeoverUnderWay HandoverReason = "a takeover is still under way"
	errRefused          HandoverReason = "the successor did not accept the state"
)

// Handover hands the coordinators of this instance over to other instances and
// lets none start here afterwards. Requests are still served. The error joins
// [HandoverError] values.
func (m *Manager) Handover(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	var errs []error
	for g, d := range m.allDrivers() {
		if err := m.handOver(ctx, g, d); err != nil {
			errs = append(errs, &HandoverError{Service: g.service, DataCentre: g.dataCentre, Err: err})
		}
	}
	return errors.Join(errs...)
}

// handOver stops the coordinator before it offers the state, so that two never
// run even if the response is lost.
func (m *Manager) handOver(ctx context.Context, g group, d *driver) error {
	state, err := d.stop(time.Now())
	m.removeDriver(g, d)
	if err != nil {
		return err
	}
	err = errNoSuccessor
	for _, to := range m.successors(g) {
		if err = m.offer(ctx, to, state); err == nil || !notAccepted(err) {
			return err
		}
	}
	return err
}

// offer sends the state to one successor. It fails with errRefused if the
// successor does not accept it.
func (m *Manager) offer(ctx context.Context, to string, state *slotpb.Handover) error {
	var response slotpb.HandoverAnswer
	if err := m.opts.Messenger.Call(ctx, to, peerpb.Kind_KIND_SLOT_HANDOVER, state, &response); err != nil {
		return fmt.Errorf("call successor: %w", err)
	}
	if !response.GetAccepted() {
		return errRefused
	}
	return nil
}

// notAccepted reports whether the successor certainly doesn't use the state, so
// that it may be offered to another one.
func notAccepted(err error) bool {
	var unreachable *peer.UnreachableError
	return errors.Is(err, errRefused) || errors.As(err, &unreachable)
}

// successors returns the connected instances that may coordinate the group, in
// order of preference: those of its data centre, or all if none is in it.
func (m *Manager) successors(g group) []string {
	var near, all []string
	connected := m.opts.Messenger.Connected()
	for _, instance := range m.opts.View.Entries() {
		if instance.ID == m.self || !slices.Contains(connected, instance.ID) {
			continue
		}
		all = append(all, instance.ID)
		if instance.DataCentre == g.dataCentre {
			near = append(near, instance.ID)
		}
	}
	if len(near) > 0 {
		return membership.Ranked(g.key(), near)
	}
	return membership.Ranked(g.key(), all)
}

// stop ends the coordinator and returns its state. It fails with
// errTakeoverUnderWay while a takeover is under way, and if the coordinator has
// resigned.
func (d *driver) stop(now time.Time) (*slotpb.Handover, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.c.resigned || !d.c.takeoverDone {
		d.c.resigned = true
		return nil, errTakeoverUnderWay
	}
	d.c.resigned = true
	return d.c.handover(now), nil
}

func (c *coordinator) handover(now time.Time) *slotpb.Handover {
	state := &slotpb.Handover{
		Group:       c.group.proto(),
		Epoch:       c.epoch,
		NextSession: c.session,
		DrainMs:     c.maxRunTime.Milliseconds(),
	}
	for id := range c.recorded {
		state.Recorded = append(state.Recorded, id)
	}
	for _, h := range c.holders {
		state.GrantSeq = max(state.GrantSeq, h.grantSeq)
		if !h.admitted {
			continue
		}
		ids := make([]leaseID, 0, len(h.held))
		for id, seq := range h.held {
			if seq != unsent {
				ids = append(ids, id)
			}
		}
		state.Holders = append(state.Holders, &slotpb.HolderState{
			Holder: h.id, Session: h.session, AskSeq: h.askSeq,
			Held: packIDs(ids), SilentMs: now.Sub(h.lastAskAt).Milliseconds(),
		})
	}
	return state
}

// resume returns the successor's coordinator, which runs under the same epoch.
// Holders accept it because its grants continue the sequence numbers of its
// predecessor.
func resume(state *slotpb.Handover, self string, now time.Time) *coordinator {
	c := newCoordinator(coordinatorConfig{
		group: groupOf(state.GetGroup()), self: self, epoch: state.GetEpoch(), takeoverDone: true,
		maxRunTime: time.Duration(state.GetDrainMs()) * time.Millisecond, recorded: state.GetRecorded(),
		grantBase: state.GetGrantSeq(),
	}, now)
	c.session = state.GetNextSession()
	for _, s := range state.GetHolders() {
		h := c.holder(s.GetHolder(), now)
		h.acceptedEpoch, h.admitted, h.gatherDue = true, true, true
		h.session, h.askSeq = s.GetSession(), s.GetAskSeq()
		h.lastAskAt = now.Add(-time.Duration(s.GetSilentMs()) * time.Millisecond)
		for _, id := range unpackIDs(s.GetHeld()) {
			c.charge(h, id, h.grantSeq)
		}
	}
	return c
}

func (m *Manager) handleHandover(_ context.Context, _ string, payload []byte) (proto.Message, error) {
	var state slotpb.Handover
	if err := proto.Unmarshal(payload, &state); err != nil {
		return nil, fmt.Errorf("decode handover: %w", err)
	}
	now := time.Now()
	c := resume(&state, m.self, now)
	if !m.addDriver(c, now) {
		return &slotpb.HandoverAnswer{}, nil
	}
	m.submit(storeJob{group: c.group})
	m.tickDrivers(now)
	return &slotpb.HandoverAnswer{Accepted: true}, nil
}
