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
	// maxPause is the maximum time for which Ask messages are coalesced.
	maxPause = 10 * time.Millisecond
)

// pacer measures the rate of bytes sent and delays messages near the budget.
type pacer struct {
	mu sync.Mutex
	// budget and rate are in bytes per second; rate is a moving average.
	budget float64
	rate   float64
	// bytes counts what was sent since start.
	bytes int
	start time.Time
}

func newPacer(budget int) *pacer { return &pacer{budget: float64(budget)} }

func (p *pacer) add(bytes int) {
	p.mu.Lock()
	p.bytes += bytes
	p.mu.Unlock()
}

// utilization returns the ratio of the byte rate to the budget.
func (p *pacer) utilization(now time.Time) float64 {
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

// interval returns the pause before the next batch of Ask messages. It is zero
// up to half the budget and grows linearly to maxPause at the budget.
func (p *pacer) interval(now time.Time) time.Duration {
	share := min(max(2*p.utilization(now)-1, 0), 1)
	return time.Duration(share * float64(maxPause))
}

// idleTime returns how long idle leases are kept. It is minIdleTime up to a
// quarter of the budget and grows linearly to maxIdleTime at the budget.
func (p *pacer) idleTime(now time.Time) time.Duration {
	share := min(max(p.utilization(now)-0.25, 0)/0.75, 1)
	return minIdleTime + time.Duration(share*float64(maxIdleTime-minIdleTime))
}
