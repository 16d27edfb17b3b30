package slot

import (
	"sync"
	"time"
)

const (
	// pacerInterval is the interval over which bytes are counted.
	pacerInterval = 100 * time.Millisecond
	// pacerWeight is the weight of one interval in the byte rate.
	pacerWeight = 0.2
	// maxPause is the longest time for which asks are coalesced.
	maxPause = 10 * time.Millisecond
)

// pacer measures the bytes sent and slows messages down near the budget.
type pacer struct {
	mu     sync.Mutex
	budget float64
	// rate is in bytes per second.
	rate  float64
	bytes int
	start time.Time
}

func newPacer(budget int) *pacer { return &pacer{budget: float64(budget)} }

func (p *pacer) add(bytes int) {
	p.mu.Lock()
	p.bytes += bytes
	p.mu.Unlock()
}

// use returns the share of the budget that is in use.
func (p *pacer) use(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if elapsed := now.Sub(p.start); elapsed >= pacerInterval {
		if elapsed < time.Minute {
			p.rate += pacerWeight * (float64(p.bytes)/elapsed.Seconds() - p.rate)
		}
		p.bytes, p.start = 0, now
	}
	return p.rate / p.budget
}

// interval is the least time to the next flush: none below half the budget, and
// growing up to maxPause at the budget.
func (p *pacer) interval(now time.Time) time.Duration {
	share := min(max(2*p.use(now)-1, 0), 1)
	return time.Duration(share * float64(maxPause))
}

// idleTime is how long idle leases are kept.
func (p *pacer) idleTime(now time.Time) time.Duration {
	share := min(max(p.use(now)-0.25, 0)/0.75, 1)
	return minIdleTime + time.Duration(share*float64(maxIdleTime-minIdleTime))
}
