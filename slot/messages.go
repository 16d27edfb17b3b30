package slot

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/slot/slotpb"
)

// frameOverhead is the size of the envelope around a payload, in bytes.
const frameOverhead = 12

// sendAsks sends the Ask messages that are due, in one batch per coordinator.
func (m *Manager) sendAsks(now time.Time) {
	batches := make(map[string]*slotpb.AskBatch)
	for _, s := range m.allServices() {
		m.collectAsks(s, batches, now)
	}
	for _, to := range slices.Sorted(maps.Keys(batches)) {
		batch := batches[to]
		m.counters.asks.Add(uint64(len(batch.GetAsks())))
		if to == m.self {
			m.onAsks(m.self, batch, now)
			continue
		}
		m.send(to, peerpb.Kind_KIND_SLOT_ASK, batch)
	}
}

func (m *Manager) collectAsks(s *service, batches map[string]*slotpb.AskBatch, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holders {
		if !h.askDue {
			continue
		}
		to, lost := m.destination(h, now)
		if to == "" {
			continue
		}
		ask := h.ask(now)
		ask.Suspect = ask.GetSuspect() || lost
		if batches[to] == nil {
			batches[to] = &slotpb.AskBatch{}
		}
		batches[to].Asks = append(batches[to].Asks, ask)
	}
}

// destination returns the instance to send an Ask to: the known coordinator, or
// the candidate if none is known or the known one is suspected or not connected.
// lost reports that a known coordinator was passed over.
func (m *Manager) destination(h *holder, now time.Time) (to string, lost bool) {
	known := h.coordinator
	if known != "" && !h.suspect(now) && m.reachable(known) {
		return known, false
	}
	return m.candidate(h.group, known), known != ""
}

func (m *Manager) reachable(id string) bool {
	return id == m.self || slices.Contains(m.opts.Messenger.Connected(), id)
}

func (m *Manager) send(to string, kind peerpb.Kind, msg proto.Message) {
	size := proto.Size(msg) + frameOverhead
	m.pacer.add(size)
	m.counters.bytes.Add(uint64(size))
	m.counters.messages.Add(1)
	if err := m.opts.Messenger.Send(to, kind, msg); err != nil {
		m.counters.unsent.Add(1)
	}
}

func (m *Manager) handleAsk(_ context.Context, from string, payload []byte) (proto.Message, error) {
	var batch slotpb.AskBatch
	if err := proto.Unmarshal(payload, &batch); err != nil {
		return nil, fmt.Errorf("decode asks: %w", err)
	}
	m.onAsks(from, &batch, time.Now())
	return nil, nil
}

func (m *Manager) handleGrant(_ context.Context, from string, payload []byte) (proto.Message, error) {
	var batch slotpb.GrantBatch
	if err := proto.Unmarshal(payload, &batch); err != nil {
		return nil, fmt.Errorf("decode grants: %w", err)
	}
	m.onGrants(from, &batch, time.Now())
	return nil, nil
}

func (m *Manager) onGrants(from string, batch *slotpb.GrantBatch, now time.Time) {
	for _, grant := range batch.GetGrants() {
		m.mu.RLock()
		s := m.services[grant.GetGroup().GetService()]
		m.mu.RUnlock()
		if s != nil {
			s.onGrant(from, grant, now)
		}
	}
	m.wake()
}

// onAsks passes a batch of Ask messages to the coordinators here and sends the
// grants that follow. For a group without one it submits a takeover job.
func (m *Manager) onAsks(from string, batch *slotpb.AskBatch, now time.Time) {
	var grants []outgoingGrant
	for _, ask := range batch.GetAsks() {
		g := groupOf(ask.GetGroup())
		d := m.driver(g)
		if d == nil {
			m.submit(storeJob{group: g, from: from, epoch: ask.GetEpoch(), suspect: ask.GetSuspect()})
			continue
		}
		grants = append(grants, d.onAsk(from, ask, now)...)
		m.afterAsk(g, d, now)
	}
	m.sendGrants(grants)
}

// sendGrants sends grants in one batch per holder.
func (m *Manager) sendGrants(grants []outgoingGrant) {
	batches := make(map[string]*slotpb.GrantBatch)
	for _, out := range grants {
		if batches[out.to] == nil {
			batches[out.to] = &slotpb.GrantBatch{}
		}
		batches[out.to].Grants = append(batches[out.to].Grants, out.grant)
		m.counters.grants.Add(uint64(len(out.grant.GetLeases())))
	}
	for _, to := range slices.Sorted(maps.Keys(batches)) {
		if to == m.self {
			m.onGrants(m.self, batches[to], time.Now())
			continue
		}
		m.send(to, peerpb.Kind_KIND_SLOT_GRANT, batches[to])
	}
}
