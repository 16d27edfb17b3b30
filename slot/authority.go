package slot

import (
	"slices"
	"time"
)

// A coordinator may answer only while it knows that its epoch is the present
// one, because its answers extend leases. Two proofs serve, each for
// authorityTTL from before it was asked for:
//
//   - a conditional write of the record, as reads may be stale, or
//   - grants of the epoch that a quorum of the recorded holders processed.
//
// The successor first raises the epoch in the table service, which ends the
// first proof, and then gathers so many recorded holders that the rest is no
// quorum, which ends the second one. It acts authorityTTL later. An earlier
// epoch whose own successor never got that far counts like the last one.

const (
	// goneAfter is how long a holder must be out of the view to count as gone.
	goneAfter = 10 * time.Second
	// abandonAfter is the time from which a successor waits for nobody.
	abandonAfter = time.Minute
	// checkInterval is the distance of the reads by which a coordinator that
	// its holders prove learns of a successor.
	checkInterval = 10 * time.Second
)

// quorum is the number of holders that prove an epoch to its coordinator; a
// single recorded holder proves nothing.
func quorum(recorded int) int {
	if recorded < 2 {
		return recorded + 1
	}
	return recorded/2 + 1
}

// blocking is the number of holders that leave the rest without a quorum.
func blocking(recorded int) int {
	return max(recorded-quorum(recorded)+1, 0)
}

// provedAt returns when the epoch was last known to be the present one. A recent
// proof is not renewed.
func (c *coordinator) provedAt(now time.Time) time.Time {
	if mostElapsed(now, c.proved) < authorityTTL/2 {
		return c.proved
	}
	for _, at := range []time.Time{c.confirmedAt, c.quorumTime()} {
		if at.After(c.proved) {
			c.proved = at
		}
	}
	return c.proved
}

// quorumTime returns the latest time at which a quorum certainly followed this
// epoch: of the recorded holders, and of those in a record that is being
// written, as a successor may read either.
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
		if h := c.holders[id]; h != nil && h.reached {
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
	return !c.resigned && c.acting && mostElapsed(now, c.provedAt(now)) < authorityTTL
}

// confirm notes that a write under the epoch, begun at the given time, succeeded.
func (c *coordinator) confirm(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// needsProof reports whether the authority ends soon though it is in use.
func (c *coordinator) needsProof(now time.Time) bool {
	return c.inUse() && mostElapsed(now, c.provedAt(now)) > authorityTTL*3/4
}

func (c *coordinator) inUse() bool {
	if !c.settled {
		return true
	}
	for _, h := range c.holders {
		if h.want > 0 || len(h.held) > 0 || h.stateDue {
			return true
		}
	}
	return false
}

// askProof gathers the recorded holders to prove the epoch without the store.
func (c *coordinator) askProof() {
	for id := range c.recorded {
		if h := c.holders[id]; h != nil {
			h.gatherDue = true
		}
	}
}

// settle proceeds with the takeover. First no earlier coordinator may act any
// more. Then each recorded holder was reached with valid leases, or the last
// lease that an earlier coordinator could extend has expired and its requests
// have ended.
func (c *coordinator) settle(now time.Time) {
	if c.settled {
		return
	}
	if c.wonAt.IsZero() && c.blocked() {
		c.wonAt = now
	}
	if c.wonAt.IsZero() {
		return
	}
	over := authorityTTL + clockMargin
	if !c.acting && now.Sub(c.wonAt) > over {
		c.act(now)
	}
	if c.acting && (c.allSure() || now.Sub(c.wonAt) > over+c.expiry()) {
		c.settled = true
		clear(c.returned)
	}
}

// blocked reports whether no earlier epoch can have a quorum any more.
func (c *coordinator) blocked() bool {
	for _, set := range c.earlier {
		reached := 0
		for _, id := range set {
			if h := c.holders[id]; h != nil && h.reached || c.gone[id] {
				reached++
			}
		}
		if reached < blocking(len(set)) {
			return false
		}
	}
	return true
}

// noteView counts holders as gone that were out of the view for goneAfter, and
// any that were not reached for abandonAfter. Without it, a group could not be
// revived after most of its recorded holders died at once. An earlier
// coordinator that lives on with them has resigned by then unless it is cut
// off from the table service too.
func (c *coordinator) noteView(inView func(id string) bool, now time.Time) {
	if c.acting {
		return
	}
	for _, set := range c.earlier {
		for _, id := range set {
			if inView(id) || c.seenAt[id].IsZero() {
				c.seenAt[id] = now
			}
			if now.Sub(c.seenAt[id]) >= goneAfter || now.Sub(c.startedAt) >= abandonAfter {
				c.gone[id] = true
			}
		}
	}
}

func (c *coordinator) act(now time.Time) {
	c.acting = true
	for _, h := range c.ordered {
		if h.reached && !h.admitted {
			c.admit(h, now)
		}
	}
}

// allSure reports whether the leases of all recorded holders are known.
func (c *coordinator) allSure() bool {
	for id := range c.recorded {
		if h := c.holders[id]; h == nil || !h.admitted || h.unsure {
			return false
		}
	}
	return true
}
