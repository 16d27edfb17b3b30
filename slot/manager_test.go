package slot_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/slot"
	"github.com/pomelolock/pomelolock/storage/memory"
)

// TestFleetAtHalfLoad runs 18 instances over 20 servers at half load.
func TestFleetAtHalfLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.drive(half, time.Second, nil)
		before := f.total()
		l := f.drive(half, 2*time.Second, nil)
		after := f.total()
		t.Logf("sent %d whole %d refused %d late %d, wait p50 %v p99 %v, messages per request %.3f, bytes per second and instance %.0f, store writes %d",
			l.sent, l.whole, l.refused, l.late, percentile(l.waits, 0.5), percentile(l.waits, 0.99),
			float64(after.Messages-before.Messages)/float64(l.sent), float64(after.Bytes-before.Bytes)/2/fleetSize, after.StoreWrites-before.StoreWrites)
		if l.whole != l.sent {
			t.Errorf("%d of %d requests were whole", l.whole, l.sent)
		}
		if p99 := percentile(l.waits, 0.99); p99 > 5*time.Millisecond {
			t.Errorf("p99 of the wait for a slot is %v", p99)
		}
		if writes := after.StoreWrites - before.StoreWrites; writes > 0 {
			t.Errorf("%d store writes in steady traffic", writes)
		}
		f.checkSlots()
		f.checkConnections()
	})
}

func coordinatorOf(f *fleet) int {
	return slices.IndexFunc(f.managers, func(m *slot.Manager) bool { return m.Stats().Coordinated > 0 })
}

// TestCoordinatorCrash kills the coordinator under load. The others go on with
// the leases they hold, and a successor takes over.
func TestCoordinatorCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.drive(half, time.Second, nil)
		dead := coordinatorOf(f)
		f.crash(dead)
		l := f.drive(half, 4*time.Second, func(i int) bool { return i != dead })
		t.Logf("during the takeover: sent %d whole %d refused %d late %d, wait p99 %v", l.sent, l.whole, l.refused, l.late, percentile(l.waits, 0.99))
		if l.whole < l.sent*9/10 {
			t.Errorf("%d of %d requests were whole", l.whole, l.sent)
		}
		l = f.drive(half, time.Second, func(i int) bool { return i != dead })
		if l.whole != l.sent {
			t.Errorf("after the takeover %d of %d requests were whole", l.whole, l.sent)
		}
		if next := f.total(); next.Takeovers != 2 {
			t.Errorf("%d takeovers, want the first and one more", next.Takeovers)
		}
		f.checkSlots()
	})
}

// TestFrozenCoordinator cuts the coordinator off for longer than leases last,
// with its sessions open. Its old messages arrive when it wakes.
func TestFrozenCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.drive(half, time.Second, nil)
		frozen := coordinatorOf(f)
		f.freezers[frozen].freeze(5 * time.Second)
		l := f.drive(half, 4*time.Second, func(i int) bool { return i != frozen })
		t.Logf("frozen: sent %d whole %d refused %d late %d, wait p99 %v", l.sent, l.whole, l.refused, l.late, percentile(l.waits, 0.99))
		if l.whole < l.sent*85/100 {
			t.Errorf("%d of %d requests were whole", l.whole, l.sent)
		}
		f.drive(half, 3*time.Second, nil)
		l = f.drive(half, time.Second, nil)
		if l.whole != l.sent {
			t.Errorf("after the pause %d of %d requests were whole", l.whole, l.sent)
		}
		if n := f.coordinators(); n != 1 {
			t.Errorf("%d coordinators run after the pause", n)
		}
		f.checkSlots()
	})
}

func (f *fleet) coordinators() (n int) {
	for _, m := range f.managers {
		n += m.Stats().Coordinated
	}
	return n
}

