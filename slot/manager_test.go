package slot_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/platform"
	"github.com/pomelolock/pomelolock/platform/memory"
	"github.com/pomelolock/pomelolock/slot"
	"github.com/pomelolock/pomelolock/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	fleetSize    = 18
	fleetServers = 20
	fleetSlots   = 6
)

// fleetView is a membership view that tests change by hand.
type fleetView struct {
	self  platform.Instance
	fleet *fleet
}

func (v *fleetView) Self() platform.Instance { return v.self }

func (v *fleetView) Entries() []platform.Instance {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return slices.Clone(v.fleet.entries)
}

func (v *fleetView) LeavingServer(address string) bool {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return v.fleet.leaving[address]
}

func (v *fleetView) Changed() <-chan struct{} {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return v.fleet.changed
}

// fleet is a set of managers on an in-memory network, with one service.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	net     *peertest.Network
	store   *memory.Store
	current *table.Current

	mu      sync.Mutex
	entries []platform.Instance
	leaving map[string]bool
	changed chan struct{}
	// running are the requests on each server, most the highest seen.
	running map[string]int
	most    map[string]int

	managers []*slot.Manager
	stop     []context.CancelFunc
	done     sync.WaitGroup
}

func fleetTable() table.Document {
	doc := table.Document{
		Version: 1,
		Services: []table.Service{{
			Name: "lookup", Policy: table.PolicyLeases, Weight: 1, DeadlineMS: 500,
			QueueLimit: 1000, CancelGraceMS: 100,
		}},
	}
	for i := range fleetServers {
		doc.Servers = append(doc.Servers, table.Server{
			Service: "lookup", Name: fmt.Sprintf("server-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			DataCentre: "dc-1", Weight: 1, Slots: fleetSlots, Connections: 250, State: table.ServerServing,
		})
	}
	return doc
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(1, 2)), net: peertest.NewNetwork(250 * time.Microsecond), store: memory.New(), current: table.NewCurrent(),
		leaving: make(map[string]bool), changed: make(chan struct{}),
		running: make(map[string]int), most: make(map[string]int),
	}
	f.current.Swap(table.Compile(fleetTable()))
	for i := range fleetSize {
		f.entries = append(f.entries, platform.Instance{ID: fmt.Sprintf("entry-%02d", i), Role: platform.RoleEntry, DataCentre: "dc-1"})
	}
	for _, instance := range f.entries {
		ctx, cancel := context.WithCancel(t.Context())
		m := slot.New(slot.Options{
			Messenger: f.net.Join(instance.ID), View: &fleetView{self: instance, fleet: f}, Tables: f.store, Current: f.current,
		})
		f.managers = append(f.managers, m)
		f.stop = append(f.stop, cancel)
		f.done.Go(func() { _ = m.Run(ctx) })
	}
	synctest.Wait()
	return f
}

func (f *fleet) close() {
	for _, stop := range f.stop {
		stop()
	}
	f.done.Wait()
	time.Sleep(time.Second)
}

// crash stops instance i without a word to the others.
func (f *fleet) crash(i int) {
	f.net.Leave(f.entries[i].ID)
	f.stop[i]()
}

func (f *fleet) run(i int, work, deadline time.Duration, flow string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), deadline)
	defer cancel()
	started := time.Now()
	permit, err := f.managers[i].Acquire(ctx, loadbalancer.Request{Service: "lookup", Flow: flow})
	if err != nil {
		return 0, err
	}
	f.enter(permit.Server.Name, 1)
	time.Sleep(work)
	f.enter(permit.Server.Name, -1)
	permit.Release(loadbalancer.Result{Class: loadbalancer.ClassOK, Latency: work})
	if time.Since(started) > deadline {
		return 0, context.DeadlineExceeded
	}
	return time.Since(started), nil
}

func (f *fleet) enter(server string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[server] += change
	f.most[server] = max(f.most[server], f.running[server])
}

// load is what a run of open-loop requests gave.
type load struct {
	sent, whole, refused, late int
	waits                      []time.Duration
}

func (l *load) percentile(share float64) time.Duration {
	if len(l.waits) == 0 {
		return 0
	}
	slices.Sort(l.waits)
	return l.waits[int(share*float64(len(l.waits)-1))]
}

