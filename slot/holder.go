package slot

import (
	"math"
	"time"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/slot/slotpb"
)

const (
	// renewAfter is the age of the last acknowledged Ask from which a holder
	// with leases sends another; renewRetry is the interval of its retries.
	renewAfter = leaseTTL / 4
	renewRetry = leaseTTL / 10
	// suspectAfter is how long an Ask may go without a response before the
	// holder suspects that the coordinator has failed.
	suspectAfter = leaseTTL / 5
	// returnDelay is how long the return of an idle lease may wait, so that
	// several go into one Ask.
	returnDelay = 50 * time.Millisecond
	// busyWeight is the weight of one tick in the average of busy leases.
	busyWeight = 0.2
)

type leaseState int

const (
	leaseIdle leaseState = iota
	leaseBusy
	// leaseReserved is the state after a request that the server may still be
	// running.
	leaseReserved
)

// lease is one slot as its holder keeps it.
type lease struct {
	id     leaseID
	server string
	state  leaseState
	// trial is set until the lease is used if it is the trial of a server whose window
	// is closed.
	trial bool
	// session is the session in which the lease was granted.
	session uint64
	// recalled leases are returned as soon as they are idle; an unused trial first
	// serves one request.
	recalled bool
	// stateSince is when the lease entered its state.
	stateSince time.Time
	// reservedUntil is when a lease in leaseReserved becomes idle.
	reservedUntil time.Time
}

// available reports whether a request may take the lease. A recalled trial is available
// until its request: the coordinator recalls it as soon as it has granted it, and learns
// nothing about the server from a trial that is returned unused.
func (l *lease) available() bool { return l.state == leaseIdle && (!l.recalled || l.trial) }

// serverStats is what a holder knows about one server.
type serverStats struct {
	// report has the results that were not reported yet.
	report slotpb.ServerReport
	// latency is the local average over ok results; zero if there are none.
	latency time.Duration
	// avoidUntil is until when other servers are preferred after a failure.
	avoidUntil time.Time
}

// holder keeps the leases of one group at this instance. It is a pure state
// machine: the caller passes the time, delivers messages and serializes calls.
type holder struct {
	group      group
	maxRunTime time.Duration
	// idleTime is how long an idle lease is kept.
	idleTime time.Duration

	epoch    uint64
	session  uint64
	grantSeq uint64
	askSeq   uint64
	sent     sentTimes
	// leaseStart is when the latest acknowledged Ask was sent. The TTL of all
	// leases counts from it.
	leaseStart time.Time
	// staleUntil is until when requests of voided leases may run.
	staleUntil time.Time
	// coordinator is the sender of the latest grant, or the instance that the
	// latest redirection named.
	coordinator  string
	redirectedAt time.Time
	// unansweredSince is when the first Ask after the latest grant was sent; zero
	// if no response is due.
	unansweredSince time.Time

	leases map[leaseID]*lease
	// keep is the number of leases that may be kept; a negative value means no
	// bound.
	keep int
	// divisor is the number of equal shares of spare connections.
	divisor int
	stats   map[serverID]*serverStats
	// typicalLatency is the median of the servers' latencies as of the last tick.
	typicalLatency time.Duration

	// want is the number of requests that wait for a lease of the group.
	want int
	// avoid lists the servers that none of the waiting requests may use.
	avoid []serverID
	// busy is the average number of leases in use.
	busy float64
	// reportedAt is when ok results were last reported.
	reportedAt time.Time
	// returnedAt is when the first lease was returned whose return is not yet
	// reported and may wait for returnDelay; zero if there is none.
	returnedAt time.Time
	// askDue is set if an Ask should be sent now.
	askDue    bool
	lastAskAt time.Time
	// wantSent is the want in the last Ask.
	wantSent int

	recalls uint64
}

func newHolder(g group, maxRunTime, idleTime time.Duration) *holder {
	return &holder{
		group:      g,
		maxRunTime: maxRunTime,
		idleTime:   idleTime,
		leases:     make(map[leaseID]*lease),
		stats:      make(map[serverID]*serverStats),
		keep:       -1,
	}
}

// valid reports whether requests may start on the leases.
func (h *holder) valid(now time.Time) bool {
	return !h.leaseStart.IsZero() && maxElapsed(now, h.leaseStart) < leaseTTL
}

// take makes the best idle lease busy and returns it, or nil if there is none.
// It skips servers for which skip returns true.
func (h *holder) take(skip func(server string) bool, now time.Time) *lease {
	if len(h.leases) == 0 || !h.valid(now) {
		return nil
	}
	var best *lease
	var bestScore time.Duration
	for _, l := range h.leases {
		if !l.available() {
			continue
		}
		score := h.score(l, now)
		better := best == nil || score < bestScore || score == bestScore && l.id < best.id
		if better && !skip(l.server) {
			best, bestScore = l, score
		}
	}
	if best != nil {
		best.state, best.stateSince, best.trial = leaseBusy, now, false
	}
	return best
}

