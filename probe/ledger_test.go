package probe

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/pomelolock/pomelolock/internal/fixedseed"
)

// modelSteps is the number of random steps per run of the model.
const modelSteps = 1000

// modelStore is a record of the table service with all its versions.
type modelStore struct {
	history []record
}

func (s *modelStore) version() int { return len(s.history) }

// modelWrite is a conditional write that may take effect at any later time.
type modelWrite struct {
	next   record
	rate   int
	expect int
	sentAt time.Duration
	owner  *modelInstance
}

// modelInstance is an instance whose clock has its own origin and speed.
type modelInstance struct {
	ledger ledger
	origin time.Duration
	// percent is the clock's speed relative to real time.
	percent int
}

func (i *modelInstance) now(real time.Duration) time.Duration {
	return i.origin + real*time.Duration(i.percent)/100
}

type model struct {
	store     modelStore
	instances []*modelInstance
	writes    []modelWrite
	real      time.Duration
	limit     Limit
	// probes holds the real times of all probes.
	probes []time.Duration
}

func newModelInstance(t *rapid.T) *modelInstance {
	return &modelInstance{
		origin:  time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, "origin")) * time.Millisecond,
		percent: rapid.IntRange(99, 101).Draw(t, "clock"),
	}
}

func (m *model) drawInstance(t *rapid.T) *modelInstance {
	return rapid.SampledFrom(m.instances).Draw(t, "who")
}

// requestLease reads the record, possibly a stale version, and sends a write.
func (m *model) requestLease(t *rapid.T) {
	instance := m.drawInstance(t)
	if m.store.version() == 0 {
		m.writes = append(m.writes, modelWrite{next: newRecord(uint64(len(m.probes)), m.limit), owner: instance, sentAt: instance.now(m.real)})
		return
	}
	version := max(1, m.store.version()-rapid.IntRange(0, 2).Draw(t, "stale"))
	current := m.store.history[version-1]
	instance.ledger.observe(current, instance.now(m.real))
	limit := m.limit
	if rapid.IntRange(0, 9).Draw(t, "old table") == 0 {
		limit = Limit{PerSecond: 1000}
	}
	next, rate := instance.ledger.plan(current, limit, rapid.IntRange(1, 20).Draw(t, "want"), instance.now(m.real))
	m.writes = append(m.writes, modelWrite{next: next, rate: rate, expect: version, sentAt: instance.now(m.real), owner: instance})
}

// completeWrite completes a pending write: it may or may not take effect, and its
// response may be lost.
func (m *model) completeWrite(t *rapid.T) {
	if len(m.writes) == 0 {
		return
	}
	m.completeWriteAt(t, rapid.IntRange(0, len(m.writes)-1).Draw(t, "write"))
}

func (m *model) completeWriteAt(t *rapid.T, at int) {
	write := m.writes[at]
	m.writes = append(m.writes[:at], m.writes[at+1:]...)
	if rapid.IntRange(0, 9).Draw(t, "dropped") == 0 || write.expect != m.store.version() {
		return
	}
	m.store.history = append(m.store.history, write.next)
	if rapid.IntRange(0, 9).Draw(t, "answer lost") == 0 {
		return
	}
	write.owner.ledger.observe(write.next, write.owner.now(m.real))
	if write.rate > 0 {
		write.owner.ledger.grant(write.rate, write.sentAt)
	}
}

// lease requests a lease and completes its write at once.
func (m *model) lease(t *rapid.T) {
	m.requestLease(t)
	m.completeWriteAt(t, len(m.writes)-1)
}

// takeAll lets every instance send as many probes as its lease allows.
func (m *model) takeAll(*rapid.T) {
	for _, instance := range m.instances {
		for instance.ledger.take(1, instance.now(m.real)) {
			m.probes = append(m.probes, m.real)
		}
	}
}

func (m *model) advanceTime(t *rapid.T) {
	ms := rapid.OneOf(rapid.IntRange(0, 1100), rapid.IntRange(0, 12_000)).Draw(t, "ms")
	m.real += time.Duration(ms) * time.Millisecond
}

// restart replaces an instance. Its lease remains granted in the record, but
// nobody uses it.
func (m *model) restart(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "restart") > 0 {
		return
	}
	at := rapid.IntRange(0, len(m.instances)-1).Draw(t, "restarted")
	m.instances[at] = newModelInstance(t)
}

func (m *model) check(t *rapid.T) {
	for i, first := range m.probes {
		end := i + m.limit.PerSecond
		if end < len(m.probes) && m.probes[end]-first < time.Second {
			t.Fatalf("more than %d probes in the second from %v", m.limit.PerSecond, first)
		}
	}
}

// TestFleetNeverExceedsLimit runs random interleavings of instances with separate
// clocks, restarts, lost responses, late writes, stale reads and old tables.
func TestFleetNeverExceedsLimit(t *testing.T) {
	var total int
	rapid.Check(t, func(t *rapid.T) {
		m := &model{limit: Limit{PerSecond: rapid.IntRange(1, 12).Draw(t, "limit"), TableVersion: 1}}
		for range rapid.IntRange(2, 5).Draw(t, "instances") {
			m.instances = append(m.instances, newModelInstance(t))
		}
		steps := []func(*rapid.T){
			m.lease, m.lease, m.lease, m.requestLease, m.completeWrite, m.takeAll, m.takeAll, m.takeAll, m.advanceTime, m.advanceTime, m.advanceTime, m.restart,
		}
		for range modelSteps {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t)
		}
		m.check(t)
		total += len(m.probes)
	})
	if total == 0 {
		t.Fatal("no probe was sent in any run")
	}
}

// TestLeaseEndsOneSecondBeforeItsRateIsFree lets one instance use a lease to its
// end and another instance lease the same rate as early as possible. Their
// probes must be at least guardInterval apart.
func TestLeaseEndsOneSecondBeforeItsRateIsFree(t *testing.T) {
	limit := Limit{PerSecond: 1, TableVersion: 1}
	current := record{Incarnation: 1, Window: 1, Limit: 1, TableVersion: 1}
	var first, second ledger
	second.observe(current, 0)
	granted := windowLength - 1
	current, rate := first.plan(current, limit, 1, granted)
	first.grant(rate, granted)
	var last time.Duration
	for now := granted; now < 3*windowLength; now += time.Millisecond {
		if first.take(1, now) {
			last = now
		}
		next, rate := second.plan(current, limit, 1, now)
		if next.Window > current.Window {
			current = next
			second.observe(current, now)
		}
		if rate == 0 {
			continue
		}
		second.grant(rate, now)
		if last == 0 || !second.take(1, now) || now-last < guardInterval {
			t.Fatalf("last probe of the first lease at %v, first of the second at %v", last, now)
		}
		return
	}
	t.Fatal("no second lease")
}
