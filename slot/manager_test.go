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
	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/peer/peerpb"
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

// freezer delays the messages of a node while it is frozen, as a paused process
// would, with its sessions still open.
type freezer struct {
	*peertest.Node
	mu   sync.Mutex
	thaw chan struct{}
}

func (z *freezer) wait() {
	z.mu.Lock()
	thaw := z.thaw
	z.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

func (z *freezer) freeze(length time.Duration) {
	thaw := make(chan struct{})
	z.mu.Lock()
	z.thaw = thaw
	z.mu.Unlock()
	time.AfterFunc(length, func() {
		z.mu.Lock()
		z.thaw = nil
		z.mu.Unlock()
		close(thaw)
	})
}

func (z *freezer) Handle(kind peerpb.Kind, h peer.Handler) {
	z.Node.Handle(kind, func(ctx context.Context, from string, payload []byte) (proto.Message, error) {
		z.wait()
		return h(ctx, from, payload)
	})
}

func (z *freezer) Send(to string, kind peerpb.Kind, msg proto.Message) error {
	go func() {
		z.wait()
		_ = z.Node.Send(to, kind, msg)
	}()
	return nil
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
	// slow are the servers that take slowBy as long, failing those that fail
	// at once.
	slow    map[string]bool
	failing map[string]bool
	served  map[string]int

	managers []*slot.Manager
	freezers []*freezer
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
	return newFleetOf(t, fleetTable(), func(int) string { return "dc-1" })
}

func newFleetOf(t *testing.T, doc table.Document, dataCentre func(entry int) string) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(1, 2)), net: peertest.NewNetwork(250 * time.Microsecond), store: memory.New(), current: table.NewCurrent(),
		leaving: make(map[string]bool), changed: make(chan struct{}),
		running: make(map[string]int), most: make(map[string]int),
		slow: make(map[string]bool), failing: make(map[string]bool), served: make(map[string]int),
	}
	f.current.Swap(table.Compile(doc))
	for i := range fleetSize {
		f.entries = append(f.entries, platform.Instance{ID: fmt.Sprintf("entry-%02d", i), Role: platform.RoleEntry, DataCentre: dataCentre(i)})
	}
	for _, instance := range f.entries {
		ctx, cancel := context.WithCancel(t.Context())
		z := &freezer{Node: f.net.Join(instance.ID)}
		f.freezers = append(f.freezers, z)
		m := slot.New(slot.Options{
			Messenger: z, View: &fleetView{self: instance, fleet: f}, Tables: f.store, Current: f.current,
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

// slowBy is the factor by which slow servers are slower.
const slowBy = 8

var errFailed = errors.New("server failed")

func (f *fleet) run(i int, need time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), deadline)
	defer cancel()
	started := time.Now()
	permit, err := f.managers[i].Acquire(ctx, loadbalancer.Request{Service: "lookup"})
	if err != nil {
		return 0, err
	}
	sent := time.Now()
	class := f.serve(permit.Server.Name, need)
	permit.Release(loadbalancer.Result{Class: class, Latency: time.Since(sent)})
	switch {
	case class != loadbalancer.ClassOK:
		return 0, errFailed
	case time.Since(started) > deadline:
		return 0, context.DeadlineExceeded
	}
	return time.Since(started), nil
}

// serve takes as long as the server needs for a request.
func (f *fleet) serve(server string, need time.Duration) loadbalancer.Class {
	f.mu.Lock()
	f.served[server]++
	failing, slow := f.failing[server], f.slow[server]
	f.mu.Unlock()
	if failing {
		return loadbalancer.ClassFailed
	}
	if slow {
		need *= slowBy
	}
	f.enter(server, 1)
	defer f.enter(server, -1)
	time.Sleep(need)
	return loadbalancer.ClassOK
}

func (f *fleet) enter(server string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[server] += change
	f.most[server] = max(f.most[server], f.running[server])
}

// load is what a run of open-loop requests gave.
type load struct {
	sent, whole, refused, late, failed int
	waits                              []time.Duration
	took                               []time.Duration
	// steady counts the whole answers in the second half of the time.
	steady      int
	from, until time.Time
}

func percentile(of []time.Duration, share float64) time.Duration {
	if len(of) == 0 {
		return 0
	}
	slices.Sort(of)
	return of[int(share*float64(len(of)-1))]
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
	l := &load{from: time.Now().Add(length / 2), until: time.Now().Add(length)}
	for time.Now().Before(l.until) {
		i := f.random.IntN(len(f.managers))
		need := time.Duration(f.random.ExpFloat64() * float64(work))
		if alive == nil || alive(i) {
			l.sent++
			wg.Go(func() {
				latency, err := f.run(i, need)
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

func (l *load) count(latency time.Duration, err error, need time.Duration) {
	var overload *loadbalancer.OverloadError
	switch {
	case err == nil:
		l.whole++
		if now := time.Now(); now.After(l.from) && now.Before(l.until) {
			l.steady++
		}
		l.waits = append(l.waits, latency-need)
		l.took = append(l.took, latency)
	case errors.Is(err, errFailed):
		l.failed++
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

func (f *fleet) checkConnections() {
	f.t.Helper()
	for _, server := range f.current.Load().Servers("lookup") {
		sum := 0
		for _, m := range f.managers {
			sum += m.ConnLimit(server.Name)
		}
		if sum > server.Connections || sum < server.Slots {
			f.t.Errorf("the instances may open %d connections to %s, the table allows %d", sum, server.Name, server.Connections)
		}
	}
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
