package forward

import (
	"slices"
	"sync"
	"time"
)

const (
	// timeoutSamples is the number of recent timeouts kept for a route, minTimeoutSamples the
	// number from which they are used.
	timeoutSamples    = 32
	minTimeoutSamples = 6
	// firstAttemptQuantile is a quantile of the timeouts above which there are only first
	// attempts, unless most requests are retries.
	firstAttemptQuantile = 0.75
	// maxTrackedRoutes limits the memory, because tables add and remove routes.
	maxTrackedRoutes = 20_000
)

// timeoutEstimator estimates how long callers have waited before a request. A caller that
// retries after a refusal has less time left than at its first attempt; the difference counts
// toward the target of its request. The timeouts of first attempts may differ: they are assumed
// to be spread evenly over a range, which is estimated for each route from its longest recent
// timeouts. It is safe for concurrent use.
type timeoutEstimator struct {
	mu      sync.Mutex
	byRoute map[string]*recentTimeouts
}

// recentTimeouts is a ring of the last timeouts of a route.
type recentTimeouts struct {
	samples [timeoutSamples]time.Duration
	count   int
}

func newTimeoutEstimator() *timeoutEstimator {
	return &timeoutEstimator{byRoute: make(map[string]*recentTimeouts)}
}

// elapsed records the timeout of a request and returns how long its caller has probably waited
// already: the difference to the mean timeout of first attempts, or zero if it may be a first
// attempt or not enough is known of the route.
func (e *timeoutEstimator) elapsed(route string, timeout time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	recent := e.byRoute[route]
	if recent == nil {
		if len(e.byRoute) >= maxTrackedRoutes {
			clear(e.byRoute)
		}
		recent = &recentTimeouts{}
		e.byRoute[route] = recent
	}
	recent.add(timeout)
	if recent.count < minTimeoutSamples {
		return 0
	}
	shortest, longest := recent.firstAttempts()
	if timeout >= shortest {
		return 0
	}
	return (shortest+longest)/2 - timeout
}

func (r *recentTimeouts) add(timeout time.Duration) {
	r.samples[r.count%timeoutSamples] = timeout
	r.count++
}

// firstAttempts returns the estimated range of the timeouts of first attempts. Retries among the
// samples make it wider, so that fewer requests are taken for retries.
func (r *recentTimeouts) firstAttempts() (shortest, longest time.Duration) {
	n := min(r.count, timeoutSamples)
	sorted := slices.Sorted(slices.Values(r.samples[:n]))
	longest = sorted[n-1]
	upper := longest - sorted[int(firstAttemptQuantile*float64(n))]
	return longest - time.Duration(float64(upper)/(1-firstAttemptQuantile)), longest
}
