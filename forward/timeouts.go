package forward

import (
	"sync"
	"time"
)

const (
	// trackedTimeouts is the number of distinct timeouts counted for a route.
	trackedTimeouts = 4
	// minTimeoutCount is the count from which the most frequent timeout is used.
	minTimeoutCount = 8
	// maxTrackedRoutes limits the memory, because tables add and remove routes.
	maxTrackedRoutes = 20_000
	// maxTimeoutCount limits a count, so that another timeout can overtake it.
	maxTimeoutCount = 100
)

// timeoutEstimator estimates the usual timeout of the callers of each route. A
// caller that retries after a refusal has less time left; the difference is the
// time that it has already waited, which counts toward the target of its request.
// It is safe for concurrent use.
type timeoutEstimator struct {
	mu      sync.Mutex
	byRoute map[string]*[trackedTimeouts]timeoutCount
}

type timeoutCount struct {
	timeout time.Duration
	count   int
}

func newTimeoutEstimator() *timeoutEstimator {
	return &timeoutEstimator{byRoute: make(map[string]*[trackedTimeouts]timeoutCount)}
}

// elapsed counts the timeout of a request and returns how long its caller has
// already waited: the difference to the usual timeout of the route, or zero if
// that is not known or not longer.
func (e *timeoutEstimator) elapsed(route string, timeout time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.byRoute[route]
	if counts == nil {
		if len(e.byRoute) >= maxTrackedRoutes {
			clear(e.byRoute)
		}
		counts = &[trackedTimeouts]timeoutCount{}
		e.byRoute[route] = counts
	}
	countTimeout(counts, timeout)
	usual := counts[0]
	for _, c := range counts[1:] {
		if c.count > usual.count {
			usual = c
		}
	}
	if usual.count < minTimeoutCount || timeout >= usual.timeout {
		return 0
	}
	return usual.timeout - timeout
}

// countTimeout counts a timeout. It retains the timeouts that make up more than a
// fifth of all. Source: Misra and Gries, "Finding repeated elements", 1982.
func countTimeout(counts *[trackedTimeouts]timeoutCount, timeout time.Duration) {
	for i := range counts {
		if counts[i].timeout == timeout && counts[i].count > 0 {
			counts[i].count = min(counts[i].count+1, maxTimeoutCount)
			return
		}
	}
	for i := range counts {
		if counts[i].count == 0 {
			counts[i] = timeoutCount{timeout: timeout, count: 1}
			return
		}
	}
	for i := range counts {
		counts[i].count--
	}
}
