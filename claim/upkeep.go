package claim

import (
	"context"
	"time"
)

const (
	// upkeepInterval is the time between two calls of upkeep.
	upkeepInterval = time.Minute
	// idleInterval is how long a partition stays in memory without use.
	idleInterval = 10 * time.Minute
	// sweepInterval is the time between two sweeps of unused objects.
	sweepInterval = 15 * time.Minute
)

// notePeers tells the pace of the writes of other instances read since the last
// call.
func (p *partition) notePeers() {
	now, nowMS := time.Now(), p.store.nowMS()
	if !p.paced {
		p.paced = true
		p.pace.start(now)
	}
	for _, seen := range p.store.takeSeen() {
		age := time.Duration(max(0, nowMS-seen.timeMS)) * time.Millisecond
		p.pace.saw(seen.writer, now.Add(-age))
	}
}

// contended reports whether other instances write to the partition.
func (p *partition) contended() bool {
	return p.pace.sharing(time.Now(), p.interval()) > 1
}

// interval returns the time between two writes of the partition.
func (p *partition) interval() time.Duration {
	writes := defaultWritesPerSecond
	if snapshot := p.opts.Current.Load(); snapshot != nil && snapshot.Fleet().ClaimWritesPerSecond > 0 {
		writes = snapshot.Fleet().ClaimWritesPerSecond
	}
	return time.Second * time.Duration(p.partitions) / time.Duration(writes)
}

// upkeep forgets expired keys, deletes unused objects, and forgets the whole
// partition if it has not been used for a while.
func (p *partition) upkeep(ctx context.Context) {
	if !p.store.loaded {
		return
	}
	now := time.Now()
	if now.Sub(p.usedAt) >= idleInterval && len(p.pending) == 0 {
		p.store.unload()
		p.paced = false
		return
	}
	p.store.prune()
	if now.Sub(p.sweptAt) >= sweepInterval {
		p.sweptAt = now
		p.store.sweep(ctx)
	}
}

// full reports whether no more keys may be taken into memory.
func (p *partition) full() bool {
	_, bytes := p.stats.keyCount()
	return bytes >= p.opts.KeyBytes
}

// startMerge merges segments beside the goroutine of run, one merge at a time.
func (p *partition) startMerge(ctx context.Context) {
	from := mergeCandidates(p.store.head.GetSegments())
	if p.merging || p.store.merged != nil || from == nil {
		return
	}
	p.merging = true
	sequence, nowMS, retentionMS := p.store.head.GetSequence(), p.store.nowMS(), p.opts.retentionMS()
	go func() {
		m, err := p.store.merge(ctx, sequence, from, nowMS, retentionMS)
		if err != nil {
			p.opts.Logger.Warn("claim_merge_failed", "partition", p.store.number, "err", err)
			m = nil
		}
		p.mergeDone <- m
	}()
}

// takeMerge passes a finished merge to the next append.
func (p *partition) takeMerge() {
	select {
	case m := <-p.mergeDone:
		p.merging = false
		p.store.merged = m
	default:
	}
}

func (p *partition) awaitMerge() {
	if p.merging {
		<-p.mergeDone
	}
}