// TestHandover passes the coordinator on three times under load, past instances
// that are leaving too. No request is lost, and the table service is down.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.drive(half, time.Second, nil)
		f.store.SetFaults(memory.Faults{Down: true})
		for range 3 {
			old := coordinatorOf(f)
			if err := f.managers[old].Handover(t.Context()); err != nil {
				t.Fatalf("handover: %v", err)
			}
			if next := coordinatorOf(f); next < 0 || next == old {
				t.Fatalf("coordinator is at %d after the handover from %d", next, old)
			}
		}
		l := f.drive(half, 3*time.Second, nil)
		t.Logf("store down: sent %d whole %d refused %d late %d, wait p99 %v", l.sent, l.whole, l.refused, l.late, percentile(l.waits, 0.99))
		if l.whole != l.sent {
			t.Errorf("%d of %d requests were whole", l.whole, l.sent)
		}
		f.checkSlots()
	})
}

// TestOverloadKeepsGoodput sends twice what the servers can do. Requests that
// can't be served in time are refused early, so that slots serve only requests
// that end in time.
func TestOverloadKeepsGoodput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		full := f.drive(2*half, 2*time.Second, nil)
		over := f.drive(4*half, 2*time.Second, nil)
		for name, l := range map[string]*load{"full": full, "twofold": over} {
			t.Logf("%s load: sent %d whole %d (%d in the second half) refused %d late %d, wait p50 %v p99 %v",
				name, l.sent, l.whole, l.steady, l.refused, l.late, percentile(l.waits, 0.5), percentile(l.waits, 0.99))
		}
		if float64(over.steady) < 0.95*float64(full.steady) {
			t.Errorf("goodput fell from %d to %d", full.steady, over.steady)
		}
		if over.late > over.whole/100 {
			t.Errorf("%d requests ran late", over.late)
		}
		f.checkSlots()
	})
}

// TestSlowServersGetLess lets servers turn 8 times slower for 200 ms at random,
// each about 5% of the time.
func TestSlowServersGetLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		ctx, stop := context.WithCancel(t.Context())
		f.done.Go(func() { f.turnSlow(ctx) })
		f.drive(half, time.Second, nil)
		l := f.drive(half, 4*time.Second, nil)
		stop()
		t.Logf("sent %d whole %d, p50 %v p99 %v", l.sent, l.whole, percentile(l.took, 0.5), percentile(l.took, 0.99))
		if p99 := percentile(l.took, 0.99); p99 > 12*work {
			t.Errorf("p99 is %v at a mean work of %v", p99, work)
		}
		f.checkSlots()
	})
}

func (f *fleet) turnSlow(ctx context.Context) {
	random := rand.New(rand.NewPCG(3, 4))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(4*time.Second/fleetServers)))
		server := fmt.Sprintf("server-%d", random.IntN(fleetServers))
		f.setSlow(server, true)
		time.AfterFunc(200*time.Millisecond, func() { f.setSlow(server, false) })
	}
}

func (f *fleet) setSlow(server string, slow bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow[server] = slow
}

// TestStalledServerGetsTrials lets one server stay 8 times slower.
func TestStalledServerGetsTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.drive(half, time.Second, nil)
		f.setSlow("server-3", true)
		f.drive(half, time.Second, nil)
		before := f.served["server-3"]
		l := f.drive(half, 4*time.Second, nil)
		served := f.served["server-3"] - before
		t.Logf("sent %d, to the slow server %d, p99 %v", l.sent, served, percentile(l.took, 0.99))
		if served > l.sent/fleetServers/20 {
			t.Errorf("%d of %d requests went to the slow server", served, l.sent)
		}
		f.checkSlots()
	})
}

