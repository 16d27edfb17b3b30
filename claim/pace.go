package claim

import "time"

// writerWindow is how long another writer of the partition counts.
const writerWindow = 2 * time.Second

// burst is the time whose writes an idle partition may make at once.
const burst = 250 * time.Millisecond

// pace spaces the writes of one partition. The fleet's budget is split evenly
// over the partitions, and a partition's share over the writers seen in its
// head lately.
type pace struct {
	// next is when the writes made so far have been paid for.
	next    time.Time
	writers map[string]time.Time
}

// saw notes a write of another instance.
func (p *pace) saw(writer string, now time.Time) {
	if p.writers == nil {
		p.writers = make(map[string]time.Time)
	}
	p.writers[writer] = now
}

// interval returns the time between two writes.
func (p *pace) interval(now time.Time, writesPerSecond, partitions int) time.Duration {
	sharing := 1
	for writer, seen := range p.writers {
		if now.Sub(seen) > writerWindow {
			delete(p.writers, writer)
			continue
		}
		sharing++
	}
	return time.Second * time.Duration(partitions*sharing) / time.Duration(max(writesPerSecond, 1))
}

// wait returns how long the next write has to wait.
func (p *pace) wait(now time.Time) time.Duration {
	return max(0, p.next.Sub(now)-burst)
}

// spend accounts for n writes.
func (p *pace) spend(now time.Time, interval time.Duration, n int) {
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(interval * time.Duration(n))
}
