package slot

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/slot/slotpb"
)

// unsent is the seq of a lease whose grant was not sent yet.
const unsent = math.MaxUint64

// outgoingGrant is a Grant message and its receiver.
type outgoingGrant struct {
	to    string
	grant *slotpb.Grant
}

// flush grants free slots, recalls leases and returns the messages that are due.
func (c *coordinator) flush(now time.Time) []outgoingGrant {
	if c.resigned {
		return nil
	}
	var out []outgoingGrant
	authoritative := c.authoritative(now)
	if authoritative {
		c.recallExcess(now)
		c.assignShares(now)
		c.grantFreeSlots(now)
		c.recallAboveShares()
	}
	for _, h := range c.ordered {
		if grant := c.nextGrant(h, authoritative, now); grant != nil {
			out = append(out, outgoingGrant{to: h.id, grant: grant})
		}
	}
	return out
}

// eligible reports whether the holder may receive leases.
func (c *coordinator) eligible(h *holderState, now time.Time) bool {
	return h.admitted && h.session != 0 && c.recorded[h.id] && now.Sub(h.lastAskAt) < leaseTTL
}

// grantFreeSlots grants free slots to waiting holders below their shares, one at
// a time to the holder with the fewest leases.
func (c *coordinator) grantFreeSlots(now time.Time) {
	median := c.median()
	for _, h := range c.ordered {
		h.noFreeSlot = false
	}
	for {
		h := c.fewestLeases(now)
		if h == nil {
			return
		}
		lease, ok := c.bestSlot(h, median, now)
		if !ok {
			h.noFreeSlot = true
			if len(h.avoid) == 0 {
				return
			}
			continue
		}
		c.charge(h, lease, unsent)
		c.byID[lease.server()].quality.recordGrant(now)
		h.grants = append(h.grants, lease)
		h.want--
		c.grantCount++
		h.lastGrantIndex = c.grantCount
	}
}

func (c *coordinator) fewestLeases(now time.Time) *holderState {
	var fewest *holderState
	for _, h := range c.ordered {
		if h.noFreeSlot || h.want <= 0 || len(h.held) >= h.share || !c.eligible(h, now) {
			continue
		}
		if fewest == nil || holdsFewer(h, fewest) {
			fewest = h
		}
	}
	return fewest
}

// holdsFewer orders holders by the number of their leases, then by the time of
// their last grant.
func holdsFewer(a, b *holderState) bool {
	if len(a.held) != len(b.held) {
		return len(a.held) < len(b.held)
	}
	return a.lastGrantIndex < b.lastGrantIndex
}

// bestSlot returns a free slot of the server with the best score among those
// that the holder may use. A due trial comes first, because the score of a closed
// server is never the best while others have free slots. Draining servers get a trial
// only if no other server has a free slot.
func (c *coordinator) bestSlot(h *holderState, median time.Duration, now time.Time) (leaseID, bool) {
	var best *coordinatorServer
	var bestScore float64
	for _, server := range c.servers {
		if !server.usable || slices.Contains(h.avoid, uint64(server.id)) {
			continue
		}
		if server.leased >= c.limit(server, now) || c.freeSlot(server) < 0 {
			continue
		}
		if server.quality.wantsTrial() && !c.mostServersClosed() {
			best = server
			break
		}
		score := server.quality.score(server.leased, server.slots, median) / float64(max(server.weight, 1))
		if best == nil || score < bestScore {
			best, bestScore = server, score
		}
	}
	if best == nil {
		return 0, false
	}
	return best.id.lease(c.freeSlot(best)), true
}

// limit returns how many leases of a server may be granted at once.
func (c *coordinator) limit(server *coordinatorServer, now time.Time) int {
	if c.failureIgnored(server) {
		return server.slots
	}
	return server.quality.limit(now, server.slots)
}

// failureIgnored reports whether a failed server is used like a healthy one. It
// is while the windows of most servers are closed, because the cause is then
// probably not in the servers.
func (c *coordinator) failureIgnored(server *coordinatorServer) bool {
	return server.quality.failed() && c.mostServersClosed()
}

func (c *coordinator) mostServersClosed() bool {
	closed := 0
	for _, server := range c.servers {
		if server.quality.closed() {
			closed++
		}
	}
	return 2*closed > len(c.servers)
}

// freeSlot returns the lowest slot that certainly has no holder, or -1.
func (c *coordinator) freeSlot(server *coordinatorServer) int {
	for slot := range server.slots {
		id := server.id.lease(slot)
		if _, leased := c.owner[id]; leased {
			continue
		}
		if c.takeoverDone || c.returned[id] {
			return slot
		}
	}
	return -1
}

// recallExcess recalls leases of servers or slots that are no longer usable,
// and those beyond a server's limit.
func (c *coordinator) recallExcess(now time.Time) {
	if !c.recallCheckDue {
		return
	}
	c.recallCheckDue = false
	if !c.tableChanged && !c.overCommitted(now) {
		return
	}
	c.tableChanged = false
	leased := make(map[serverID]int)
	for _, lease := range slices.Sorted(maps.Keys(c.owner)) {
		h := c.holders[c.owner[lease]]
		server := c.byID[lease.server()]
		leased[lease.server()]++
		if server != nil && server.usable && lease.slot() < server.slots && leased[lease.server()] <= c.keepLimit(server, now) {
			continue
		}
		if !h.recall[lease] {
			h.recall[lease], h.grantDue = true, true
			c.recallCount++
		}
	}
}

// overCommitted reports whether a server has more leases than it may keep.
func (c *coordinator) overCommitted(now time.Time) bool {
	for _, server := range c.servers {
		if server.leased > c.keepLimit(server, now) {
			return true
		}
	}
	return false
}

