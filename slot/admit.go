package slot

import (
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/slot/slotpb"
)

// storeEarlierLeases stores the leases of earlier epochs that a holder reports.
func (c *coordinator) storeEarlierLeases(h *holderState, ask *slotpb.Ask) {
	listed := unpackIDs(ask.GetHeld())
	if !h.acceptedEpoch {
		h.acceptedEpoch, h.gatherDue = true, false
		h.session, h.earlierLeases = ask.GetSession(), listed
		// The holder sent this after it had received the gather message that
		// it acknowledges, so the TTL of its leases started at most BasisMs
		// before that message was sent.
		if gathered := h.sent.at(ask.GetAck()); !gathered.IsZero() {
			h.leaseStart = gathered.Add(-time.Duration(ask.GetBasisMs()) * time.Millisecond)
		}
		return
	}
	h.earlierLeases = slices.DeleteFunc(h.earlierLeases, func(id leaseID) bool {
		_, kept := slices.BinarySearch(listed, id)
		if !kept {
			h.earlierReturned = append(h.earlierReturned, id)
		}
		return !kept
	})
}

// admit takes over a holder's leases of earlier epochs once no earlier
// coordinator can act. No earlier coordinator can have reassigned a lease that
// is still valid now, so the holder keeps it. The slots of expired leases remain
// unknown, because requests may still run on them.
func (c *coordinator) admit(h *holderState, now time.Time) {
	h.admitted, h.grantDue = true, true
	leases, returned := h.earlierLeases, h.earlierReturned
	h.earlierLeases, h.earlierReturned = nil, nil
	if h.session == 0 || c.takeoverDone {
		h.session = c.nextSession()
		return
	}
	if now.Sub(h.leaseStart) >= leaseTTL {
		h.hasUnknownRequests = h.hasUnknownRequests || len(leases)+len(returned) > 0
		h.session = c.nextSession()
		return
	}
	for _, id := range leases {
		c.charge(h, id, 0)
	}
	for _, id := range returned {
		c.returned[id] = true
	}
}

// reconcile frees the leases that the holder no longer lists. A lease whose
// grant the holder hasn't processed may still arrive there and stays charged.
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
