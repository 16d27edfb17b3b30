package slot

import (
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/table"
)

const (
	// queueInterval is the time over which the shortest wait is taken.
	queueInterval = 100 * time.Millisecond
	// admitShare is the share of a request's time that it may be expected to
	// wait.
	admitShare = 0.25
	// standingShare is the share of the deadline from which a shortest wait
	// tells that too many were admitted.
	standingShare = 0.5
	// rateWeight is the weight of one interval in the service rate.
	rateWeight = 0.3
)

// waiter is a request that waits for a lease.
type waiter struct {
	flow     string
	exclude  []string
	enqueued time.Time
	// deadline is the zero time for none.
	deadline time.Time
	// result receives the one answer; its buffer holds it.
	result chan waitResult
}

// waitResult is a lease, or a refusal if lease is nil.
type waitResult struct {
	lease      *lease
	holder     *holder
	server     table.Server
	retryAfter time.Duration
}

// flowQueue holds the waiters of one flow, oldest first.
type flowQueue struct {
	name    string
	waiters []*waiter
}

// queue holds the waiters of one service. Flows take turns. Within a flow the
// oldest goes first while waits are short; while a standing queue shows, the
// newest goes first, so that those that are served are served in time. It is a
// pure state machine.
type queue struct {
	limit int
	flows []*flowQueue
	next  int
	size  int

	// latency is what a request needs after it was given a lease.
	latency time.Duration
	// rate is the number of requests started in a second.
	rate float64
	// emptyAt is when the queue was last seen empty.
	emptyAt       time.Time
	served        int
	intervalStart time.Time
	// shortest is the least wait in this interval.
	shortest time.Duration
	standing bool
}

func newQueue(limit int) *queue { return &queue{limit: limit} }

// admit adds w, or tells when to come back if w can't be served in time.
func (q *queue) admit(w *waiter, now time.Time) (retryAfter time.Duration, ok bool) {
	q.roll(now)
	if q.size == 0 {
		q.emptyAt = now
	}
	if q.size >= q.limit {
		return q.retryAfter(), false
	}
	if !w.deadline.IsZero() {
		left := w.deadline.Sub(now) - q.latency
		if left <= 0 || q.loaded(now) && q.expectedWait() > time.Duration(admitShare*float64(left)) {
			return q.retryAfter(), false
		}
	}
	flow := q.flow(w.flow)
	flow.waiters = append(flow.waiters, w)
	q.size++
	return 0, true
}

func (q *queue) flow(name string) *flowQueue {
	for _, flow := range q.flows {
		if flow.name == name {
			return flow
		}
	}
	flow := &flowQueue{name: name}
	q.flows = append(q.flows, flow)
	return flow
}

// loaded reports whether the queue has not been empty for an interval, so that
// the rate tells what the servers can do.
func (q *queue) loaded(now time.Time) bool { return now.Sub(q.emptyAt) >= queueInterval }

// started counts a request that needed no waiting.
func (q *queue) started(now time.Time) {
	q.roll(now)
	q.served++
}

func (q *queue) expectedWait() time.Duration {
	if q.rate <= 0 {
		return 0
	}
	return time.Duration(float64(q.size) / q.rate * float64(time.Second))
}

// retryAfter is the time in which the present queue is served.
func (q *queue) retryAfter() time.Duration {
	return max(q.expectedWait(), queueInterval)
}

// roll closes an interval: it updates the rate and decides the order.
func (q *queue) roll(now time.Time) {
	elapsed := now.Sub(q.intervalStart)
	if elapsed < queueInterval {
		return
	}
	rate := float64(q.served) / elapsed.Seconds()
	if q.rate == 0 || elapsed > 10*queueInterval {
		q.rate = rate
	} else {
		q.rate += rateWeight * (rate - q.rate)
	}
	q.standing = q.size > 0 && q.served > 0 && q.shortest > q.target()
	q.served, q.shortest, q.intervalStart = 0, time.Hour, now
}

// target is the wait above which a queue counts as standing.
func (q *queue) target() time.Duration {
	var deadline time.Duration
	for _, flow := range q.flows {
		for _, w := range flow.waiters {
			if !w.deadline.IsZero() {
				deadline = max(deadline, w.deadline.Sub(w.enqueued))
			}
		}
	}
	return max(time.Duration(standingShare*float64(deadline)), q.latency)
}

// pop returns the next waiter that fits, in turn over the flows, or nil.
func (q *queue) pop(fits func(*waiter) bool, now time.Time) *waiter {
	q.roll(now)
	for i := range q.flows {
		at := (q.next + i) % len(q.flows)
		w := q.popFlow(q.flows[at], fits)
		if w == nil {
			continue
		}
		q.next = at + 1
		if len(q.flows[at].waiters) == 0 {
			q.flows = slices.Delete(q.flows, at, at+1)
			q.next = at
		}
		q.size--
		q.served++
		q.shortest = min(q.shortest, now.Sub(w.enqueued))
		return w
	}
	return nil
}

func (q *queue) popFlow(flow *flowQueue, fits func(*waiter) bool) *waiter {
	for i := range flow.waiters {
		if q.standing {
			i = len(flow.waiters) - 1 - i
		}
		if w := flow.waiters[i]; fits(w) {
			flow.waiters = slices.Delete(flow.waiters, i, i+1)
			return w
		}
	}
	return nil
}

// remove takes w out. It reports whether w was still waiting.
func (q *queue) remove(w *waiter) bool {
	for at, flow := range q.flows {
		i := slices.Index(flow.waiters, w)
		if i < 0 {
			continue
		}
		flow.waiters = slices.Delete(flow.waiters, i, i+1)
		if len(flow.waiters) == 0 {
			q.flows = slices.Delete(q.flows, at, at+1)
		}
		q.size--
		return true
	}
	return false
}

// late removes and returns the waiters that can't make their deadlines.
func (q *queue) late(now time.Time) []*waiter {
	q.roll(now)
	var late []*waiter
	for at := 0; at < len(q.flows); at++ {
		flow := q.flows[at]
		flow.waiters = slices.DeleteFunc(flow.waiters, func(w *waiter) bool {
			if w.deadline.IsZero() || w.deadline.Sub(now) > q.latency {
				return false
			}
			late = append(late, w)
			return true
		})
		if len(flow.waiters) == 0 {
			q.flows = slices.Delete(q.flows, at, at+1)
			at--
		}
	}
	q.size -= len(late)
	return late
}

// oldest returns when the longest waiting request was queued.
// avoided returns the servers that every waiter excludes.
func (q *queue) avoided() []string {
	var avoided []string
	first := true
	for _, flow := range q.flows {
		for _, w := range flow.waiters {
			if len(w.exclude) == 0 {
				return nil
			}
			if first {
				avoided, first = slices.Clone(w.exclude), false
				continue
			}
			avoided = slices.DeleteFunc(avoided, func(server string) bool { return !slices.Contains(w.exclude, server) })
		}
	}
	return avoided
}

func (q *queue) oldest() time.Time {
	var oldest time.Time
	for _, flow := range q.flows {
		if first := flow.waiters[0].enqueued; oldest.IsZero() || first.Before(oldest) {
			oldest = first
		}
	}
	return oldest
}

// addLatency takes in the time that a served request needed.
func (q *queue) addLatency(latency time.Duration) {
	if q.latency == 0 {
		q.latency = latency
		return
	}
	q.latency += time.Duration(latencyWeight * float64(latency-q.latency))
}
