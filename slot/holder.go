package slot

import (
	"math"
	"time"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/slot/slotpb"
)

const (
	// renewAfter is the age of the last acknowledged ask from which a holder
	// with leases asks again, renewRetry the distance of further tries.
	renewAfter = leaseTTL / 4
	renewRetry = leaseTTL / 10
	// suspectAfter is the silence from which a coordinator is taken for lost.
	suspectAfter = leaseTTL / 5
	// returnDelay is for how long returns of idle leases are collected.
	returnDelay = 50 * time.Millisecond
	// busyWeight is the weight of one tick in the average of busy leases.
	busyWeight = 0.2
)

type leaseState int

const (
	leaseIdle leaseState = iota
	leaseBusy
	// leaseCooling is a slot that the server may still be using.
	leaseCooling
)

// lease is one slot in the hands of a holder.
type lease struct {
	id     leaseID
	server string
	state  leaseState
	// session is that under which the lease was granted.
	session uint64
	// recalled leases are returned as soon as they are idle.
	recalled bool
	// since is when the state began.
	since time.Time
	// coolUntil is when a cooling lease becomes idle.
	coolUntil time.Time
}

// serverStats are the results of one server since the last ask.
type serverStats struct {
	report slotpb.ServerReport
	// latency is the local average of ok results.
	latency time.Duration
	// avoidUntil is when the server may be chosen again after a failure.
	avoidUntil time.Time
}

// holder keeps the leases that one coordinator granted to this instance. It is
// a pure state machine; the caller passes the time, delivers messages and
// serializes calls.
type holder struct {
	group group
	drain time.Duration
	// idleTime is how long an idle lease is kept.
	idleTime time.Duration

	epoch    uint64
	session  uint64
	grantSeq uint64
	askSeq   uint64
	sent     sentTimes
	// basis is when the latest acknowledged ask was sent.
	basis time.Time
	// staleUntil is until when requests of voided leases may run.
	staleUntil time.Time
	// coordinator is the sender of the latest grant or redirection.
	coordinator  string
	redirectedAt time.Time
	// waitingSince is the time of the first ask without an answer since.
	waitingSince time.Time

	leases map[leaseID]*lease
	// keep is the number of leases that may be kept; negative sets no bound.
	keep int
	// divisor is the number of equal shares of spare connections.
	divisor int
	stats   map[serverID]*serverStats
	// usual is the median latency of the servers as of the last tick.
	usual time.Duration

	want int
	// avoid are the servers that none of the waiting requests may use.
	avoid []serverID
	// busy is the average number of leases in use.
	busy float64
	// reportedAt is when good results were last reported.
	reportedAt time.Time
	// returnedAt is when a lease was returned that the coordinator doesn't
	// know of and needn't know of at once; zero if there is none.
	returnedAt time.Time
	// due tells that the coordinator should hear the present state now.
	due    bool
	sentAt time.Time
	// wantSent is the want of the last ask.
	wantSent int

	recalls uint64
}

func newHolder(g group, drain, idleTime time.Duration) *holder {
	return &holder{
		group:    g,
		drain:    drain,
		idleTime: idleTime,
		leases:   make(map[leaseID]*lease),
		stats:    make(map[serverID]*serverStats),
		keep:     -1,
	}
}

// valid reports whether requests may start on the leases.
func (h *holder) valid(now time.Time) bool {
	return !h.basis.IsZero() && mostElapsed(now, h.basis) < leaseTTL
}

// take makes the best idle lease busy. It skips servers for which skip returns
// true.
func (h *holder) take(skip func(server string) bool, now time.Time) *lease {
	if len(h.leases) == 0 || !h.valid(now) {
		return nil
	}
	var best *lease
	var bestScore time.Duration
	for _, l := range h.leases {
		if l.state != leaseIdle || l.recalled {
			continue
		}
		score := h.score(l, now)
		better := best == nil || score < bestScore || score == bestScore && l.id < best.id
		if better && !skip(l.server) {
			best, bestScore = l, score
		}
	}
	if best != nil {
		best.state, best.since = leaseBusy, now
	}
	return best
}

// anyIdle reports whether a lease can be taken.
func (h *holder) anyIdle(now time.Time) bool {
	if !h.valid(now) {
		return false
	}
	for _, l := range h.leases {
		if l.state == leaseIdle && !l.recalled {
			return true
		}
	}
	return false
}

// score orders idle leases: the lower, the better.
func (h *holder) score(l *lease, now time.Time) time.Duration {
	stats := h.stats[l.id.server()]
	if stats == nil {
		return 0
	}
	score := stats.latency
	if now.Before(stats.avoidUntil) {
		score += time.Hour
	}
	return score
}

