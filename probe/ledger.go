package probe

import "time"

// Durations of the budget. A lease that ends after leaseLength blocks its rate
// for guard longer, because a second that began within the lease may end after
// it. Both together are shorter than a window by the drift that monotonic
// clocks may have.
const (
	// windowLength is the least time between two windows.
	windowLength = 10 * time.Second
	// leaseLength is how long a lease may be used.
	leaseLength = 8 * time.Second
	// guard is the length over which the sum of probes is bounded.
	guard = time.Second
	// pacing is guard with the allowed clock drift of 4%.
	pacing = guard + guard/25
)

// Limit is the fleet-wide bound.
type Limit struct {
	// PerSecond is the number of probes in any second.
	PerSecond int
	// TableVersion is the version of the table that sets the limit.
	TableVersion uint64
}

// record is the state of the budget in the table service.
type record struct {
	// Life is drawn at random when the record is created.
	Life uint64 `json:"life"`
	// Window counts up. Each window lasts at least windowLength.
	Window uint64 `json:"window"`
	// Granted and Previous are the rates leased in the present and the
	// previous window, in probes per second.
	Granted  int `json:"granted"`
	Previous int `json:"previous"`
	// Limit is that of the highest table version seen by any instance.
	Limit        int    `json:"limit"`
	TableVersion uint64 `json:"table_version"`
}

// ledger is one instance's part of the budget. Its times are readings of the
// instance's monotonic clock; only their differences matter. It is not safe
// for concurrent use.
type ledger struct {
	// life, window and seen tell since when the window is known to exist.
	life, window uint64
	seen         time.Duration
	// rate and until are the present lease.
	rate  int
	until time.Duration
	// taken holds the times of the probes within the last pacing.
	taken []time.Duration
}

// observe notes a record that was read, at the time its answer arrived.
func (l *ledger) observe(r record, now time.Duration) {
	if r.Life != l.life || r.Window > l.window {
		l.life, l.window, l.seen = r.Life, r.Window, now
	}
}

// create returns the first record. Its window grants nothing, because leases
// of a lost record may still be in use.
func create(life uint64, limit Limit) record {
	return record{
		Life: life, Window: 1, Previous: limit.PerSecond, Limit: limit.PerSecond, TableVersion: limit.TableVersion,
	}
}

// plan returns the record that leases up to want, and the rate; zero means
// that nothing can be leased now.
func (l *ledger) plan(r record, limit Limit, want int, now time.Duration) (record, int) {
	if limit.TableVersion > r.TableVersion {
		r.Limit, r.TableVersion = limit.PerSecond, limit.TableVersion
	}
	if l.mayAdvance(r, now) {
		r.Window++
		r.Previous, r.Granted = r.Granted, 0
	}
	rate := max(0, min(want, r.Limit-r.Granted-r.Previous))
	r.Granted += rate
	return r, rate
}

// mayAdvance reports whether the record's window has lasted windowLength. The
// conditional write of the next window fails if the record is stale.
func (l *ledger) mayAdvance(r record, now time.Duration) bool {
	return r.Life == l.life && r.Window == l.window && now-l.seen >= windowLength
}

// grant starts a lease whose write was sent at the time sent and took effect.
func (l *ledger) grant(rate int, sent time.Duration) {
	l.rate = rate
	l.until = sent + leaseLength
}

// take reports whether n probes may be sent now and counts them.
func (l *ledger) take(n int, now time.Duration) bool {
	for len(l.taken) > 0 && now-l.taken[0] >= pacing {
		l.taken = l.taken[1:]
	}
	if n <= 0 || now >= l.until || len(l.taken)+n > l.rate {
		return false
	}
	for range n {
		l.taken = append(l.taken, now)
	}
	return true
}

// waitForWindow returns how long until the present window may be advanced.
func (l *ledger) waitForWindow(now time.Duration) time.Duration {
	return max(0, l.seen+windowLength-now)
}
