package claim

import (
	"context"
	"time"
)

const (
	// maintenanceInterval is the time between two calls of maintain.
	maintenanceInterval = time.Minute
	// idleTimeout is how long an unused partition stays in memory.
	idleTimeout = 10 * time.Minute
	// sweepInterval is the minimum time between two sweeps of unused
	// objects.
	sweepInterval = 15 * time.Minute
)

// recordPeerWrites informs the pacer of the writes of other instances that were
// read since the last call. It starts the pacer if needed.
func (p *partition) recordPeerWrites() {
	now, nowMS := time.Now(), p.store.nowMS()
	if !p.pacerStarted {
		p.pacerStarted = true
		p.pacer.start(now)
	}
	for _, seen := range p.store.takeOtherWrites() {
		age := time.Duration(max(0, nowMS-seen.timeMS)) * time.Millisecond
		p.pacer.recordWriter(seen.writer, now.Add(-age))
	}
}

// contended reports whether other instances write to the partition.
func (p *partition) contended() bool {
	return p.pacer.writerCount(time.Now(), p.interval()) > 1
}

// interval returns the time between two writes of the partition at its full
// share of the write budget.
func (p *partition) interval() time.Duration {
	writes := defaultWritesPerSecond
	if snapshot := p.opts.Current.Load(); snapshot != nil && snapshot.Fleet().ClaimWritesPerSecond > 0 {
		writes = snapshot.Fleet().ClaimWritesPerSecond
	}
	return time.Second * time.Duration(p.partitionCount) / time.Duration(writes)
}

// maintain deletes expired keys and unused objects. It unloads the partition if
// it has been idle for idleTimeout.
func (p *partition) maintain(ctx context.Context) {
	if !p.store.loaded {
		return
	}
	now := time.Now()
	if now.Sub(p.lastUsed) >= idleTimeout && len(p.pendingEnds) == 0 {
		p.store.unload()
		p.pacerStarted = false
		return
	}
	p.store.prune()
	if now.Sub(p.lastSweep) >= sweepInterval {
		p.lastSweep = now
		p.store.sweep(ctx)
	}
}

// keyMemoryFull reports whether the memory limit for keys has been reached.
func (p *partition) keyMemoryFull() bool {
	_, bytes := p.stats.keyCount()
	return bytes >= p.opts.KeyBytes
}

// startMerge starts a merge of segments in its own goroutine, if one is due. At
// most one merge runs at a time.
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

// collectMerge makes the result of a finished merge available to the next
// append.
func (p *partition) collectMerge() {
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
