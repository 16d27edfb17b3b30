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

// TestFleetAtHalfLoad runs 18 instances and 20 servers at half load. All requests
// must succeed after a short wait, without writes to the table service.
func TestFleetAtHalfLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.drive(halfLoad, time.Second, nil)
		before := f.total()
		l := f.drive(halfLoad, 2*time.Second, nil)
		after := f.total()
		t.Logf("sent %d complete %d refused %d late %d, wait p50 %v p99 %v, messages per request %.3f, bytes per second and instance %.0f, store writes %d",
			l.sent, l.complete, l.refused, l.late, percentile(l.waits, 0.5), percentile(l.waits, 0.99),
			float64(after.Messages-before.Messages)/float64(l.sent), float64(after.Bytes-before.Bytes)/2/fleetSize, after.StoreWrites-before.StoreWrites)
		if l.complete != l.sent {
			t.Errorf("%d of %d requests were complete", l.complete, l.sent)
		}
		if p99 := percentile(l.waits, 0.99); p99 > 5*time.Millisecond {
			t.Errorf("p99 of the wait for a slot is %v, want at most 5ms", p99)
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

// TestCoordinatorCrash crashes the coordinator under load. The other instances
// continue with their leases until a successor takes over.
func TestCoordinatorCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.drive(halfLoad, time.Second, nil)
		dead := coordinatorOf(f)
		f.crash(dead)
		l := f.drive(halfLoad, 4*time.Second, func(i int) bool { return i != dead })
		t.Logf("during the takeover: sent %d complete %d refused %d late %d, wait p99 %v", l.sent, l.complete, l.refused, l.late, percentile(l.waits, 0.99))
		if l.complete < l.sent*9/10 {
			t.Errorf("%d of %d requests were complete", l.complete, l.sent)
		}
		l = f.drive(halfLoad, time.Second, func(i int) bool { return i != dead })
		if l.complete != l.sent {
			t.Errorf("after the takeover %d of %d requests were complete", l.complete, l.sent)
		}
		if next := f.total(); next.Takeovers != 2 {
			t.Errorf("%d takeovers, want the first and one more", next.Takeovers)
		}
		f.checkSlots()
	})
}

// TestFrozenCoordinator pauses the coordinator for longer than the TTL of leases
// while its sessions stay open. Its delayed messages arrive after the pause.
func TestFrozenCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.drive(halfLoad, time.Second, nil)
		frozen := coordinatorOf(f)
		f.freezers[frozen].freeze(5 * time.Second)
		l := f.drive(halfLoad, 4*time.Second, func(i int) bool { return i != frozen })
		t.Logf("frozen: sent %d complete %d refused %d late %d, wait p99 %v", l.sent, l.complete, l.refused, l.late, percentile(l.waits, 0.99))
		if l.complete < l.sent*85/100 {
			t.Errorf("%d of %d requests were complete", l.complete, l.sent)
		}
		f.drive(halfLoad, 3*time.Second, nil)
		l = f.drive(halfLoad, time.Second, nil)
		if l.complete != l.sent {
			t.Errorf("after the pause %d of %d requests were complete", l.complete, l.sent)
		}
		if n := f.coordinators(); n != 1 {
			t.Errorf("%d coordinators run after the pause, want 1", n)
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

// TestHandover hands the coordinator over three times while the table service is
// down. Instances that have handed over before don't accept it. No request fails
// afterwards.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.drive(halfLoad, time.Second, nil)
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
		l := f.drive(halfLoad, 3*time.Second, nil)
		t.Logf("table service down: sent %d complete %d refused %d late %d, wait p99 %v", l.sent, l.complete, l.refused, l.late, percentile(l.waits, 0.99))
		if l.complete != l.sent {
			t.Errorf("%d of %d requests were complete", l.complete, l.sent)
		}
		f.checkSlots()
	})
}

// TestOverloadKeepsGoodput sends twice the capacity of the servers. Requests that
// can't be served in time must be rejected early, so that goodput does not
// collapse.
func TestOverloadKeepsGoodput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		full := f.drive(2*halfLoad, 2*time.Second, nil)
		over := f.drive(4*halfLoad, 2*time.Second, nil)
		for name, l := range map[string]*load{"full": full, "twofold": over} {
			t.Logf("%s load: sent %d complete %d (%d in the second half) refused %d late %d, wait p50 %v p99 %v",
				name, l.sent, l.complete, l.completeInSecondHalf, l.refused, l.late, percentile(l.waits, 0.5), percentile(l.waits, 0.99))
		}
		if float64(over.completeInSecondHalf) < 0.95*float64(full.completeInSecondHalf) {
			t.Errorf("goodput fell from %d to %d", full.completeInSecondHalf, over.completeInSecondHalf)
		}
		if over.late > over.complete/100 {
			t.Errorf("%d requests missed their deadlines", over.late)
		}
		f.checkSlots()
	})
}

