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
	"github.com/pomelolock/pomelolock/slot"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	fleetSize    = 18
	fleetServers = 20
	fleetSlots   = 6
)

// fleetView is the membership view of one instance of a fleet. Tests change it
// through the fleet's fields.
type fleetView struct {
	self  storage.Instance
	fleet *fleet
}

func (v *fleetView) Self() storage.Instance { return v.self }

func (v *fleetView) Entries() []storage.Instance {
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

// freezer delays the messages of a node while it is frozen. It simulates a paused
// process, whose sessions stay open.
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

// fleet is a set of managers on an in-memory network that serve one service.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	net     *peertest.Network
	store   *memory.Store
	current *table.Current

	mu      sync.Mutex
	entries []storage.Instance
	leaving map[string]bool
	changed chan struct{}
	// running counts the requests on each server; peak has the highest counts.
	running map[string]int
	peak    map[string]int
	// slow has the servers that take slowdownFactor times as long, failing those
	// that fail every request at once, served the number of requests per server.
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
		running: make(map[string]int), peak: make(map[string]int),
		slow: make(map[string]bool), failing: make(map[string]bool), served: make(map[string]int),
	}
	f.current.Swap(table.Compile(doc))
	for i := range fleetSize {
		f.entries = append(f.entries, storage.Instance{ID: fmt.Sprintf("entry-%02d", i), Role: storage.RoleEntry, DataCentre: dataCentre(i)})
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

// crash stops instance i without notice to the others.
func (f *fleet) crash(i int) {
	f.net.Leave(f.entries[i].ID)
	f.stop[i]()
}

// slowdownFactor is the factor by which slow servers take longer.
const slowdownFactor = 8

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

// serve simulates a request on the server and returns its result.
func (f *fleet) serve(server string, need time.Duration) loadbalancer.Class {
	f.mu.Lock()
	f.served[server]++
	failing, slow := f.failing[server], f.slow[server]
	f.mu.Unlock()
	if failing {
		return loadbalancer.ClassFailed
	}
	if slow {
		need *= slowdownFactor
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
	f.peak[server] = max(f.peak[server], f.running[server])
}

// load has the results of a run of open-loop requests.
type load struct {
	sent, complete, refused, late, failed int
	waits                                 []time.Duration
	took                                  []time.Duration
	// completeInSecondHalf counts the complete responses in the second half of
	// the run.
	completeInSecondHalf int
	from, until          time.Time
}

func percentile(of []time.Duration, share float64) time.Duration {
	if len(of) == 0 {
		return 0
	}
	slices.Sort(of)
	return of[int(share*float64(len(of)-1))]
}

// halfLoad is half of the capacity of a fleet's servers, in requests per second;
// a request takes meanServiceTime on average.
const (
	meanServiceTime = 10 * time.Millisecond
	deadline        = 500 * time.Millisecond
	halfLoad        = fleetServers * fleetSlots * int(time.Second/meanServiceTime) / 2
)

// drive sends requests for the given time and waits for all of them. Intervals
// and service times are exponential. Each request goes to a random instance and
// is dropped if that is not alive.
func (f *fleet) drive(rate int, length time.Duration, alive func(int) bool) *load {
	var wg sync.WaitGroup
	var mu sync.Mutex
	l := &load{from: time.Now().Add(length / 2), until: time.Now().Add(length)}
	for time.Now().Before(l.until) {
		i := f.random.IntN(len(f.managers))
		need := time.Duration(f.random.ExpFloat64() * float64(meanServiceTime))
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
		l.complete++
		if now := time.Now(); now.After(l.from) && now.Before(l.until) {
			l.completeInSecondHalf++
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
	for server, most := range f.peak {
		if most > fleetSlots {
			f.t.Errorf("%s ran %d requests at once, but has %d slots", server, most, fleetSlots)
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
