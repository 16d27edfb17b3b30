package slot

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pomelolock/pomelolock/slot/slotpb"
)

// testCoordinator is a coordinator whose holders are simulated by the test.
type testCoordinator struct {
	*coordinator
	now time.Time
	// last is the last grant of each holder.
	last map[string]*slotpb.Grant
	seq  uint64
}

func newTestCoordinator(cfg coordinatorConfig) *testCoordinator {
	d := &testCoordinator{now: time.Unix(1000, 0), last: make(map[string]*slotpb.Grant)}
	cfg.group, cfg.self, cfg.epoch, cfg.maxRunTime = simGroup, "entry-0", 5, simMaxRunTime
	if cfg.confirmedAt.IsZero() {
		cfg.confirmedAt = d.now
	}
	d.coordinator = newCoordinator(cfg, d.now)
	d.setServers(simSpecs(), d.now)
	d.flushAll()
	return d
}

func (d *testCoordinator) flushAll() {
	for _, out := range d.flush(d.now) {
		d.last[out.to] = out.grant
	}
}

// advance advances the time in steps of 10 ms with a tick at each.
func (d *testCoordinator) advance(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); {
		d.now = d.now.Add(10 * time.Millisecond)
		d.tick(d.now)
		d.flushAll()
	}
}

// ask delivers an Ask that acknowledges the holder's last grant.
func (d *testCoordinator) ask(from string, ask *slotpb.Ask) {
	d.seq++
	ask.Epoch, ask.Seq, ask.Ack = d.epoch, d.seq, d.last[from].GetSeq()
	d.onAsk(from, ask, d.now)
	d.tick(d.now)
	d.flushAll()
}

func (d *testCoordinator) granted(to string) int { return len(d.holders[to].held) }

func held(ids ...leaseID) []uint64 { return packIDs(ids) }

var firstSlot = idOfServer("server-0").lease(0)

func TestSuccessorWaitsForOldAuthority(t *testing.T) {
	all := []string{"a", "b", "c"}
	d := newTestCoordinator(coordinatorConfig{recorded: all, earlier: [][]string{all}})
	for _, id := range all {
		d.ask(id, &slotpb.Ask{Session: 7, Want: 1})
	}
	d.advance(authorityTTL - 50*time.Millisecond)
	d.confirm(d.now)
	d.advance(50 * time.Millisecond)
	if d.granted("a") > 0 || d.last["a"].GetAck() > 0 {
		t.Errorf("the successor sent a grant while the old coordinator could still act")
	}
	d.advance(200 * time.Millisecond)
	if d.granted("a") != 1 {
		t.Errorf("no lease was granted after the old coordinator's authority ended")
	}
}

func TestSuccessorBlocksEveryEarlierEpoch(t *testing.T) {
	d := newTestCoordinator(coordinatorConfig{
		recorded: []string{"a", "b", "c", "d", "e"},
		earlier:  [][]string{{"a", "b"}, {"a", "b", "c", "d", "e"}},
	})
	for _, id := range []string{"c", "d", "e"} {
		d.ask(id, &slotpb.Ask{Session: 7})
	}
	if d.advance(time.Second); !d.earlierBlockedAt.IsZero() {
		t.Errorf("earlier epochs count as blocked though a and b can prove one of them")
	}
	d.ask("a", &slotpb.Ask{Session: 7})
	if d.earlierBlockedAt.IsZero() {
		t.Errorf("earlier epochs do not count as blocked though none has a quorum")
	}
}

// TestTakeoverAfterMostHoldersCrashed checks that a group recovers after most of its
// holders crashed at once: the takeover waits for those in the membership view, but
// only up to takeoverTimeout.
func TestTakeoverAfterMostHoldersCrashed(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e"}
	for name, listed := range map[string]bool{"dropped": false, "still listed": true} {
		d := newTestCoordinator(coordinatorConfig{recorded: append(all, "new"), earlier: [][]string{all}})
		inView := func(id string) bool { return listed || id == "new" }
		limit := holderRemovedAfter
		if listed {
			limit = takeoverTimeout
		}
		for length := time.Duration(0); length < limit-time.Second; length += time.Second {
			d.updateRemoved(inView, d.now)
			d.advance(time.Second)
		}
		if !d.earlierBlockedAt.IsZero() {
			t.Errorf("%s: earlier epochs counted as blocked after less than %v", name, limit)
		}
		d.advance(2 * time.Second)
		d.updateRemoved(inView, d.now)
		d.ask("new", &slotpb.Ask{Want: 1})
		for range 60 {
			d.confirm(d.now)
			d.advance(100 * time.Millisecond)
			d.ask("new", &slotpb.Ask{Session: d.holders["new"].session, Want: 1})
		}
		if d.granted("new") == 0 {
			t.Errorf("%s: the group did not recover", name)
		}
	}
}