// half is half of what the servers of a fleet can do, in requests per second;
// a request takes work on average.
const (
	work     = 10 * time.Millisecond
	deadline = 500 * time.Millisecond
	half     = fleetServers * fleetSlots * int(time.Second/work) / 2
)

// drive sends requests with exponential distances and lengths for the given
// time, each to a random instance that is alive, and waits for all of them.
func (f *fleet) drive(rate int, length time.Duration, alive func(int) bool) *load {
	var wg sync.WaitGroup
	var mu sync.Mutex
	l := &load{}
	for end := time.Now().Add(length); time.Now().Before(end); {
		i := f.random.IntN(len(f.managers))
		need := time.Duration(f.random.ExpFloat64() * float64(work))
		if alive == nil || alive(i) {
			l.sent++
			wg.Go(func() {
				latency, err := f.run(i, need, deadline, "")
				mu.Lock()
				defer mu.Unlock()
				l.count(latency, err, need)
			})
		}
		time.Sleep(time.Duration(f.random.ExpFloat64() / float64(rate) * float64(time.Second)))
	}
	wg.Wait()
	return l
}

func (l *load) count(latency time.Duration, err error, work time.Duration) {
	var overload *loadbalancer.OverloadError
	switch {
	case err == nil:
		l.whole++
		l.waits = append(l.waits, latency-work)
	case errors.As(err, &overload):
		l.refused++
	default:
		l.late++
	}
}

func (f *fleet) checkSlots() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for server, most := range f.most {
		if most > fleetSlots {
			f.t.Errorf("%s ran %d requests at once, has %d slots", server, most, fleetSlots)
		}
	}
}

// total sums the stats of all managers.
func (f *fleet) total() (total slot.Stats) {
	for _, m := range f.managers {
		s := m.Stats()
		total.Messages += s.Messages
		total.Bytes += s.Bytes
		total.StoreWrites += s.StoreWrites
		total.Held += s.Held
		total.Takeovers += s.Takeovers
	}
	return total
}

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
			l.sent, l.whole, l.refused, l.late, l.percentile(0.5), l.percentile(0.99),
			float64(after.Messages-before.Messages)/float64(l.sent), float64(after.Bytes-before.Bytes)/2/fleetSize, after.StoreWrites-before.StoreWrites)
		if l.whole != l.sent {
			t.Errorf("%d of %d requests were whole", l.whole, l.sent)
		}
		if p99 := l.percentile(0.99); p99 > 5*time.Millisecond {
			t.Errorf("p99 of the wait for a slot is %v", p99)
		}
		if writes := after.StoreWrites - before.StoreWrites; writes > 0 {
			t.Errorf("%d store writes in steady traffic", writes)
		}
		f.checkSlots()
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
		t.Logf("during the takeover: sent %d whole %d refused %d late %d, wait p99 %v", l.sent, l.whole, l.refused, l.late, l.percentile(0.99))
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

// TestHandover passes the coordinator on under load; no request is lost and the
// table service is not needed for it.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.drive(half, time.Second, nil)
		f.store.SetFaults(memory.Faults{Down: true})
		old := coordinatorOf(f)
		if err := f.managers[old].Handover(t.Context()); err != nil {
			t.Fatalf("handover: %v", err)
		}
		if next := coordinatorOf(f); next < 0 || next == old {
			t.Fatalf("coordinator is at %d after the handover from %d", next, old)
		}
		l := f.drive(half, 3*time.Second, nil)
		t.Logf("store down: sent %d whole %d refused %d late %d, wait p99 %v", l.sent, l.whole, l.refused, l.late, l.percentile(0.99))
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
		f.drive(2*half, time.Second, nil)
		full := f.drive(2*half, 2*time.Second, nil)
		f.drive(4*half, time.Second, nil)
		over := f.drive(4*half, 2*time.Second, nil)
		for name, l := range map[string]*load{"full": full, "twofold": over} {
			t.Logf("%s load: sent %d whole %d refused %d late %d, wait p50 %v p99 %v",
				name, l.sent, l.whole, l.refused, l.late, l.percentile(0.5), l.percentile(0.99))
		}
		if float64(over.whole) < 0.9*float64(full.whole) {
			t.Errorf("goodput fell from %d to %d", full.whole, over.whole)
		}
		f.checkSlots()
	})
}
