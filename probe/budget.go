package probe

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelolock/pomelolock/storage"
)

const (
	// recordKey is the key of the budget record in the table service.
	recordKey = "probe/budget"
	// maxAttempts is how often a lease is attempted in a row if its write
	// conflicts with that of another instance.
	maxAttempts = 3
	// retryInterval is the mean wait after a failure to obtain a lease. The
	// wait is drawn from 0.5 to 1.5 times as long.
	retryInterval = time.Second
	// storeTimeout bounds the read and the write of one attempt together.
	storeTimeout = 2 * time.Second
	// leaseDivisor sets the usual rate of a lease, the limit divided by it.
	leaseDivisor = 4
)

// Options configure a [Budget]. All fields but Logger are required.
type Options struct {
	// Tables is the platform's table service.
	Tables storage.TableService
	// Limit returns the limit of the active table.
	Limit func() Limit
	// Logger receives events; nil discards them.
	Logger *slog.Logger
}

// Stats are totals since the start of a budget.
type Stats struct {
	// Spent is the number of probes granted, Refused the number of calls of
	// [Budget.TryAcquire] that were refused.
	Spent, Refused uint64
	// Leases is the number of leases obtained. Reads and Writes count the
	// operations on the table service.
	Leases, Reads, Writes uint64
}

// Budget leases an instance's share of the fleet's probe rate. It is safe for
// concurrent use.
type Budget struct {
	opts        Options
	startedAt   time.Time
	leaseNeeded chan struct{}

	mu     sync.Mutex
	ledger ledger
	// wantedRate is the highest rate refused since the last lease.
	wantedRate int

	spent, refused, leases, reads, writes atomic.Uint64
}

// NewBudget returns a budget without a lease. Run obtains one after a call of
// TryAcquire was refused.
func NewBudget(opts Options) *Budget {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	return &Budget{opts: opts, startedAt: time.Now(), leaseNeeded: make(chan struct{}, 1)}
}

// now reads the monotonic clock.
func (b *Budget) now() time.Duration { return time.Since(b.startedAt) }

// TryAcquire reports whether n probes may be sent now, and counts them as sent.
// If there is no lease that allows n probes in a second, Run tries to obtain one.
func (b *Budget) TryAcquire(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if b.ledger.take(n, now) {
		b.spent.Add(uint64(n))
		return true
	}
	b.refused.Add(1)
	if now < b.ledger.leaseEnd && n <= b.ledger.rate {
		return false
	}
	b.wantedRate = max(b.wantedRate, n)
	select {
	case b.leaseNeeded <- struct{}{}:
	default:
	}
	return false
}

// Spent returns the number of probes granted since the start.
func (b *Budget) Spent() uint64 { return b.spent.Load() }

// Stats returns the totals since the start.
func (b *Budget) Stats() Stats {
	return Stats{
		Spent: b.spent.Load(), Refused: b.refused.Load(),
		Leases: b.leases.Load(), Reads: b.reads.Load(), Writes: b.writes.Load(),
	}
}

// Run obtains leases when TryAcquire needs them. It returns nil when ctx is done.
func (b *Budget) Run(ctx context.Context) error {
	for {
		select {
		case <-b.leaseNeeded:
		case <-ctx.Done():
			return nil
		}
		pause := b.lease(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// lease tries to obtain a lease and returns how long to wait before the next
// attempt.
func (b *Budget) lease(ctx context.Context) time.Duration {
	for range maxAttempts {
		pause, err := b.attemptLease(ctx)
		if err == nil {
			return pause
		}
		var conflict *storage.ConflictError
		if !errors.As(err, &conflict) {
			b.opts.Logger.Debug("probe_lease_failed", "error", err)
			break
		}
	}
	return retryInterval/2 + rand.N(retryInterval)
}

// attemptLease reads the record and writes it once. If the outcome of the write
// is unknown, the instance does not use the lease, but its rate remains granted
// in the record if the write took effect.
func (b *Budget) attemptLease(ctx context.Context) (pause time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	current, version, err := b.read(ctx)
	if err != nil {
		return 0, err
	}
	next, rate, sentAt := b.plan(current, version)
	if rate == 0 && next.Window == current.Window && version != storage.Absent {
		return b.untilNextWindow(), nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encode probe budget record: %w", err)
	}
	b.writes.Add(1)
	if _, err := b.opts.Tables.Put(ctx, recordKey, value, version); err != nil {
		return 0, err
	}
	b.startLease(next, rate, sentAt)
	if rate == 0 {
		return b.untilNextWindow(), nil
	}
	return 0, nil
}

func (b *Budget) read(ctx context.Context) (record, storage.Version, error) {
	b.reads.Add(1)
	found, err := b.opts.Tables.Get(ctx, recordKey)
	var missing *storage.NotFoundError
	if errors.As(err, &missing) {
		return newRecord(rand.Uint64(), b.opts.Limit()), storage.Absent, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	var r record
	if err := json.Unmarshal(found.Value, &r); err != nil {
		return record{}, 0, fmt.Errorf("decode probe budget record: %w", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.observe(r, b.now())
	return r, found.Version, nil
}

// plan returns the record to write, the rate that it leases and the start of the
// lease.
func (b *Budget) plan(current record, version storage.Version) (record, int, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if version == storage.Absent {
		return current, 0, now
	}
	limit := b.opts.Limit()
	share := max(1, limit.PerSecond/leaseDivisor)
	next, rate := b.ledger.plan(current, limit, max(share, b.wantedRate), now)
	return next, rate, now
}

// startLease starts the lease after its record was written.
func (b *Budget) startLease(next record, rate int, sentAt time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.observe(next, b.now())
	if rate == 0 {
		return
	}
	b.ledger.grant(rate, sentAt)
	b.wantedRate = 0
	b.leases.Add(1)
	b.opts.Logger.Debug("probe_lease", "rate", rate, "window", next.Window)
}

func (b *Budget) untilNextWindow() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.waitForWindow(b.now()) + rand.N(retryInterval)
}