func TestExpiredLeasesAreNotTakenOver(t *testing.T) {
	all := []string{"a", "b"}
	for _, age := range []time.Duration{leaseTTL / 2, leaseTTL} {
		d := newTestCoordinator(coordinatorConfig{recorded: all, earlier: [][]string{all}})
		d.ask("b", &slotpb.Ask{Session: 8, Want: 4})
		d.ask("a", &slotpb.Ask{Session: 7, Held: held(firstSlot), BasisMs: age.Milliseconds()})
		d.advance(authorityTTL + 2*clockMargin)
		d.confirm(d.now)
		d.advance(10 * time.Millisecond)
		kept := d.holders["a"].session == 7 && d.granted("a") == 1
		if valid := age < leaseTTL-authorityTTL; kept != valid {
			t.Errorf("lease of a holder acknowledged %v before the gather message: kept %v", age, kept)
		}
		if _, taken := d.holders["b"].held[firstSlot]; taken {
			t.Errorf("a slot was granted while a request of its last holder may still run on it")
		}
	}
}

func TestSlotsStayUnknownWhileVoidedRequestsRun(t *testing.T) {
	all := []string{"a", "b"}
	d := newTestCoordinator(coordinatorConfig{recorded: all, earlier: [][]string{all}})
	d.ask("a", &slotpb.Ask{Session: 7, Stale: true})
	d.ask("b", &slotpb.Ask{Session: 8, Want: 1})
	for range 20 {
		d.confirm(d.now)
		d.advance(authorityTTL / 8)
		d.ask("b", &slotpb.Ask{Session: 8, Want: 1})
	}
	if d.granted("b") > 0 {
		t.Errorf("a slot was granted while voided requests may run on it")
	}
}

func TestProofCountsFromSending(t *testing.T) {
	all := []string{"a", "b", "c"}
	d := newTestCoordinator(coordinatorConfig{recorded: all, takeoverDone: true})
	d.advance(authorityTTL - 100*time.Millisecond)
	for _, id := range all {
		d.ask(id, &slotpb.Ask{})
	}
	d.advance(150 * time.Millisecond)
	if d.authoritative(d.now) {
		t.Errorf("acknowledgements of grants sent too long ago prove the epoch")
	}
}

func TestProofNeedsQuorumOfWrittenRecord(t *testing.T) {
	d := newTestCoordinator(coordinatorConfig{recorded: []string{"a", "b", "c"}, takeoverDone: true})
	d.advance(2 * authorityTTL)
	d.setPending([]string{"a", "b", "c", "d", "e"})
	d.requestProof()
	d.flushAll()
	d.ask("a", &slotpb.Ask{})
	if d.authoritative(d.now) {
		t.Errorf("one holder of three proves the epoch")
	}
	d.ask("b", &slotpb.Ask{})
	if d.authoritative(d.now) {
		t.Errorf("two holders prove the epoch though the record may name five")
	}
	d.ask("c", &slotpb.Ask{})
	if !d.authoritative(d.now) {
		t.Errorf("three of five holders do not prove the epoch")
	}
}

func TestOlderAskFreesNothing(t *testing.T) {
	d := newTestCoordinator(coordinatorConfig{recorded: []string{"a", "b"}, takeoverDone: true})
	d.ask("a", &slotpb.Ask{Want: 2})
	session, ids := d.holders["a"].session, d.last["a"].GetLeases()
	d.ask("a", &slotpb.Ask{Session: session, Held: held(leaseID(ids[0].GetId()), leaseID(ids[1].GetId()))})
	late := &slotpb.Ask{Epoch: d.epoch, Seq: 1, Ack: d.last["a"].GetSeq(), Session: session}
	d.onAsk("a", late, d.now)
	if d.granted("a") != 2 {
		t.Errorf("a delayed Ask returned leases that are in use")
	}
}