// anyIdle reports whether a lease can be taken.
func (h *holder) anyIdle(now time.Time) bool {
	if !h.valid(now) {
		return false
	}
	for _, l := range h.leases {
		if l.available() {
			return true
		}
	}
	return false
}

// score rates an idle lease; lower is better. A trial comes first: its server has the worst
// latency, and would get no request while other leases are idle. Servers to avoid come last.
func (h *holder) score(l *lease, now time.Time) time.Duration {
	if l.trial {
		return -1
	}
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

// release ends the request of a lease. The lease becomes idle, stays reserved
// while the server may still be running the request, or is returned.
func (h *holder) release(l *lease, result loadbalancer.Result, now time.Time) {
	bad := h.recordResult(l, result, now)
	if h.leases[l.id] != l {
		return
	}
	if bad {
		l.recalled, h.askDue = true, true
	}
	if result.ChargedFor > 0 {
		l.state, l.stateSince, l.reservedUntil = leaseReserved, now, now.Add(result.ChargedFor)
		return
	}
	h.makeIdle(l, now)
}

// makeIdle makes a lease idle, and returns it if it is recalled or above the
// bound.
func (h *holder) makeIdle(l *lease, now time.Time) {
	l.state, l.stateSince = leaseIdle, now
	if l.recalled || h.keep >= 0 && len(h.leases) > h.keep {
		h.returnLease(l)
	}
}

// returnLease returns a lease at once: the next Ask no longer lists it.
func (h *holder) returnLease(l *lease) {
	delete(h.leases, l.id)
	h.askDue = true
}

// returnLater returns a lease that was not recalled: the next Ask, which is sent
// within returnDelay, no longer lists it.
func (h *holder) returnLater(l *lease, now time.Time) {
	delete(h.leases, l.id)
	if h.returnedAt.IsZero() {
		h.returnedAt = now
	}
}

// tick ends reservations that are over, returns leases that were idle for
// idleTime, reports overdue requests and makes renewals and retries due.
func (h *holder) tick(now time.Time) {
	h.typicalLatency = h.medianServerLatency()
	inUse := 0
	for _, l := range h.leases {
		if l.state != leaseIdle {
			inUse++
		}
		switch l.state {
		case leaseReserved:
			if !now.Before(l.reservedUntil) {
				h.makeIdle(l, now)
			}
		case leaseIdle:
			if !l.available() {
				h.returnLease(l)
			} else if now.Sub(l.stateSince) >= h.idleTime {
				h.returnLater(l, now)
			}
		case leaseBusy:
			h.recordOverdue(l, now)
		}
	}
	if h.want == 0 && len(h.leases) == 0 {
		h.unansweredSince = time.Time{}
	}
	h.busy += busyWeight * (float64(inUse) - h.busy)
	if len(h.leases) > 0 && now.Sub(h.leaseStart) >= renewAfter && now.Sub(h.lastAskAt) >= renewRetry {
		h.askDue = true
	}
	if !h.returnedAt.IsZero() && now.Sub(h.returnedAt) >= returnDelay {
		h.askDue = true
	}
	if h.want > 0 && now.Sub(h.lastAskAt) >= renewRetry {
		h.askDue = true
	}
}

// suspect reports whether the coordinator has sent no grant for suspectAfter
// though one was due.
func (h *holder) suspect(now time.Time) bool {
	return !h.unansweredSince.IsZero() && now.Sub(h.unansweredSince) >= suspectAfter
}

// setWant sets how many requests wait for a lease of this group, and which
// servers none of them may use.
func (h *holder) setWant(want int, avoid []string) {
	if want > h.wantSent {
		h.askDue = true
	}
	h.want = want
	h.avoid = h.avoid[:0]
	for _, server := range avoid {
		h.avoid = append(h.avoid, idOfServer(server))
	}
}

// ask returns the Ask message that is due, or nil.
func (h *holder) ask(now time.Time) *slotpb.Ask {
	if !h.askDue {
		return nil
	}
	h.askDue, h.returnedAt = false, time.Time{}
	h.askSeq++
	h.sent.put(h.askSeq, now)
	h.lastAskAt, h.wantSent = now, h.want
	h.updateUnanswered(now)
	ask := &slotpb.Ask{
		Group:   h.group.proto(),
		Epoch:   h.epoch,
		Seq:     h.askSeq,
		Ack:     h.grantSeq,
		Session: h.session,
		Want:    uint32(h.want),
		DrainMs: h.maxRunTime.Milliseconds(),
		Reports: h.takeReports(now),
		Suspect: h.suspect(now),
		BasisMs: int64(maxElapsed(now, h.leaseStart)/time.Millisecond) + 1,
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

// updateUnanswered updates since when a response has been due. A coordinator
// sends none to a holder that neither wants nor holds leases.
func (h *holder) updateUnanswered(now time.Time) {
	if h.want == 0 && len(h.leases) == 0 {
		h.unansweredSince = time.Time{}
		return
	}
	if h.unansweredSince.IsZero() {
		h.unansweredSince = now
	}
}
