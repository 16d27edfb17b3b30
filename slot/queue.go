package slot

import (
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/table"
)

const (
	// queueInterval is the interval over which the minimum wait and the service
	// rate are measured.
	queueInterval = 100 * time.Millisecond
	// admitShare is the maximum expected wait of an admitted request, as a
	// share of the time that it can spend waiting.
	admitShare = 0.25
	// standingShare is the share of the longest timeout above which the
	// minimum wait of an interval indicates a standing queue.
	standingShare = 0.5
	// rateWeight is the weight of one interval in the service rate.
	rateWeight = 0.3
)

// waiter is a request that waits for a lease.
type waiter struct {
	flow     string
	exclude  []string
	enqueued time.Time
	// deadline is zero if there is none.
	deadline time.Time
	// result receives exactly one value and has room for it.
	result chan waitResult
}

// waitResult is a lease, or a rejection with retryAfter if lease is nil.
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

// queue holds the waiters of one service. Flows are served round-robin. Within a
// flow the oldest waiter is served first. While there is a standing queue it is
// the newest, so that the requests that are served meet their deadlines. It is a
// pure state machine.
type queue struct {
	limit int
	flows []*flowQueue
	next  int
	size  int

	// latency is the average time that a request needs once it has a lease.
	latency time.Duration
	// rate is the average number of requests started per second.
	rate float64
	// emptyAt is when the queue was last seen empty.
	emptyAt       time.Time
	served        int
	intervalStart time.Time
	// minWait is the minimum wait of those served in this interval.
	minWait  time.Duration
	standing bool
}

func newQueue(limit int) *queue { return &queue{limit: limit} }

// admit queues w. If the queue is full or w can't be expected to be served in
// time, it returns false and the time after which to retry.
func (q *queue) admit(w *waiter, now time.Time) (retryAfter time.Duration, ok bool) {
	q.closeInterval(now)
	if q.size == 0 {
		q.emptyAt = now
	}
	if q.size >= q.limit {
		return q.retryAfter(), false
	}
	if !w.deadline.IsZero() {
		left := w.deadline.Sub(now) - q.latency
		if left <= 0 || q.backlogged(now) && q.expectedWait() > time.Duration(admitShare*float64(left)) {
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

// backlogged reports whether the queue was never seen empty during the last
// queueInterval, so that the rate measures the capacity of the servers.
func (q *queue) backlogged(now time.Time) bool { return now.Sub(q.emptyAt) >= queueInterval }

// countStarted counts a request that started without waiting.
func (q *queue) countStarted(now time.Time) {
	q.closeInterval(now)
	q.served++
}

func (q *queue) expectedWait() time.Duration {
	if q.rate <= 0 {
		return 0
	}
	return time.Duration(float64(q.size) / q.rate * float64(time.Second))
}

// retryAfter returns the expected time to serve the current queue.
func (q *queue) retryAfter() time.Duration {
	return max(q.expectedWait(), queueInterval)
}

// closeInterval ends the current interval if it is over: it updates the rate and
// detects a standing queue.
func (q *queue) closeInterval(now time.Time) {
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
	q.standing = q.size > 0 && q.served > 0 && q.minWait > q.standingThreshold()
	q.served, q.minWait, q.intervalStart = 0, time.Hour, now
}

// standingThreshold returns the minimum wait above which the queue counts as
// standing.
func (q *queue) standingThreshold() time.Duration {
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

// pop removes and returns the next waiter for which fits returns true, or nil.
func (q *queue) pop(fits func(*waiter) bool, now time.Time) *waiter {
	q.closeInterval(now)
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
		q.minWait = min(q.minWait, now.Sub(w.enqueued))
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

// remove removes w and reports whether it was still waiting.
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

// removeExpired removes and returns the waiters that can no longer meet their
// deadlines.
func (q *queue) removeExpired(now time.Time) []*waiter {
	q.closeInterval(now)
	var expired []*waiter
	for at := 0; at < len(q.flows); at++ {
		flow := q.flows[at]
		flow.waiters = slices.DeleteFunc(flow.waiters, func(w *waiter) bool {
			if w.deadline.IsZero() || w.deadline.Sub(now) > q.latency {
				return false
			}
			expired = append(expired, w)
			return true
		})
		if len(flow.waiters) == 0 {
			q.flows = slices.Delete(q.flows, at, at+1)
			at--
		}
	}
	q.size -= len(expired)
	return expired
}

// excludedByAll returns the servers that every waiter excludes.
func (q *queue) excludedByAll() []string {
	var excluded []string
	first := true
	for _, flow := range q.flows {
		for _, w := range flow.waiters {
			if len(w.exclude) == 0 {
				return nil
			}
			if first {
				excluded, first = slices.Clone(w.exclude), false
				continue
			}
			excluded = slices.DeleteFunc(excluded, func(server string) bool { return !slices.Contains(w.exclude, server) })
		}
	}
	return excluded
}

// oldestEnqueued returns when the longest waiting request was queued; zero if
// none is.
func (q *queue) oldestEnqueued() time.Time {
	var oldest time.Time
	for _, flow := range q.flows {
		if first := flow.waiters[0].enqueued; oldest.IsZero() || first.Before(oldest) {
			oldest = first
		}
	}
	return oldest
}

// addLatency adds the time that a request needed to the average.
func (q *queue) addLatency(latency time.Duration) {
	if q.latency == 0 {
		q.latency = latency
		return
	}
	q.latency += time.Duration(latencyWeight * float64(latency-q.latency))
}