// TestSlowServersGetLess makes servers 8 times slower for 200 ms at random, each
// about 5% of the time. They must get so few requests that p99 stays low.
func TestSlowServersGetLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		ctx, stop := context.WithCancel(t.Context())
		f.done.Go(func() { f.injectSlowness(ctx) })
		f.drive(halfLoad, time.Second, nil)
		l := f.drive(halfLoad, 4*time.Second, nil)
		stop()
		t.Logf("sent %d complete %d, p50 %v p99 %v", l.sent, l.complete, percentile(l.took, 0.5), percentile(l.took, 0.99))
		if p99 := percentile(l.took, 0.99); p99 > 12*meanServiceTime {
			t.Errorf("p99 is %v at a mean service time of %v", p99, meanServiceTime)
		}
		f.checkSlots()
	})
}

func (f *fleet) injectSlowness(ctx context.Context) {
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

// TestStalledServerGetsTrials keeps one server 8 times slower. It must get hardly
// any requests besides trials.
func TestStalledServerGetsTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.drive(halfLoad, time.Second, nil)
		f.setSlow("server-3", true)
		f.drive(halfLoad, time.Second, nil)
		before := f.served["server-3"]
		l := f.drive(halfLoad, 4*time.Second, nil)
		served := f.served["server-3"] - before
		t.Logf("sent %d, to the slow server %d, p99 %v", l.sent, served, percentile(l.took, 0.99))
		if served > l.sent/fleetServers/20 {
			t.Errorf("%d of %d requests went to the slow server", served, l.sent)
		}
		f.checkSlots()
	})
}

// TestFastFailureDoesNotAttractRequests makes one server fail every request at
// once. Its low latency must not attract requests, and it must get requests
// again after its recovery.
func TestFastFailureDoesNotAttractRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.failing["server-3"] = true
		l := f.drive(halfLoad, 4*time.Second, nil)
		t.Logf("sent %d failed %d; a fair share is %d", l.sent, l.failed, l.sent/fleetServers)
		if l.failed > l.sent/fleetServers/5 {
			t.Errorf("%d of %d requests went to the failing server", l.failed, l.sent)
		}
		f.failing["server-3"] = false
		f.drive(halfLoad, 4*time.Second, nil)
		before := f.served["server-3"]
		l = f.drive(halfLoad, time.Second, nil)
		if after := f.served["server-3"] - before; after < l.sent/fleetServers/4 {
			t.Errorf("after its recovery the server got %d of %d requests", after, l.sent)
		}
	})
}

// TestOverloadSpillsToOtherDataCentre splits the servers over two data centres
// and loads only one. The other must serve hardly anything at moderate load, and
// the excess if the local servers are overloaded.
func TestOverloadSpillsToOtherDataCentre(t *testing.T) {
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
		l := f.drive(halfLoad/2, 2*time.Second, first)
		t.Logf("quarter load: sent %d complete %d, dc-2 served %d", l.sent, l.complete, f.servedElsewhere())
		if l.complete != l.sent || f.servedElsewhere() > l.sent/20 {
			t.Errorf("%d of %d requests were complete, %d were served in the other data centre", l.complete, l.sent, f.servedElsewhere())
		}
		before := f.servedElsewhere()
		l = f.drive(3*halfLoad, 2*time.Second, first)
		t.Logf("local servers at 1.5 times their capacity: sent %d complete %d, dc-2 served %d", l.sent, l.complete, f.servedElsewhere()-before)
		if l.complete < l.sent*95/100 {
			t.Errorf("%d of %d requests were complete", l.complete, l.sent)
		}
		f.checkSlots()
	})
}

// servedElsewhere counts the requests served outside the first data centre.
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

// TestAcquireHonoursRequest covers excluded servers, requests that don't wait and
// unknown services.
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
			permit.Release(loadbalancer.Result{Latency: meanServiceTime})
		}
		var unknown *loadbalancer.NoServerError
		if _, err := f.managers[0].Acquire(t.Context(), loadbalancer.Request{Service: "other"}); !errors.As(err, &unknown) {
			t.Errorf("an unknown service gave %v", err)
		}
	})
}

// TestExcludedServerDoesNotStarveRequest takes every slot of one server for
// requests that exclude the other one. Leases of the excluded server, which are
// granted just as readily, must not starve them.
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
			defer permit.Release(loadbalancer.Result{Latency: meanServiceTime})
		}
	})
}
