package probe

import "time"

// The rate of a lease stays blocked for guardInterval after the lease ends,
// because a second that begins within the lease may end after it. leaseLength
// plus guardInterval is shorter than windowLength to allow for drift between
// the monotonic clocks of instances.
const (
	// windowLength is the minimum length of a window.
	windowLength = 10 * time.Second
	// leaseLength is how long a lease may be used.
	leaseLength = 8 * time.Second
	// guardInterval is the interval in which the fleet's probes are bounded.
	guardInterval = time.Second
	// pacingInterval is guardInterval plus an allowed clock drift of 4%.
	pacingInterval = guardInterval + guardInterval/25
)

// Limit is the limit on the probes of the whole fleet.
type Limit struct {
	// PerSecond is the maximum number of probes in any second.
	PerSecond int
	// TableVersion is the version of the table that sets the limit.
	TableVersion uint64
}

// record is the state of the budget in the table service.
type record struct {
	// Incarnation is drawn at random when the record is created. It
	// distinguishes a record that was lost and created anew from the earlier one.
	Incarnation uint64 `json:"life"`
	// Window is the number of the current window. Each window lasts at least
	// windowLength.
	Window uint64 `json:"window"`
	// Granted and Previous are the sums of the rates leased in the current
	// and in the previous window, in probes per second.
	Granted  int `json:"granted"`
	Previous int `json:"previous"`
	// Limit is the limit of TableVersion, the highest table version that any
	// instance has written, in probes per second.
	Limit        int    `json:"limit"`
	TableVersion uint64 `json:"table_version"`
}

// ledger is the state of one instance: its lease, its recent probes and its view
// of the record. Its times are readings of the instance's monotonic clock; only
// their differences matter. It is not safe for concurrent use.
type ledger struct {
	// incarnation and window identify the newest window seen, and firstSeen is
	// when this instance first saw it.
	incarnation, window uint64
	firstSeen           time.Duration
	// rate, in probes per second, and leaseEnd describe the current lease.
	rate     int
	leaseEnd time.Duration
	// recentProbes holds the times of the probes within the last
	// pacingInterval.
	recentProbes []time.Duration
}

// observe notes a record that was read or written, at the time the response
// arrived.
func (l *ledger) observe(r record, now time.Duration) {
	if r.Incarnation != l.incarnation || r.Window > l.window {
		l.incarnation, l.window, l.firstSeen = r.Incarnation, r.Window, now
	}
}

// newRecord returns the record to create if there is none. Nothing can be leased
// in its first window, because leases of a lost record may still be in use.
func newRecord(incarnation uint64, limit Limit) record {
	return record{
		Incarnation: incarnation, Window: 1, Previous: limit.PerSecond, Limit: limit.PerSecond, TableVersion: limit.TableVersion,
	}
}

// plan returns the record that leases a rate of up to want, and the rate. A rate
// of zero means that nothing can be leased now.
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
// record may be stale, but then the conditional write of the next window fails.
func (l *ledger) mayAdvance(r record, now time.Duration) bool {
	return r.Incarnation == l.incarnation && r.Window == l.window && now-l.firstSeen >= windowLength
}

// grant starts a lease whose write took effect. The lease counts from sentAt,
// the time before the write was sent.
func (l *ledger) grant(rate int, sentAt time.Duration) {
	l.rate = rate
	l.leaseEnd = sentAt + leaseLength
}

// take reports whether n probes may be sent now, and if so counts them as sent.
func (l *ledger) take(n int, now time.Duration) bool {
	for len(l.recentProbes) > 0 && now-l.recentProbes[0] >= pacingInterval {
		l.recentProbes = l.recentProbes[1:]
	}
	if n <= 0 || now >= l.leaseEnd || len(l.recentProbes)+n > l.rate {
		return false
	}
	for range n {
		l.recentProbes = append(l.recentProbes, now)
	}
	return true
}

// waitForWindow returns the time until the current window may be advanced.
func (l *ledger) waitForWindow(now time.Duration) time.Duration {
	return max(0, l.firstSeen+windowLength-now)
}