// TestFailedServerGetsTrialWhileOthersHaveFreeSlots checks that a failed server
// gets its trial when it is due. With all other servers idle, its score is never
// the best.
func TestFailedServerGetsTrialWhileOthersHaveFreeSlots(t *testing.T) {
	d := newTestCoordinator(coordinatorConfig{recorded: []string{"a", "b"}, takeoverDone: true})
	failed := idOfServer("server-0")
	fail := &slotpb.ServerReport{Server: uint64(failed), Failed: 1}
	for !d.byID[failed].quality.closed() {
		d.byID[failed].quality.observe(d.now, fail, simSlots, time.Millisecond)
		d.now = d.now.Add(decreaseInterval)
	}
	d.ask("a", &slotpb.Ask{Want: 1})
	if lease := d.last["a"].GetLeases(); len(lease) == 1 && leaseID(lease[0].GetId()).server() == failed {
		t.Errorf("the failed server got a trial before it was due")
	}
	for end := d.now.Add(maxTrialInterval); d.now.Before(end); {
		d.advance(100 * time.Millisecond)
		d.ask("a", &slotpb.Ask{})
		d.ask("b", &slotpb.Ask{})
	}
	d.ask("b", &slotpb.Ask{Want: 1})
	if lease := d.last["b"].GetLeases(); len(lease) != 1 || leaseID(lease[0].GetId()).server() != failed {
		t.Errorf("the trial of the failed server was not granted: %v", lease)
	}
}

// TestSlowServerGetsTrialWhileOthersHaveFreeSlots checks that a server whose window is
// closed for slowness gets its trial when it is due, so that its recovery is found.
func TestSlowServerGetsTrialWhileOthersHaveFreeSlots(t *testing.T) {
	d := newTestCoordinator(coordinatorConfig{recorded: []string{"a", "b"}, takeoverDone: true})
	slow := idOfServer("server-0")
	report := &slotpb.ServerReport{Server: uint64(slow), Ok: 1, LatencyUs: 100_000}
	for !d.byID[slow].quality.closed() {
		d.byID[slow].quality.observe(d.now, report, simSlots, time.Millisecond)
		d.now = d.now.Add(decreaseInterval)
	}
	for end := d.now.Add(maxTrialInterval); d.now.Before(end); {
		d.advance(100 * time.Millisecond)
		d.ask("a", &slotpb.Ask{})
		d.ask("b", &slotpb.Ask{})
	}
	d.ask("b", &slotpb.Ask{Want: 1})
	if lease := d.last["b"].GetLeases(); len(lease) != 1 || leaseID(lease[0].GetId()).server() != slow {
		t.Errorf("the trial of the slow server was not granted: %v", lease)
	}
}

// TestSlowResultAfterFailuresShortensTrialInterval guards against a server that stays
// closed long after its recovery because the first request that it serves again takes
// long: the interval that its failures lengthened must not apply to its slowness, which
// lengthens it on its own.
func TestSlowResultAfterFailuresShortensTrialInterval(t *testing.T) {
	d := newTestCoordinator(coordinatorConfig{recorded: []string{"a", "b"}, takeoverDone: true})
	q := &d.byID[idOfServer("server-0")].quality
	for q.trialInterval < maxTrialInterval {
		q.observe(d.now, &slotpb.ServerReport{Failed: 1}, simSlots, time.Millisecond)
		d.now = d.now.Add(decreaseInterval)
	}
	slow := &slotpb.ServerReport{Ok: 1, LatencyUs: 100_000}
	for want := minTrialInterval; want <= maxTrialInterval; want *= 2 {
		q.observe(d.now, slow, simSlots, time.Millisecond)
		if wait := q.nextTrialAt.Sub(d.now); !q.closed() || wait != want {
			t.Fatalf("after a slow result the next trial is due in %v, want %v", wait, want)
		}
		d.now = d.now.Add(want)
	}
}

// TestDrainingServerGetsNoTrialWhileOthersHaveFreeSlots checks that a server that
// reports draining gets no trial while others have free slots.
func TestDrainingServerGetsNoTrialWhileOthersHaveFreeSlots(t *testing.T) {
	d := newTestCoordinator(coordinatorConfig{recorded: []string{"a", "b"}, takeoverDone: true})
	leaving := idOfServer("server-0")
	d.byID[leaving].quality.observe(d.now, &slotpb.ServerReport{Server: uint64(leaving), Draining: true}, simSlots, time.Millisecond)
	for end := d.now.Add(2 * maxTrialInterval); d.now.Before(end); {
		d.advance(100 * time.Millisecond)
		d.ask("a", &slotpb.Ask{})
		d.ask("b", &slotpb.Ask{})
	}
	d.ask("a", &slotpb.Ask{Want: 1})
	if lease := d.last["a"].GetLeases(); len(lease) != 1 || leaseID(lease[0].GetId()).server() == leaving {
		t.Errorf("want one lease of another server than the draining one, got %v", lease)
	}
}

