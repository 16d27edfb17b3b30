package probe

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/pomelolock/pomelolock/internal/fixedseed"
)

// modelSteps is the number of steps of one check.
const modelSteps = 1000

// modelStore is a table service record with its whole history.
type modelStore struct {
	history []record
}

func (s *modelStore) version() int { return len(s.history) }

// modelWrite is a conditional write that may take effect at any later time.
type modelWrite struct {
	next   record
	rate   int
	expect int
	sent   time.Duration
	owner  *modelInstance
}

// modelInstance has a clock with its own origin and rate.
type modelInstance struct {
	ledger ledger
	origin time.Duration
	// percent is the clock's speed.
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
	// taken holds the real times of all probes.
	taken []time.Duration
}

func newModelInstance(t *rapid.T) *modelInstance {
	return &modelInstance{
		origin:  time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, "origin")) * time.Millisecond,
		percent: rapid.IntRange(99, 101).Draw(t, "clock"),
	}
}

func (m *model) draw(t *rapid.T) *modelInstance { return rapid.SampledFrom(m.instances).Draw(t, "who") }

// ask reads the record, perhaps a stale one, and issues a write.
func (m *model) ask(t *rapid.T) {
	who := m.draw(t)
	if m.store.version() == 0 {
		m.writes = append(m.writes, modelWrite{next: create(uint64(len(m.taken)), m.limit), owner: who, sent: who.now(m.real)})
		return
	}
	version := max(1, m.store.version()-rapid.IntRange(0, 2).Draw(t, "stale"))
	present := m.store.history[version-1]
	who.ledger.observe(present, who.now(m.real))
	limit := m.limit
	if rapid.IntRange(0, 9).Draw(t, "old table") == 0 {
		limit = Limit{PerSecond: 1000}
	}
	next, rate := who.ledger.plan(present, limit, rapid.IntRange(1, 20).Draw(t, "want"), who.now(m.real))
	m.writes = append(m.writes, modelWrite{next: next, rate: rate, expect: version, sent: who.now(m.real), owner: who})
}

// settle lets one write take effect or not, and its answer arrive or not.
func (m *model) settle(t *rapid.T) {
	if len(m.writes) == 0 {
		return
	}
	m.settleAt(t, rapid.IntRange(0, len(m.writes)-1).Draw(t, "write"))
}

func (m *model) settleAt(t *rapid.T, at int) {
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
		write.owner.ledger.grant(write.rate, write.sent)
	}
}

// lease asks and has the write settled at once.
func (m *model) lease(t *rapid.T) {
	m.ask(t)
	m.settleAt(t, len(m.writes)-1)
}

// burst lets every instance take all that it can.
func (m *model) burst(*rapid.T) {
	for _, who := range m.instances {
		for who.ledger.take(1, who.now(m.real)) {
			m.taken = append(m.taken, m.real)
		}
	}
}

func (m *model) pass(t *rapid.T) {
	ms := rapid.OneOf(rapid.IntRange(0, 1100), rapid.IntRange(0, 12_000)).Draw(t, "ms")
	m.real += time.Duration(ms) * time.Millisecond
}

// restart replaces an instance; its lease is lost to all.
func (m *model) restart(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "restart") > 0 {
		return
	}
	at := rapid.IntRange(0, len(m.instances)-1).Draw(t, "restarted")
	m.instances[at] = newModelInstance(t)
}

func (m *model) check(t *rapid.T) {
	for i, first := range m.taken {
		end := i + m.limit.PerSecond
		if end < len(m.taken) && m.taken[end]-first < time.Second {
			t.Fatalf("more than %d probes in the second from %v", m.limit.PerSecond, first)
		}
	}
}

// TestFleetNeverPassesLimit runs any interleaving of instances, restarts, own
// clocks, lost answers, late writes, stale reads and old tables.
func TestFleetNeverPassesLimit(t *testing.T) {
	var total int
	rapid.Check(t, func(t *rapid.T) {
		m := &model{limit: Limit{PerSecond: rapid.IntRange(1, 12).Draw(t, "limit"), TableVersion: 1}}
		for range rapid.IntRange(2, 5).Draw(t, "instances") {
			m.instances = append(m.instances, newModelInstance(t))
		}
		steps := []func(*rapid.T){
			m.lease, m.lease, m.lease, m.ask, m.settle, m.burst, m.burst, m.burst, m.pass, m.pass, m.pass, m.restart,
		}
		for range modelSteps {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t)
		}
		m.check(t)
		total += len(m.taken)
	})
	if total == 0 {
		t.Fatal("no probe was ever taken")
	}
}

// TestLeaseEndsOneSecondBeforeItsRateIsFree lets one instance use a lease to
// its end and another lease the same rate as early as it can.
func TestLeaseEndsOneSecondBeforeItsRateIsFree(t *testing.T) {
	limit := Limit{PerSecond: 1, TableVersion: 1}
	present := record{Life: 1, Window: 1, Limit: 1, TableVersion: 1}
	var first, second ledger
	second.observe(present, 0)
	granted := windowLength - 1
	present, rate := first.plan(present, limit, 1, granted)
	first.grant(rate, granted)
	var last time.Duration
	for now := granted; now < 3*windowLength; now += time.Millisecond {
		if first.take(1, now) {
			last = now
		}
		next, rate := second.plan(present, limit, 1, now)
		if next.Window > present.Window {
			present = next
			second.observe(present, now)
		}
		if rate == 0 {
			continue
		}
		second.grant(rate, now)
		if last == 0 || !second.take(1, now) || now-last < guard {
			t.Fatalf("last probe of the first lease at %v, first of the second at %v", last, now)
		}
		return
	}
	t.Fatal("no second lease")
}
