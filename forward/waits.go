package forward

import (
	"sync"
	"time"
)

const (
	// waitValues is the number of values counted for a route.
	waitValues = 4
	// waitEnough is the count from which the most frequent value is believed.
	waitEnough = 8
	// maxWaitRoutes bounds the routes remembered; tables add and remove them.
	maxWaitRoutes = 20_000
	// waitMost bounds a count, so that another value can take over.
	waitMost = 100
)

// waits learns how long the callers of each route usually wait. A caller that
// comes back after a refusal has less time left than that: the difference is
// what it has waited already, which counts toward the target of its request. It
// is safe for concurrent use.
type waits struct {
	mu      sync.Mutex
	byRoute map[string]*[waitValues]waitCount
}

type waitCount struct {
	wait  time.Duration
	count int
}

func newWaits() *waits { return &waits{byRoute: make(map[string]*[waitValues]waitCount)} }

// elapsed counts a request and returns how long its caller has waited before,
// as far as the usual time of the route's callers tells.
func (w *waits) elapsed(route string, wait time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := w.byRoute[route]
	if counts == nil {
		if len(w.byRoute) >= maxWaitRoutes {
			clear(w.byRoute)
		}
		counts = &[waitValues]waitCount{}
		w.byRoute[route] = counts
	}
	count(counts, wait)
	usual := counts[0]
	for _, c := range counts[1:] {
		if c.count > usual.count {
			usual = c
		}
	}
	if usual.count < waitEnough || wait >= usual.wait {
		return 0
	}
	return usual.wait - wait
}

// count keeps the values that make up more than a fifth of all. Source: Misra and
// Gries, "Finding repeated elements", 1982.
func count(counts *[waitValues]waitCount, wait time.Duration) {
	for i := range counts {
		if counts[i].wait == wait && counts[i].count > 0 {
			counts[i].count = min(counts[i].count+1, waitMost)
			return
		}
	}
	for i := range counts {
		if counts[i].count == 0 {
			counts[i] = waitCount{wait: wait, count: 1}
			return
		}
	}
	for i := range counts {
		counts[i].count--
	}
}
