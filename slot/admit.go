package slot

import (
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/slot/slotpb"
)

// claim notes what a holder reports of earlier epochs.
func (c *coordinator) claim(h *holderState, ask *slotpb.Ask) {
	listed := unpackIDs(ask.GetHeld())
	if !h.reached {
		h.reached, h.gatherDue = true, false
		h.session, h.claimed = ask.GetSession(), listed
		// The holder sent this after it received the gather that it
		// acknowledges, so its basis is at most BasisMs older than that.
		if gathered := h.sent.at(ask.GetAck()); !gathered.IsZero() {
			h.basis = gathered.Add(-time.Duration(ask.GetBasisMs()) * time.Millisecond)
		}
		return
	}
	h.claimed = slices.DeleteFunc(h.claimed, func(id leaseID) bool {
		_, kept := slices.BinarySearch(listed, id)
		if !kept {
			h.dropped = append(h.dropped, id)
		}
		return !kept
	})
}

// admit settles a holder's leases of earlier epochs once no earlier coordinator
// can act. Leases that are still valid now were certainly not taken back by
// one; they stay the holder's. Of expired ones the slots stay unknown.
func (c *coordinator) admit(h *holderState, now time.Time) {
	h.admitted, h.stateDue = true, true
	claimed, dropped := h.claimed, h.dropped
	h.claimed, h.dropped = nil, nil
	if h.session == 0 || c.settled {
		h.session = c.nextSession()
		return
	}
	if now.Sub(h.basis) >= leaseTTL {
		h.unsure = h.unsure || len(claimed)+len(dropped) > 0
		h.session = c.nextSession()
		return
	}
	for _, id := range claimed {
		c.charge(h, id, 0)
	}
	for _, id := range dropped {
		c.returned[id] = true
	}
}

// reconcile frees the leases that the holder no longer lists. A lease whose
// grant the holder hasn't processed yet may still arrive and stays charged.
func (c *coordinator) reconcile(h *holderState, ask *slotpb.Ask) {
	listed := unpackIDs(ask.GetHeld())
	for id, seq := range h.held {
		if seq > ask.GetAck() {
			h.want--
			continue
		}
		if _, ok := slices.BinarySearch(listed, id); !ok {
			c.free(h, id)
		}
	}
	h.want = max(h.want, 0)
}