func TestUnrecordedHolderGetsNothing(t *testing.T) {
	d := newTestCoordinator(coordinatorConfig{recorded: []string{"a", "b"}, takeoverDone: true})
	d.ask("c", &slotpb.Ask{Want: 1})
	if d.granted("c") > 0 {
		t.Errorf("a holder got a lease before it was in the record")
	}
	d.setRecorded([]string{"a", "b", "c"}, d.now)
	d.flushAll()
	if d.granted("c") != 1 {
		t.Errorf("a recorded holder got no lease")
	}
}

func TestPausedCoordinatorExpiresNoHolder(t *testing.T) {
	d := newTestCoordinator(coordinatorConfig{recorded: []string{"a", "b"}, takeoverDone: true})
	d.ask("a", &slotpb.Ask{Want: 1})
	d.now = d.now.Add(10 * leaseTTL)
	d.tick(d.now)
	if d.granted("a") != 1 {
		t.Errorf("a holder expired because of silence during a pause of the coordinator itself")
	}
	d.advance(d.expiry() + time.Second)
	if d.granted("a") != 0 {
		t.Errorf("a silent holder kept its lease")
	}
}

// BenchmarkCoordinatorAsk processes and responds to an Ask of a holder that
// returns one lease and waits for another.
func BenchmarkCoordinatorAsk(b *testing.B) {
	for _, size := range []struct{ holders, servers int }{{18, 20}, {36, 36}, {72, 72}} {
		b.Run(fmt.Sprintf("holders=%d,servers=%d", size.holders, size.servers), func(b *testing.B) {
			benchmarkAsk(b, size.holders, size.servers)
		})
	}
}

func benchmarkAsk(b *testing.B, holders, servers int) {
	var ids []string
	for i := range holders {
		ids = append(ids, fmt.Sprintf("entry-%d", i))
	}
	d := newTestCoordinator(coordinatorConfig{recorded: ids, takeoverDone: true})
	var specs []serverSpec
	for i := range servers {
		specs = append(specs, serverSpec{name: fmt.Sprintf("server-%d", i), slots: 6, weight: 1, usable: true})
	}
	d.setServers(specs, d.now)
	for _, id := range ids {
		d.ask(id, &slotpb.Ask{})
		d.ask(id, &slotpb.Ask{Session: d.holders[id].session, Want: 3})
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		id := ids[n%holders]
		var kept []leaseID
		for lease := range d.holders[id].held {
			if len(kept) < 2 {
				kept = append(kept, lease)
			}
		}
		d.now = d.now.Add(time.Microsecond)
		d.confirm(d.now)
		report := &slotpb.ServerReport{Server: uint64(idOfServer("server-0")), Ok: 1, LatencyUs: 10_000}
		d.ask(id, &slotpb.Ask{Session: d.holders[id].session, Want: 1, Held: held(kept...), Reports: []*slotpb.ServerReport{report}})
	}
}

// BenchmarkCoordinatorMemory reports the heap size of a coordinator by the number
// of leases, all granted to 18 holders. Each server has six slots.
func BenchmarkCoordinatorMemory(b *testing.B) {
	for _, leases := range []int{204, 1950, 7800} {
		b.Run(fmt.Sprintf("leases=%d", leases), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				d := loadedTestCoordinator(18, leases/6)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(d)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// loadedTestCoordinator returns a coordinator whose leases are all granted.
func loadedTestCoordinator(holders, servers int) *testCoordinator {
	var ids []string
	for i := range holders {
		ids = append(ids, fmt.Sprintf("entry-%d", i))
	}
	d := newTestCoordinator(coordinatorConfig{recorded: ids, takeoverDone: true})
	var specs []serverSpec
	for i := range servers {
		specs = append(specs, serverSpec{name: fmt.Sprintf("server-%d", i), slots: 6, weight: 1, usable: true})
	}
	d.setServers(specs, d.now)
	for _, id := range ids {
		d.ask(id, &slotpb.Ask{})
		d.ask(id, &slotpb.Ask{Session: d.holders[id].session, Want: uint32(6*servers/holders + 1)})
	}
	return d
}
