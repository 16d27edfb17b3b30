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
	// recordKey is the key of the budget in the table service.
	recordKey = "probe/budget"
	// maxTries bounds the writes of one attempt to lease.
	maxTries = 3
	// retryEvery is the mean time between attempts after a failure.
	retryEvery = time.Second
	// storeTimeout bounds one operation on the table service.
	storeTimeout = 2 * time.Second
	// leaseShare is the part of the limit that one lease may take.
	leaseShare = 4
)

// Options configure a [Budget]. All fields but Logger are required.
type Options struct {
	// Tables is the platform's table service.
	Tables storage.TableService
	// Limit returns the limit of the table in force.
	Limit func() Limit
	// Logger receives events; nil discards them.
	Logger *slog.Logger
}

// Stats count what a budget did since its start.
type Stats struct {
	// Spent is the number of probes taken, Refused of those not allowed.
	Spent, Refused uint64
	// Leases counts leases, Reads and Writes the operations for them.
	Leases, Reads, Writes uint64
}

// Budget leases an instance's share of the fleet's probes. It is safe for
// concurrent use.
type Budget struct {
	opts    Options
	started time.Time
	need    chan struct{}

	mu     sync.Mutex
	ledger ledger
	// want is the highest rate asked for without success.
	want int

	spent, refused, leases, reads, writes atomic.Uint64
}

// NewBudget returns a budget without a lease. Run leases when probes are
// wanted.
func NewBudget(opts Options) *Budget {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	return &Budget{opts: opts, started: time.Now(), need: make(chan struct{}, 1)}
}

// now reads the monotonic clock.
func (b *Budget) now() time.Duration { return time.Since(b.started) }

// TryTake reports whether n probes may be sent at once. If not, Run tries to
// lease a rate that allows them.
func (b *Budget) TryTake(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if b.ledger.take(n, now) {
		b.spent.Add(uint64(n))
		return true
	}
	b.refused.Add(1)
	if now < b.ledger.until && n <= b.ledger.rate {
		return false
	}
	b.want = max(b.want, n)
	select {
	case b.need <- struct{}{}:
	default:
	}
	return false
}

// Spent returns the number of probes taken.
func (b *Budget) Spent() uint64 { return b.spent.Load() }

// Stats returns the totals since the start.
func (b *Budget) Stats() Stats {
	return Stats{
		Spent: b.spent.Load(), Refused: b.refused.Load(),
		Leases: b.leases.Load(), Reads: b.reads.Load(), Writes: b.writes.Load(),
	}
}

// Run leases a rate whenever probes are wanted, until ctx ends.
func (b *Budget) Run(ctx context.Context) error {
	for {
		select {
		case <-b.need:
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
// try.
func (b *Budget) lease(ctx context.Context) time.Duration {
	for range maxTries {
		pause, err := b.tryLease(ctx)
		if err == nil {
			return pause
		}
		var conflict *storage.ConflictError
		if !errors.As(err, &conflict) {
			b.opts.Logger.Debug("probe_lease_failed", "error", err)
			break
		}
	}
	return retryEvery/2 + rand.N(retryEvery)
}

// tryLease reads the record and writes it once. A lease whose write has an
// unknown outcome counts as spent.
func (b *Budget) tryLease(ctx context.Context) (pause time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	present, version, err := b.read(ctx)
	if err != nil {
		return 0, err
	}
	next, rate, sent := b.plan(present, version)
	if rate == 0 && next.Window == present.Window && version != storage.Absent {
		return b.untilWindow(), nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encode probe budget: %w", err)
	}
	b.writes.Add(1)
	if _, err := b.opts.Tables.Put(ctx, recordKey, value, version); err != nil {
		return 0, err
	}
	b.granted(next, rate, sent)
	if rate == 0 {
		return b.untilWindow(), nil
	}
	return 0, nil
}

func (b *Budget) read(ctx context.Context) (record, storage.Version, error) {
	b.reads.Add(1)
	found, err := b.opts.Tables.Get(ctx, recordKey)
	var missing *storage.NotFoundError
	if errors.As(err, &missing) {
		return create(rand.Uint64(), b.opts.Limit()), storage.Absent, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	var r record
	if err := json.Unmarshal(found.Value, &r); err != nil {
		return record{}, 0, fmt.Errorf("decode probe budget: %w", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.observe(r, b.now())
	return r, found.Version, nil
}

// plan returns the record to write, the rate that it leases and the time from
// which the lease counts.
func (b *Budget) plan(present record, version storage.Version) (record, int, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if version == storage.Absent {
		return present, 0, now
	}
	limit := b.opts.Limit()
	share := max(1, limit.PerSecond/leaseShare)
	next, rate := b.ledger.plan(present, limit, max(share, b.want), now)
	return next, rate, now
}

// granted starts the lease of a record that was written.
func (b *Budget) granted(next record, rate int, sent time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.observe(next, b.now())
	if rate == 0 {
		return
	}
	b.ledger.grant(rate, sent)
	b.want = 0
	b.leases.Add(1)
	b.opts.Logger.Debug("probe_lease", "rate", rate, "window", next.Window)
}

func (b *Budget) untilWindow() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.waitForWindow(b.now()) + rand.N(retryEvery)
}
