package claim

import "time"

const (
	// burstWindow is the period whose budget of writes an idle partition
	// may use at once.
	burstWindow = 250 * time.Millisecond
	// writerTTL is how long another writer of the partition is counted
	// after its last write, in addition to a few write intervals.
	writerTTL = 2 * time.Second
)

// writePacer limits the write rate of one partition. Every partition has an
// equal share of the fleet's write budget. Instances that see each other's
// writes in the head divide the share among them.
type writePacer struct {
	// paidUntil is the time up to which the budget has been used by writes.
	paidUntil time.Time
	writers   map[string]time.Time
}

// start starts the pacer without burst credit, so that a partition that moves
// to another instance does not get a second burst.
func (p *writePacer) start(now time.Time) {
	p.paidUntil = now.Add(burstWindow)
}

// recordWriter records a write that another instance made at the given time.
func (p *writePacer) recordWriter(writer string, at time.Time) {
	if p.writers == nil {
		p.writers = make(map[string]time.Time)
	}
	p.writers[writer] = at
}

// writerCount returns the number of instances that write to the partition,
// including this one.
func (p *writePacer) writerCount(now time.Time, interval time.Duration) int {
	for writer, seen := range p.writers {
		if now.Sub(seen) > writerTTL+4*interval {
			delete(p.writers, writer)
		}
	}
	return 1 + len(p.writers)
}

// wait returns the delay before the next write.
func (p *writePacer) wait(now time.Time) time.Duration {
	return max(0, p.paidUntil.Add(-burstWindow).Sub(now))
}

// charge charges n writes to the budget.
func (p *writePacer) charge(now time.Time, interval time.Duration, n int) {
	if p.paidUntil.Before(now) {
		p.paidUntil = now
	}
	p.paidUntil = p.paidUntil.Add(interval * time.Duration(n*p.writerCount(now, interval)))
}
