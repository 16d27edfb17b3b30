package claim

import (
	"context"
	"time"
)

const (
	// pruneInterval is the time between two sweeps of expired keys.
	pruneInterval = time.Minute
	// sweepInterval is the time between two sweeps of unused objects.
	sweepInterval = 15 * time.Minute
)

// startPace begins without credit, so that a partition that moves does not
// bring a second burst.
func (p *partition) startPace() {
	if !p.paced {
		p.paced = true
		p.pace.next = time.Now().Add(burst)
	}
	for _, writer := range p.store.takeWriters() {
		p.pace.saw(writer, time.Now())
	}
}

func (p *partition) interval() time.Duration {
	writes := defaultWritesPerSecond
	if snapshot := p.opts.Current.Load(); snapshot != nil && snapshot.Fleet().ClaimWritesPerSecond > 0 {
		writes = snapshot.Fleet().ClaimWritesPerSecond
	}
	return p.pace.interval(time.Now(), writes, p.partitions)
}

func (p *partition) retentionMS() int64 {
	if snapshot := p.opts.Current.Load(); snapshot != nil && snapshot.Fleet().ClaimRetentionMS > 0 {
		return snapshot.Fleet().ClaimRetentionMS
	}
	return defaultRetention.Milliseconds()
}

func (p *partition) prune(ctx context.Context) {
	now := time.Now()
	if now.Sub(p.prunedAt) < pruneInterval {
		return
	}
	p.prunedAt = now
	p.store.index.prune(p.store.nowMS(), p.retentionMS())
	p.stats.setKeys(p.store.number, len(p.store.index))
	if now.Sub(p.sweptAt) >= sweepInterval {
		p.sweptAt = now
		p.store.sweep(ctx)
	}
}

// startMerge merges segments beside the goroutine of run, one merge at a time.
func (p *partition) startMerge(ctx context.Context) {
	from := mergeCandidates(p.store.head.GetSegments())
	if p.merging || p.store.merged != nil || from == nil {
		return
	}
	p.merging = true
	sequence, nowMS, retentionMS := p.store.head.GetSequence(), p.store.nowMS(), p.retentionMS()
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