// TestFastFailureIsNoMerit lets one server fail every request in no time.
func TestFastFailureIsNoMerit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.failing["server-3"] = true
		l := f.drive(half, 4*time.Second, nil)
		t.Logf("sent %d failed %d; a fair share is %d", l.sent, l.failed, l.sent/fleetServers)
		if l.failed > l.sent/fleetServers/5 {
			t.Errorf("%d of %d requests went to the failing server", l.failed, l.sent)
		}
		f.failing["server-3"] = false
		f.drive(half, 4*time.Second, nil)
		before := f.served["server-3"]
		l = f.drive(half, time.Second, nil)
		if after := f.served["server-3"] - before; after < l.sent/fleetServers/4 {
			t.Errorf("after its recovery the server got %d of %d requests", after, l.sent)
		}
	})
}

// TestOtherDataCentreHelpsOut gives each of two data centres its own servers,
// and one of them more load than its servers can take.
func TestOtherDataCentreHelpsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := fleetTable()
		for i := range doc.Servers {
			if i%2 == 1 {
				doc.Servers[i].DataCentre = "dc-2"
			}
		}
		f := newFleetOf(t, doc, func(entry int) string { return fmt.Sprintf("dc-%d", 1+entry%2) })
		defer f.close()
		first := func(i int) bool { return i%2 == 0 }
		l := f.drive(half/2, 2*time.Second, first)
		t.Logf("quarter load: sent %d whole %d, dc-2 served %d", l.sent, l.whole, f.servedElsewhere())
		if l.whole != l.sent || f.servedElsewhere() > l.sent/20 {
			t.Errorf("%d of %d whole, %d in the other data centre", l.whole, l.sent, f.servedElsewhere())
		}
		before := f.servedElsewhere()
		l = f.drive(3*half, 2*time.Second, first)
		t.Logf("local servers at 1.5 times their load: sent %d whole %d, dc-2 served %d", l.sent, l.whole, f.servedElsewhere()-before)
		if l.whole < l.sent*95/100 {
			t.Errorf("%d of %d requests were whole", l.whole, l.sent)
		}
		f.checkSlots()
	})
}

// servedElsewhere counts the requests outside the first data centre.
func (f *fleet) servedElsewhere() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	served := 0
	for _, server := range f.current.Load().Servers("lookup") {
		if server.DataCentre != "dc-1" {
			served += f.served[server.Name]
		}
	}
	return served
}

// TestAcquireHonoursRequest covers exclusion and requests that don't wait.
func TestAcquireHonoursRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := fleetTable()
		doc.Servers = doc.Servers[:2]
		f := newFleetOf(t, doc, func(int) string { return "dc-1" })
		defer f.close()
		req := loadbalancer.Request{Service: "lookup", NoWait: true}
		var overload *loadbalancer.OverloadError
		if _, err := f.managers[0].Acquire(t.Context(), req); !errors.As(err, &overload) || overload.RetryAfter <= 0 {
			t.Errorf("without a lease NoWait gave %v", err)
		}
		for range 2 * fleetSlots {
			permit, err := f.managers[0].Acquire(t.Context(), loadbalancer.Request{Service: "lookup", Exclude: []string{"server-0"}})
			if err != nil {
				t.Fatalf("acquire: %v", err)
			}
			if permit.Server.Name == "server-0" {
				t.Errorf("got the excluded server")
			}
			permit.Release(loadbalancer.Result{Latency: work})
		}
		var unknown *loadbalancer.NoServerError
		if _, err := f.managers[0].Acquire(t.Context(), loadbalancer.Request{Service: "other"}); !errors.As(err, &unknown) {
			t.Errorf("an unknown service gave %v", err)
		}
	})
}

// TestExcludedServerDoesNotStarveRequest keeps every slot of one server busy,
// though leases of the other, excluded one would be granted first as often.
func TestExcludedServerDoesNotStarveRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := fleetTable()
		doc.Servers = doc.Servers[:2]
		f := newFleetOf(t, doc, func(int) string { return "dc-1" })
		defer f.close()
		for i := range fleetSlots {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			permit, err := f.managers[0].Acquire(ctx, loadbalancer.Request{Service: "lookup", Exclude: []string{"server-1"}})
			if err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
			defer permit.Release(loadbalancer.Result{Latency: work})
		}
	})
}
