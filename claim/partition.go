package claim

import (
	"context"
	"errors"
	"time"

	"github.com/pomelolock/pomelolock/claim/claimpb"
	"github.com/pomelolock/pomelolock/storage"
)

const (
	// maxAppendAttempts is the maximum number of append attempts in one
	// step.
	maxAppendAttempts = 16
	// storeBackoff is how long a partition rejects claims of new keys after
	// a store failure, before it calls the store again.
	storeBackoff = 200 * time.Millisecond
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

// pendingClaim is a claim that waits for its decision.
type pendingClaim struct {
	ctx   context.Context
	claim *claimpb.Claim
	// reply is buffered for the one result.
	reply chan result
}

// pendingEnd is an end that waits for its write.
type pendingEnd struct {
	end *claimpb.End
	// checked means that the index has been read since the end arrived.
	checked bool
}

// partition decides the claims of one partition in a single goroutine. Any
// instance may do so at any time: a batch counts only once it has been appended
// to the version of the head that its decisions are based on.
type partition struct {
	store *partitionStore
	opts  *Options
	stats *counters
	// partitionCount is the number of partitions of the journal.
	partitionCount int

	claimQueue      chan *pendingClaim
	endQueue        chan *claimpb.End
	preloadRequests chan struct{}
	flushRequests   chan chan struct{}
	// stopped is closed when run has returned.
	stopped chan struct{}

	// The fields below belong to the goroutine of run.
	pendingClaims []*pendingClaim
	pendingEnds   []pendingEnd
	// pendingEndBytes is the encoded size of pendingEnds.
	pendingEndBytes int
	// flushTimer fires when pendingEnds have waited for the flush interval.
	// It is nil if unset.
	flushTimer   <-chan time.Time
	pacer        writePacer
	downUntil    time.Time
	downErr      error
	pacerStarted bool
	lastUsed     time.Time
	lastSweep    time.Time
	merging      bool
	mergeDone    chan *mergedSegment
}

func newPartition(number, partitions int, opts *Options, stats *counters) *partition {
	return &partition{
		store:           newPartitionStore(number, opts, stats),
		opts:            opts,
		stats:           stats,
		partitionCount:  partitions,
		claimQueue:      make(chan *pendingClaim, opts.QueueSize),
		endQueue:        make(chan *claimpb.End, opts.QueueSize),
		preloadRequests: make(chan struct{}, 1),
		flushRequests:   make(chan chan struct{}),
		stopped:         make(chan struct{}),
		mergeDone:       make(chan *mergedSegment, 1),
	}
}

func (p *partition) run(ctx context.Context) {
	defer close(p.stopped)
	defer p.awaitMerge()
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		flushed, ok := p.waitForWork(ctx, ticker.C)
		if !ok {
			p.collect()
			p.failAll(errStopped)
			return
		}
		p.step(ctx)
		if flushed != nil {
			p.flushQueued(ctx)
			close(flushed)
		}
	}
}

// flushQueued writes the ends that are queued at present.
func (p *partition) flushQueued(ctx context.Context) {
	for range len(p.endQueue)/p.opts.MaxBatch + 1 {
		p.step(ctx)
	}
}

// preload loads the partition ahead of its first claim.
func (p *partition) preload(ctx context.Context) {
	p.store.stale = true
	p.lastUsed = time.Now()
	if err := p.load(ctx); err != nil {
		p.opts.Logger.Warn("claim_preload_failed", "partition", p.store.number, "err", err)
	}
}

// step decides the pending claims and appends the claims and ends that need to
// be recorded.
func (p *partition) step(ctx context.Context) {
	p.collect()
	if len(p.pendingClaims) == 0 && len(p.pendingEnds) == 0 {
		return
	}
	p.lastUsed = time.Now()
	if time.Now().Before(p.downUntil) {
		p.failUndecided(p.downErr)
		return
	}
	for range maxAppendAttempts {
		done, err := p.tryAppend(ctx)
		if err != nil {
			p.backOff(err)
			return
		}
		if done {
			return
		}
	}
	p.failAll(errContended)
}

// backOff fails the pending claims of new keys and makes the partition reject
// further ones for storeBackoff.
func (p *partition) backOff(err error) {
	p.downUntil = time.Now().Add(storeBackoff)
	p.downErr = err
	p.opts.Logger.Warn("claim_store_failed", "partition", p.store.number, "err", err)
	p.failUndecided(err)
}

// tryAppend builds a plan and appends it. It returns false if a new plan is
// needed: the index may be stale, the head has changed, or the outcome of the
// write is unknown.
func (p *partition) tryAppend(ctx context.Context) (bool, error) {
	if err := p.loadForWrite(ctx); err != nil {
		return false, err
	}
	p.collectMerge()
	plan, decisions, stale := p.buildPlan()
	if wait := p.pacer.wait(time.Now()); wait > 0 && !stale && !plan.empty() {
		if err := sleep(ctx, wait); err != nil {
			return false, err
		}
		plan, decisions, stale = p.buildPlan()
	}
	if stale {
		p.store.stale = true
		p.markChecked()
		return false, nil
	}
	if plan.empty() {
		p.replyAll(decisions)
		p.clearPendingEnds()
		return true, nil
	}
	writes, err := p.store.append(ctx, plan)
	p.pacer.charge(time.Now(), p.interval(), writes)
	switch {
	case err == nil:
		p.replyAll(decisions)
		p.clearPendingEnds()
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

// loadForWrite brings the index up to date. While other instances write to the
// partition, it first waits until the pacer allows a write, so that the index
// is fresh when the batch is appended.
func (p *partition) loadForWrite(ctx context.Context) error {
	if p.contended() {
		p.store.stale = true
		if err := sleep(ctx, p.pacer.wait(time.Now())); err != nil {
			return err
		}
	}
	if err := p.load(ctx); err != nil {
		return err
	}
	p.recordPeerWrites()
	return nil
}

func (p *partition) load(ctx context.Context) error {
	if err := p.store.load(ctx); err != nil {
		return err
	}
	if p.store.needsPrune {
		p.store.prune()
	}
	return nil
}

// isRetryable reports whether reading the head again resolves the failure.
func isRetryable(err error) bool {
	var conflict *storage.ConflictError
	var unknown *storage.UnknownOutcomeError
	return errors.As(err, &conflict) || errors.As(err, &unknown)
}