// release ends a request. The lease becomes idle, cools, or is returned.
func (h *holder) release(l *lease, result loadbalancer.Result, now time.Time) {
	bad := h.note(l, result, now)
	if h.leases[l.id] != l {
		return
	}
	if bad {
		l.recalled, h.due = true, true
	}
	if result.ChargedFor > 0 {
		l.state, l.since, l.coolUntil = leaseCooling, now, now.Add(result.ChargedFor)
		return
	}
	h.idle(l, now)
}

// idle makes a lease available or returns it.
func (h *holder) idle(l *lease, now time.Time) {
	l.state, l.since = leaseIdle, now
	if l.recalled || h.keep >= 0 && len(h.leases) > h.keep {
		h.drop(l)
	}
}

// drop returns a lease: the next ask no longer lists it.
func (h *holder) drop(l *lease) {
	delete(h.leases, l.id)
	h.due = true
}

// dropLater returns a lease that nobody asked for: the next ask, within
// returnDelay, no longer lists it.
func (h *holder) dropLater(l *lease, now time.Time) {
	delete(h.leases, l.id)
	if h.returnedAt.IsZero() {
		h.returnedAt = now
	}
}

// tick ends cooling, returns leases that were idle for long, and renews.
func (h *holder) tick(now time.Time) {
	h.usual = h.usualLatency()
	inUse := 0
	for _, l := range h.leases {
		if l.state != leaseIdle {
			inUse++
		}
		switch l.state {
		case leaseCooling:
			if !now.Before(l.coolUntil) {
				h.idle(l, now)
			}
		case leaseIdle:
			if l.recalled {
				h.drop(l)
			} else if now.Sub(l.since) >= h.idleTime {
				h.dropLater(l, now)
			}
		case leaseBusy:
			h.noteOverdue(l, now)
		}
	}
	if h.want == 0 && len(h.leases) == 0 {
		h.waitingSince = time.Time{}
	}
	h.busy += busyWeight * (float64(inUse) - h.busy)
	if len(h.leases) > 0 && now.Sub(h.basis) >= renewAfter && now.Sub(h.sentAt) >= renewRetry {
		h.due = true
	}
	if !h.returnedAt.IsZero() && now.Sub(h.returnedAt) >= returnDelay {
		h.due = true
	}
	if h.want > 0 && now.Sub(h.sentAt) >= renewRetry {
		h.due = true
	}
}

// suspect reports whether the coordinator has left asks unanswered for long.
func (h *holder) suspect(now time.Time) bool {
	return !h.waitingSince.IsZero() && now.Sub(h.waitingSince) >= suspectAfter
}

// setWant notes how many requests wait for a lease of this group, and which
// servers none of them may use.
func (h *holder) setWant(want int, avoid []string) {
	if want > h.wantSent {
		h.due = true
	}
	h.want = want
	h.avoid = h.avoid[:0]
	for _, server := range avoid {
		h.avoid = append(h.avoid, idOfServer(server))
	}
}

// ask returns the message that is due, or nil.
func (h *holder) ask(now time.Time) *slotpb.Ask {
	if !h.due {
		return nil
	}
	h.due, h.returnedAt = false, time.Time{}
	h.askSeq++
	h.sent.put(h.askSeq, now)
	h.sentAt, h.wantSent = now, h.want
	h.awaitAnswer(now)
	ask := &slotpb.Ask{
		Group:   h.group.proto(),
		Epoch:   h.epoch,
		Seq:     h.askSeq,
		Ack:     h.grantSeq,
		Session: h.session,
		Want:    uint32(h.want),
		DrainMs: h.drain.Milliseconds(),
		Reports: h.takeReports(now),
		Suspect: h.suspect(now),
		BasisMs: int64(mostElapsed(now, h.basis)/time.Millisecond) + 1,
		Stale:   now.Before(h.staleUntil),
	}
	for _, server := range h.avoid {
		ask.Avoid = append(ask.Avoid, uint64(server))
	}
	ids := make([]leaseID, 0, len(h.leases))
	for id := range h.leases {
		ids = append(ids, id)
	}
	ask.Held = packIDs(ids)
	ask.Busy = uint32(math.Ceil(h.busy))
	return ask
}

// awaitAnswer notes since when an answer is due. A coordinator does not answer
// holders that neither want nor hold leases.
func (h *holder) awaitAnswer(now time.Time) {
	if h.want == 0 && len(h.leases) == 0 {
		h.waitingSince = time.Time{}
		return
	}
	if h.waitingSince.IsZero() {
		h.waitingSince = now
	}
}
