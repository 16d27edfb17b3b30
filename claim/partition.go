package claim

import (
	"context"
	"errors"
	"time"

	"github.com/pomelolock/pomelolock/claim/claimpb"
	"github.com/pomelolock/pomelolock/storage"
)

const (
	// maxAppendTries bounds the writes that one step tries.
	maxAppendTries = 16
	// storeRest is how long a partition refuses claims after the store
	// failed, before it asks the store again.
	storeRest = 200 * time.Millisecond
)

const (
	errContended Reason = "too many writers of the partition"
	errStopped   Reason = "journal stopped"
	errQueueFull Reason = "queue full"
	errKeysFull  Reason = "no memory for more keys"
)

type result struct {
	decision Decision
	err      error
}

// op is a claim that waits for its decision.
type op struct {
	ctx   context.Context
	claim *claimpb.Claim
	// reply has room for the one result.
	reply chan result
}

// pendingEnd is an end that waits for its write.
type pendingEnd struct {
	end *claimpb.End
	// checked tells that the index was read after the end arrived.
	checked bool
}

// partition decides the claims of one partition in one goroutine. Any instance
// may do so at any time: a batch counts only once it has been appended to the
// version of the head that its decisions were made against.
type partition struct {
	store *partitionStore
	opts  *Options
	stats *counters
	// partitions is the number of partitions of the journal.
	partitions int

	ops   chan *op
	ends  chan *claimpb.End
	warm  chan struct{}
	flush chan chan struct{}
	// stopped is closed when run has returned.
	stopped chan struct{}

	// The goroutine of run owns the fields below.
	claims  []*op
	pending []pendingEnd
	// pendingBytes is the encoded size of pending.
	pendingBytes int
	// flushDue fires when pending has waited long enough; nil if unset.
	flushDue  <-chan time.Time
	pace      pace
	downUntil time.Time
	downErr   error
	paced     bool
	usedAt    time.Time
	sweptAt   time.Time
	merging   bool
	mergeDone chan *merged
}

func newPartition(number, partitions int, opts *Options, stats *counters) *partition {
	return &partition{
		store:      newPartitionStore(number, opts, stats),
		opts:       opts,
		stats:      stats,
		partitions: partitions,
		ops:        make(chan *op, opts.Queue),
		ends:       make(chan *claimpb.End, opts.Queue),
		warm:       make(chan struct{}, 1),
		flush:      make(chan chan struct{}),
		stopped:    make(chan struct{}),
		mergeDone:  make(chan *merged, 1),
	}
}

func (p *partition) run(ctx context.Context) {
	defer close(p.stopped)
	defer p.awaitMerge()
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		flushed, ok := p.wait(ctx, ticker.C)
		if !ok {
			p.collect()
			p.fail(errStopped)
			return
		}
		p.step(ctx)
		if flushed != nil {
			p.drain(ctx)
			close(flushed)
		}
	}
}

// drain writes the ends that are queued now.
func (p *partition) drain(ctx context.Context) {
	for range len(p.ends)/p.opts.MaxBatch + 1 {
		p.step(ctx)
	}
}

// preload reads the partition ahead of its first claim.
func (p *partition) preload(ctx context.Context) {
	p.store.stale = true
	p.usedAt = time.Now()
	if err := p.load(ctx); err != nil {
		p.opts.Logger.Warn("claim_preload_failed", "partition", p.store.number, "err", err)
	}
}

// step decides the waiting claims and appends what they and the ends need.
func (p *partition) step(ctx context.Context) {
	p.collect()
	if len(p.claims) == 0 && len(p.pending) == 0 {
		return
	}
	p.usedAt = time.Now()
	if time.Now().Before(p.downUntil) {
		p.refuse(p.downErr)
		return
	}
	for range maxAppendTries {
		done, err := p.try(ctx)
		if err != nil {
			p.rest(err)
			return
		}
		if done {
			return
		}
	}
	p.fail(errContended)
}

// rest fails the waiting claims and those of the coming moments.
func (p *partition) rest(err error) {
	p.downUntil = time.Now().Add(storeRest)
	p.downErr = err
	p.opts.Logger.Warn("claim_store_failed", "partition", p.store.number, "err", err)
	p.refuse(err)
}

// try makes one plan and appends it. It reports false if the head had moved on
// or the outcome is unknown, so that a new plan is due.
func (p *partition) try(ctx context.Context) (bool, error) {
	if err := p.loadForWrite(ctx); err != nil {
		return false, err
	}
	p.takeMerge()
	plan, decisions, stale := p.plan()
	if wait := p.pace.wait(time.Now()); wait > 0 && !stale && !plan.empty() {
		if err := pause(ctx, wait); err != nil {
			return false, err
		}
		plan, decisions, stale = p.plan()
	}
	if stale {
		p.store.stale = true
		p.markChecked()
		return false, nil
	}
	if plan.empty() {
		p.answer(decisions)
		p.clearEnds()
		return true, nil
	}
	writes, err := p.store.append(ctx, plan)
	p.pace.spend(time.Now(), p.interval(), writes)
	switch {
	case err == nil:
		p.answer(decisions)
		p.clearEnds()
		p.store.deleteUnused(ctx)
		p.startMerge(ctx)
		return true, nil
	case isRetryable(err):
		p.store.stale = true
		return false, nil
	default:
		p.store.stale = true
		return false, err
	}
}

// loadForWrite brings the index up to date. While others write too, it waits for
// the pace first, so that the index is fresh when it is written to.
func (p *partition) loadForWrite(ctx context.Context) error {
	if p.contended() {
		p.store.stale = true
		if err := pause(ctx, p.pace.wait(time.Now())); err != nil {
			return err
		}
	}
	if err := p.load(ctx); err != nil {
		return err
	}
	p.notePeers()
	return nil
}

func (p *partition) load(ctx context.Context) error {
	if err := p.store.load(ctx); err != nil {
		return err
	}
	if p.store.rebuilt {
		p.store.prune()
	}
	return nil
}

// isRetryable reports whether reading the head again settles the failure.
func isRetryable(err error) bool {
	var conflict *storage.ConflictError
	var unknown *storage.UnknownOutcomeError
	return errors.As(err, &conflict) || errors.As(err, &unknown)
}
