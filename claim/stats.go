package claim

import (
	"sync"
	"sync/atomic"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

// Stats are counters of one instance since its journal was created.
type Stats struct {
	// Verdicts counts the decisions made for any instance, by verdict.
	Verdicts map[Verdict]uint64
	// Failed counts claims that ended without a decision.
	Failed uint64
	// HeadWrites, Conflicts, Rotations, Merges and Reads count store
	// operations. Conflicts are included in HeadWrites. Each rotation and
	// each merge writes one object.
	HeadWrites, Conflicts, Rotations, Merges, Reads uint64
	// HeadBytes is the total size of the heads written, in bytes.
	HeadBytes uint64
	// Claims and Ends count the records appended.
	Claims, Ends uint64
	// DroppedEnds counts ends that were dropped because a queue was full.
	DroppedEnds uint64
	// Keys is the number of keys in memory, KeyBytes their approximate
	// memory.
	Keys, KeyBytes int
}

type keyCount struct{ keys, bytes int }

type counters struct {
	verdicts                                    [Mismatch + 1]atomic.Uint64
	failures                                    atomic.Uint64
	writes, conflicts, reads, rotations, merges atomic.Uint64
	bytes, claims, ends, dropped                atomic.Uint64

	mu   sync.Mutex
	keys map[int]keyCount
}

func (c *counters) addVerdict(v Verdict) { c.verdicts[v].Add(1) }

func (c *counters) addFailures(n int) { c.failures.Add(uint64(n)) }

func (c *counters) addHeadWrite(size int) {
	c.writes.Add(1)
	c.bytes.Add(uint64(size))
}

func (c *counters) addRecords(batch *claimpb.Batch) {
	c.claims.Add(uint64(len(batch.GetClaims())))
	c.ends.Add(uint64(len(batch.GetEnds())))
}

func (c *counters) setKeys(partition, keys, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keys == nil {
		c.keys = make(map[int]keyCount)
	}
	c.keys[partition] = keyCount{keys, bytes}
}

// keyCount returns the number of keys in memory and their approximate memory.
func (c *counters) keyCount() (keys, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.keys {
		keys += n.keys
		bytes += n.bytes
	}
	return keys, bytes
}

func (c *counters) snapshot() Stats {
	stats := Stats{
		Verdicts:    make(map[Verdict]uint64),
		Failed:      c.failures.Load(),
		HeadWrites:  c.writes.Load(),
		Conflicts:   c.conflicts.Load(),
		Rotations:   c.rotations.Load(),
		Merges:      c.merges.Load(),
		Reads:       c.reads.Load(),
		HeadBytes:   c.bytes.Load(),
		Claims:      c.claims.Load(),
		Ends:        c.ends.Load(),
		DroppedEnds: c.dropped.Load(),
	}
	for v := Run; v <= Mismatch; v++ {
		stats.Verdicts[v] = c.verdicts[v].Load()
	}
	stats.Keys, stats.KeyBytes = c.keyCount()
	return stats
}
