package slot

import (
	"slices"
	"time"
)

// A coordinator's grants extend leases, so it may send them only while it knows
// that its epoch is the current one. Either of two proofs is sufficient, and is
// valid for authorityTTL from the time at which it was requested:
//
//   - a conditional write of the record (a read may be stale), or
//   - grants of the epoch that a quorum of the recorded holders processed.
//
// A successor first raises the epoch in the table service, which rules out new
// proofs of the first kind. It then gathers recorded holders until the rest is
// no quorum, which rules out the second kind, and becomes active authorityTTL
// later. Earlier epochs whose own successor did not get that far are treated
// like the last one.

const (
	// holderRemovedAfter is how long a holder must be missing from the
	// membership view until a takeover no longer waits for it.
	holderRemovedAfter = 10 * time.Second
	// takeoverTimeout is the time after which a takeover waits for no holder
	// that has not accepted its epoch.
	takeoverTimeout = time.Minute
	// recordCheckInterval is the time between two reads of the record. They
	// show a coordinator that it has a successor while its holders prove its epoch.
	recordCheckInterval = 10 * time.Second
)

// quorum returns the number of holders that prove an epoch to its coordinator. A
// single recorded holder proves nothing, so its quorum is never reached.
func quorum(recorded int) int {
	if recorded < 2 {
		return recorded + 1
	}
	return recorded/2 + 1
}

// blocking returns the number of holders without which the rest is no quorum.
func blocking(recorded int) int {
	return max(recorded-quorum(recorded)+1, 0)
}

// provedAt returns when the epoch was last known to be the current one. While
// the last proof is recent, newer ones are not looked up.
func (c *coordinator) provedAt(now time.Time) time.Time {
	if maxElapsed(now, c.lastProof) < authorityTTL/2 {
		return c.lastProof
	}
	for _, at := range []time.Time{c.confirmedAt, c.quorumTime()} {
		if at.After(c.lastProof) {
			c.lastProof = at
		}
	}
	return c.lastProof
}

// quorumTime returns the latest time at which a quorum had certainly accepted
// this epoch: a quorum of the recorded holders and, while a record is being
// written, also of its holders, because a successor may read either record.
func (c *coordinator) quorumTime() time.Time {
	at := c.quorumTimeOf(c.recorded)
	if c.pending == nil {
		return at
	}
	if pending := c.quorumTimeOf(c.pending); pending.Before(at) {
		return pending
	}
	return at
}

func (c *coordinator) quorumTimeOf(ids map[string]bool) time.Time {
	times := make([]time.Time, 0, len(ids))
	for id := range ids {
		if h := c.holders[id]; h != nil && h.acceptedEpoch {
			times = append(times, h.ackedAt)
		}
	}
	need := quorum(len(ids))
	if len(times) < need {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1]
}

func (c *coordinator) authoritative(now time.Time) bool {
	return !c.resigned && c.active && maxElapsed(now, c.provedAt(now)) < authorityTTL
}

// confirm records that a write under the epoch, started at the given time,
// succeeded.
func (c *coordinator) confirm(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// needsProof reports whether the authority is in use and about to expire.
func (c *coordinator) needsProof(now time.Time) bool {
	return c.inUse() && maxElapsed(now, c.provedAt(now)) > authorityTTL*3/4
}

func (c *coordinator) inUse() bool {
	if !c.takeoverDone {
		return true
	}
	for _, h := range c.holders {
		if h.want > 0 || len(h.held) > 0 || h.grantDue {
			return true
		}
	}
	return false
}

// requestProof gathers the recorded holders, which proves the epoch without the
// table service.
func (c *coordinator) requestProof() {
	for id := range c.recorded {
		if h := c.holders[id]; h != nil {
			h.gatherDue = true
		}
	}
}

// advanceTakeover moves the takeover on. The coordinator becomes active once no
// earlier one can act any more. The takeover is done once the leases of each
// recorded holder are known, or the last lease that an earlier coordinator could
// have extended has expired and its requests have ended.
func (c *coordinator) advanceTakeover(now time.Time) {
	if c.takeoverDone {
		return
	}
	if c.earlierBlockedAt.IsZero() && c.earlierBlocked() {
		c.earlierBlockedAt = now
	}
	if c.earlierBlockedAt.IsZero() {
		return
	}
	authorityWait := authorityTTL + clockMargin
	if !c.active && now.Sub(c.earlierBlockedAt) > authorityWait {
		c.activate(now)
	}
	if c.active && (c.allHoldersKnown() || now.Sub(c.earlierBlockedAt) > authorityWait+c.expiry()) {
		c.takeoverDone = true
		clear(c.returned)
	}
}

// earlierBlocked reports whether no earlier epoch can have a quorum any more.
func (c *coordinator) earlierBlocked() bool {
	for _, set := range c.earlier {
		reached := 0
		for _, id := range set {
			if h := c.holders[id]; h != nil && h.acceptedEpoch || c.removed[id] {
				reached++
			}
		}
		if reached < blocking(len(set)) {
			return false
		}
	}
	return true
}

// updateRemoved counts holders as removed that have been missing from the
// membership view for holderRemovedAfter, and all holders of earlier epochs after
// takeoverTimeout. Without this, a group could not recover after most of its
// recorded holders crashed at once. An earlier coordinator that is still running
// with such holders has resigned by then, unless it is cut off from the table
// service too.
func (c *coordinator) updateRemoved(inView func(id string) bool, now time.Time) {
	if c.active {
		return
	}
	for _, set := range c.earlier {
		for _, id := range set {
			if inView(id) || c.lastSeen[id].IsZero() {
				c.lastSeen[id] = now
			}
			if now.Sub(c.lastSeen[id]) >= holderRemovedAfter || now.Sub(c.startedAt) >= takeoverTimeout {
				c.removed[id] = true
			}
		}
	}
}

func (c *coordinator) activate(now time.Time) {
	c.active = true
	for _, h := range c.ordered {
		if h.acceptedEpoch && !h.admitted {
			c.admit(h, now)
		}
	}
}

// allHoldersKnown reports whether the leases of all recorded holders are known.
func (c *coordinator) allHoldersKnown() bool {
	for id := range c.recorded {
		if h := c.holders[id]; h == nil || !h.admitted || h.hasUnknownRequests {
			return false
		}
	}
	return true
}
