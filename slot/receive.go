package slot

import (
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/slot/slotpb"
)

// onGrant takes in a grant.
func (h *holder) onGrant(from string, g *slotpb.Grant, now time.Time) {
	if g.GetCoordinator() != "" {
		h.redirect(g, now)
		return
	}
	if g.GetEpoch() < h.epoch || g.GetEpoch() == h.epoch && g.GetSeq() <= h.grantSeq {
		return
	}
	if g.GetEpoch() > h.epoch {
		h.keep = -1
	}
	h.epoch, h.grantSeq = g.GetEpoch(), g.GetSeq()
	h.coordinator, h.waitingSince = from, time.Time{}
	if g.GetGather() {
		h.due = true
		return
	}
	if g.GetSession() != h.session {
		h.startSession(g.GetSession(), now)
	}
	if sent := h.sent.at(g.GetAck()); sent.After(h.basis) {
		h.basis = sent
	}
	h.divisor = int(g.GetConnectionDivisor())
	h.add(g.GetLeases(), now)
	h.recall(g, now)
}

// redirect follows a redirection at once, unless one follows another.
func (h *holder) redirect(g *slotpb.Grant, now time.Time) {
	if g.GetEpoch() < h.epoch || g.GetCoordinator() == h.coordinator {
		return
	}
	h.coordinator = g.GetCoordinator()
	h.due = h.due || now.Sub(h.redirectedAt) >= renewRetry
	h.redirectedAt = now
}

// startSession voids the leases of the previous session. Their requests end as
// they may; the leases are not used again.
func (h *holder) startSession(session uint64, now time.Time) {
	for _, l := range h.leases {
		if l.state != leaseIdle {
			h.staleUntil = now.Add(h.drain)
		}
	}
	clear(h.leases)
	h.session = session
	h.basis = time.Time{}
}

func (h *holder) add(leases []*slotpb.Lease, now time.Time) {
	for _, granted := range leases {
		id := leaseID(granted.GetId())
		if h.leases[id] == nil {
			h.leases[id] = &lease{id: id, server: granted.GetServer(), session: h.session, since: now}
		}
	}
}

// recall marks the leases that the coordinator wants back and returns those
// that are idle and beyond what is needed here.
func (h *holder) recall(g *slotpb.Grant, now time.Time) {
	h.keep = int(g.GetKeep()) - 1
	for _, id := range g.GetRecall() {
		if l := h.leases[leaseID(id)]; l != nil && !l.recalled {
			l.recalled = true
			h.recalls++
			h.due = h.due || l.state == leaseIdle
		}
	}
	if h.keep < 0 || len(h.leases) <= h.keep {
		return
	}
	h.recalls++
	for _, l := range h.idleByScore(now) {
		if len(h.leases) <= h.keep {
			return
		}
		h.drop(l)
	}
}

// idleByScore returns the idle leases, the worst first.
func (h *holder) idleByScore(now time.Time) []*lease {
	var idle []*lease
	for _, l := range h.leases {
		if l.state == leaseIdle {
			idle = append(idle, l)
		}
	}
	slices.SortFunc(idle, func(a, b *lease) int {
		if difference := h.score(b, now) - h.score(a, now); difference != 0 {
			return int(difference)
		}
		return int(a.id) - int(b.id)
	})
	return idle
}
