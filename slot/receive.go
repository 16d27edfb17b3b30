package slot

import (
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/slot/slotpb"
)

// onGrant processes a Grant message. It ignores one of an older epoch, and one
// whose seq is not higher than that of the latest grant of its epoch.
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
	h.coordinator, h.unansweredSince = from, time.Time{}
	if g.GetGather() {
		h.askDue = true
		return
	}
	if g.GetSession() != h.session {
		h.startSession(g.GetSession(), now)
	}
	if sent := h.sent.at(g.GetAck()); sent.After(h.leaseStart) {
		h.leaseStart = sent
	}
	h.divisor = int(g.GetConnectionDivisor())
	h.addLeases(g.GetLeases(), now)
	h.applyRecalls(g, now)
}

// redirect switches to the coordinator that g names and sends it an Ask at once,
// or later if another redirection came less than renewRetry ago.
func (h *holder) redirect(g *slotpb.Grant, now time.Time) {
	if g.GetEpoch() < h.epoch || g.GetCoordinator() == h.coordinator {
		return
	}
	h.coordinator = g.GetCoordinator()
	h.askDue = h.askDue || now.Sub(h.redirectedAt) >= renewRetry
	h.redirectedAt = now
}

// startSession voids the leases of the previous session. Requests that run on
// them continue, but no others start on them.
func (h *holder) startSession(session uint64, now time.Time) {
	for _, l := range h.leases {
		if l.state != leaseIdle {
			h.staleUntil = now.Add(h.maxRunTime)
		}
	}
	clear(h.leases)
	h.session = session
	h.leaseStart = time.Time{}
}

func (h *holder) addLeases(leases []*slotpb.Lease, now time.Time) {
	for _, granted := range leases {
		id := leaseID(granted.GetId())
		if h.leases[id] == nil {
			h.leases[id] = &lease{id: id, server: granted.GetServer(), trial: granted.GetTrial(), session: h.session, stateSince: now}
		}
	}
}

// applyRecalls marks the leases that g recalls, to be returned once they are
// idle, or unused trials once they have served a request. If there are more leases
// than g lets the holder keep, it returns idle ones.
func (h *holder) applyRecalls(g *slotpb.Grant, now time.Time) {
	h.keep = int(g.GetKeep()) - 1
	for _, id := range g.GetRecall() {
		if l := h.leases[leaseID(id)]; l != nil && !l.recalled {
			l.recalled = true
			h.recalls++
			h.askDue = h.askDue || l.state == leaseIdle && !l.available()
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
		h.returnLease(l)
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
