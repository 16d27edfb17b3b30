package forward

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/placement"
	"github.com/pomelolock/pomelolock/readings"
)

// startDispatchLocked sends waiting requests, up to this instance's share of the spare capacity.
// Where that is known from readings that may be outdated, it first checks the servers that it
// would choose: while requests wait, all instances want the few free slots, and a slot that one
// instance uses looks free to the others until its next datagram.
func (q *queue) startDispatchLocked(now time.Time) {
	if len(q.waiters) == 0 || q.dispatching {
		return
	}
	q.sortLocked(now)
	candidates := q.assess(q.servers(), now)
	allowance := q.sharesLocked(candidates, now)
	chosen, stale := q.planLocked(candidates, allowance, now)
	if len(stale) == 0 {
		q.dispatchLocked(candidates, allowance, now)
		return
	}
	q.dispatching = true
	go func() {
		q.f.opts.Refresh(context.Background(), stale, refreshWait)
		q.mu.Lock()
		defer q.mu.Unlock()
		q.dispatching = false
		now := time.Now()
		q.sortLocked(now)
		q.dispatchLocked(q.assess(q.named(chosen), now), allowance, now)
	}()
}

// planLocked returns the IDs of the servers to which the waiting requests would go, and those of
// them that are to be checked before. If the rate of checks does not allow any, none is checked
// and requests are sent by the readings there are.
func (q *queue) planLocked(candidates candidateSet, allowance admission.Counts, now time.Time) (chosen []string, stale []readings.Target) {
	left := candidates
	for _, w := range q.waiters[:min(allowance.InTime+allowance.Late, len(q.waiters))] {
		untried := left.excluding(w.x.tried)
		i := placement.Choose(untried.assessed, q.maxTime(w, now))
		if i < 0 {
			continue
		}
		server := untried.servers[i]
		left = left.excluding([]string{server.ID})
		load := q.f.opts.Board.Load(server.ID, now)
		switch {
		case w.x.service.HealthPath == "" || load.Age <= freshAge || load.Limit.Named:
			chosen = append(chosen, server.ID)
		case q.takeChecksLocked(1, now) == 1:
			chosen = append(chosen, server.ID)
			stale = append(stale, q.target(server, w.x))
		}
	}
	return chosen, stale
}

// dispatchLocked sends waiting requests in their order to the candidates, up to the allowance.
func (q *queue) dispatchLocked(candidates candidateSet, allowance admission.Counts, now time.Time) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		allowed := &allowance.InTime
		if w.Late(now, q.serviceTime) {
			allowed = &allowance.Late
		}
		untried := candidates.excluding(w.x.tried)
		if *allowed <= 0 {
			untried = untried.limited()
		}
		r, ok := q.reserveLocked(w, untried, now)
		if !ok {
			return false
		}
		q.reassess(candidates, r.server, now)
		if !r.load.Limited() {
			*allowed--
		}
		w.granted <- grant{reservation: r}
		return true
	})
	q.publishBacklogLocked(now)
}

// sharesLocked returns how many waiting requests this instance may send now. The
// first waiter determines which servers are fast enough for those in time.
func (q *queue) sharesLocked(candidates candidateSet, now time.Time) admission.Counts {
	assessed := candidates.excluding(q.waiters[0].x.tried).assessed
	own, others := counts(q.waiters, now, q.serviceTime), q.f.opts.Backlogs.Others(q.service, now)
	inTime := admission.Shares(placement.SpareCapacity(assessed, q.maxTime(q.waiters[0], now)), own, others)
	late := admission.Shares(placement.SpareCapacity(assessed, math.Inf(1)), own, others)
	return admission.Counts{InTime: inTime.InTime, Late: late.Late}
}