// keepLimit returns how many leases of a server are not recalled. The single
// lease of a trial is recalled, so that it serves one request.
func (c *coordinator) keepLimit(server *coordinatorServer, now time.Time) int {
	if limit := c.limit(server, now); !server.quality.closed() || limit > 1 {
		return limit
	}
	return 0
}

// recallAboveShares recalls from holders above their shares as many leases as
// waiting holders are short of theirs, first from those with the most leases.
func (c *coordinator) recallAboveShares() {
	lacking := 0
	var above []*holderState
	for _, h := range c.ordered {
		if h.want > 0 {
			lacking += max(h.share-len(h.held), 0)
		}
		if len(h.held) > h.share {
			above = append(above, h)
		} else {
			h.keep = -1
		}
	}
	slices.SortStableFunc(above, func(a, b *holderState) int { return len(b.held) - len(a.held) })
	for _, h := range above {
		take := min(len(h.held)-h.share, lacking)
		lacking -= take
		keep := len(h.held) - take
		switch {
		case take <= 0:
			h.keep = -1
		case h.keep < 0 || keep < h.keep:
			h.keep, h.grantDue = keep, true
			c.recallCount++
		}
	}
}

// need returns how many leases the holder can use. With requests waiting it uses
// all that it has; otherwise its average number of busy leases counts.
func (h *holderState) need() int {
	if h.want > 0 {
		return len(h.held) + h.want
	}
	return min(h.busy, len(h.held))
}

// assignShares assigns the usable slots to the holders by max-min fairness: no
// share exceeds what its holder needs, and a share is smaller than another only
// if its holder needs no more.
func (c *coordinator) assignShares(now time.Time) {
	left := 0
	for _, server := range c.servers {
		if server.usable {
			left += max(c.limit(server, now), server.leased)
		}
	}
	needy := make([]*holderState, 0, len(c.ordered))
	for _, h := range c.ordered {
		h.share = 0
		if len(h.held) > 0 || h.want > 0 {
			needy = append(needy, h)
		}
	}
	slices.SortStableFunc(needy, func(a, b *holderState) int { return a.need() - b.need() })
	for i, h := range needy {
		h.share = min(h.need(), left/(len(needy)-i))
		left -= h.share
	}
}

// nextGrant returns the Grant message that is due to a holder, or nil.
func (c *coordinator) nextGrant(h *holderState, authoritative bool, now time.Time) *slotpb.Grant {
	// A successor that is not active yet gathers the holders that send an Ask;
	// without a response they would suspect it of having failed.
	gatherDue := h.gatherDue || !c.active && h.replyDue
	if gatherDue && now.Sub(h.gatherSentAt) >= gatherInterval {
		h.gatherDue = !h.acceptedEpoch && !c.takeoverDone
		h.gatherSentAt = now
		return c.stamp(h, &slotpb.Grant{Gather: true}, now)
	}
	if !authoritative || !h.admitted {
		return nil
	}
	ackDue := h.replyDue && (len(h.held) > 0 || h.want > 0) && now.Sub(h.lastReplyAt) >= ackInterval
	if len(h.grants) == 0 && !h.grantDue && !ackDue {
		return nil
	}
	grant := &slotpb.Grant{Ack: h.askSeq, Session: h.session, ConnectionDivisor: c.connectionDivisor()}
	for _, id := range h.grants {
		h.held[id] = h.grantSeq + 1
		server := c.byID[id.server()]
		trial := server.quality.wantsTrial() && !c.failureIgnored(server)
		grant.Leases = append(grant.Leases, &slotpb.Lease{Id: uint64(id), Server: server.name, Trial: trial})
	}
	for _, id := range slices.Sorted(maps.Keys(h.recall)) {
		grant.Recall = append(grant.Recall, uint64(id))
	}
	if h.keep >= 0 {
		grant.Keep = uint32(h.keep) + 1
	}
	h.grants, h.grantDue, h.replyDue, h.lastReplyAt = nil, false, false, now
	return c.stamp(h, grant, now)
}

func (c *coordinator) stamp(h *holderState, grant *slotpb.Grant, now time.Time) *slotpb.Grant {
	h.grantSeq++
	h.sent.put(h.grantSeq, now)
	grant.Group, grant.Epoch, grant.Seq = c.group.proto(), c.epoch, h.grantSeq
	return grant
}

// connectionDivisor returns the number of equal shares of a server's spare
// connections: twice the number of recorded holders, rounded up to a power of
// two. Even while some holders still use the divisor from before it doubled, the
// shares add up to at most the spare connections.
func (c *coordinator) connectionDivisor() uint32 {
	divisor := uint32(1)
	for int(divisor) < len(c.recorded) {
		divisor *= 2
	}
	return 2 * divisor
}

// unrecorded returns the admitted holders that wait for leases and must be
// recorded before their first grant.
func (c *coordinator) unrecorded() []string {
	var ids []string
	for id, h := range c.holders {
		if h.admitted && !c.recorded[id] && h.want > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// setPending stores the holders of a record that is being written.
func (c *coordinator) setPending(ids []string) {
	c.pending = make(map[string]bool, len(ids))
	for _, id := range ids {
		c.pending[id] = true
	}
}

// setRecorded stores the holders of the record in the table service.
func (c *coordinator) setRecorded(ids []string, now time.Time) {
	c.pending = nil
	clear(c.recorded)
	for _, id := range ids {
		c.recorded[id] = true
		c.holder(id, now)
	}
}

// removable reports whether the holder certainly has no lease and has been
// silent for long enough to be taken out of the record.
func (c *coordinator) removable(id string, now time.Time) bool {
	h := c.holders[id]
	return c.takeoverDone && (h == nil || len(h.held) == 0 && now.Sub(h.lastAskAt) > holderRetention+c.expiry())
}
