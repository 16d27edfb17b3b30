package claim

import "time"

const (
	// burst is the time whose writes an idle partition may make at once.
	burst = 250 * time.Millisecond
	// writerWindow is how long another writer of the partition counts, on
	// top of the time of some writes.
	writerWindow = 2 * time.Second
)

// pace spaces the writes of one partition, whose share of the fleet's budget is
// the same for every partition. Writers that find each other in the head divide
// the share among them.
type pace struct {
	// next is when the writes made so far have been paid for.
	next    time.Time
	writers map[string]time.Time
}

// start begins without credit, so that a partition that moves does not bring a
// second burst.
func (p *pace) start(now time.Time) {
	p.next = now.Add(burst)
}

// saw notes a write that another instance made at the given time.
func (p *pace) saw(writer string, at time.Time) {
	if p.writers == nil {
		p.writers = make(map[string]time.Time)
	}
	p.writers[writer] = at
}

// sharing returns the number of writers of the partition.
func (p *pace) sharing(now time.Time, interval time.Duration) int {
	for writer, seen := range p.writers {
		if now.Sub(seen) > writerWindow+4*interval {
			delete(p.writers, writer)
		}
	}
	return 1 + len(p.writers)
}

// wait returns how long the next write has to wait.
func (p *pace) wait(now time.Time) time.Duration {
	return max(0, p.next.Add(-burst).Sub(now))
}

// spend charges for n writes.
func (p *pace) spend(now time.Time, interval time.Duration, n int) {
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(interval * time.Duration(n*p.sharing(now, interval)))
}
