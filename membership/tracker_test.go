package membership_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/pomelolock/pomelolock/membership"
	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	linkDelay = time.Millisecond
	// settleTime is longer than any timeout of the view.
	settleTime = 15 * time.Second
)

// targetRecorder records the latest targets set by a tracker.
type targetRecorder struct {
	mu      sync.Mutex
	targets []storage.Instance
}

func (r *targetRecorder) SetTargets(instances []storage.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = instances
}

func (r *targetRecorder) addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for _, instance := range r.targets {
		addresses = append(addresses, instance.PeerAddress)
	}
	return addresses
}

// fleet runs trackers over an in-memory network and instance list.
type fleet struct {
	t        *testing.T
	net      *peertest.Network
	list     *memory.Store
	trackers map[string]*membership.Tracker
	targets  map[string]*targetRecorder
	stops    map[string]func()
}

func newFleet(t *testing.T, ids ...string) *fleet {
	f := &fleet{
		t: t, net: peertest.NewNetwork(linkDelay), list: memory.New(),
		trackers: make(map[string]*membership.Tracker),
		targets:  make(map[string]*targetRecorder),
		stops:    make(map[string]func()),
	}
	for _, id := range ids {
		f.start(id)
	}
	return f
}

func instance(id string) storage.Instance {
	return storage.Instance{
		ID: id, Role: storage.RoleEntry, DataCentre: "dc-1", PeerAddress: id + ":7000", State: storage.StateLive,
	}
}

func (f *fleet) start(id string, partitionedFrom ...string) {
	node := f.net.Join(id)
	for _, other := range partitionedFrom {
		f.net.SetCut(id, other, true)
	}
	f.targets[id] = &targetRecorder{}
	tracker := membership.NewTracker(membership.Options{
		Self: instance(id), List: f.list, Messenger: node, Targets: f.targets[id],
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = tracker.Run(ctx) })
	f.trackers[id] = tracker
	f.stops[id] = func() {
		cancel()
		wg.Wait()
	}
}

// crash stops an instance without a leave notice.
func (f *fleet) crash(id string) {
	f.net.Leave(id)
	f.stops[id]()
	delete(f.trackers, id)
	delete(f.stops, id)
}

func (f *fleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	f.net.Close()
}

func (f *fleet) setRow(row storage.Instance) {
	f.t.Helper()
	if err := f.list.SetInstance(context.Background(), row); err != nil {
		f.t.Fatalf("set row: %v", err)
	}
}

func (f *fleet) ids(id string) []string {
	var ids []string
	for _, instance := range f.trackers[id].Entries() {
		ids = append(ids, instance.ID)
	}
	return ids
}

func (f *fleet) wantEntries(id string, want ...string) {
	f.t.Helper()
	if got := f.ids(id); !slices.Equal(got, want) {
		f.t.Fatalf("entries of %s: got %v, want %v", id, got, want)
	}
}

// setIsolated cuts or restores all links of an instance.
func (f *fleet) setIsolated(id string, isolated bool) {
	for other := range f.trackers {
		if other != id {
			f.net.SetCut(id, other, isolated)
		}
	}
}

func TestStartInListOutageUsesSessionsAndRegistersLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.list.SetFaults(memory.Faults{ListDown: true})
		f.start("a")
		f.start("b")
		defer f.stop()
		time.Sleep(settleTime)
		f.wantEntries("a", "a", "b")
		if got := f.trackers["a"].Entries()[1]; got.PeerAddress != "b:7000" || got.DataCentre != "dc-1" {
			t.Fatalf("unlisted peer: %+v", got)
		}
		f.list.SetFaults(memory.Faults{})
		time.Sleep(settleTime)
		rows, err := f.list.ListInstances(t.Context())
		if err != nil || len(rows) != 2 {
			t.Fatalf("list after the outage: %v, error %v", rows, err)
		}
	})
}

func TestSessionKeepsVanishedRowInView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		defer f.stop()
		time.Sleep(settleTime)
		for range 20 {
			_ = f.list.RemoveInstance(t.Context(), "b")
			time.Sleep(time.Second)
			f.wantEntries("a", "a", "b", "c")
		}
		time.Sleep(settleTime)
		if rows, err := f.list.ListInstances(t.Context()); err != nil || len(rows) != 3 {
			t.Fatalf("the missing row was not written again: %v, error %v", rows, err)
		}
		f.crash("b")
		_ = f.list.RemoveInstance(t.Context(), "b")
		time.Sleep(settleTime)
		f.wantEntries("a", "a", "c")
		if got := f.targets["a"].addresses(); !slices.Equal(got, []string{"c:7000"}) {
			t.Fatalf("targets: %v", got)
		}
	})
}

// Losing the sessions to most peers at once means that the local instance is cut
// off, so it must not drop those peers from its view.
func TestSilentInstanceLeavesViewButIsolatedInstanceKeepsOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c", "d")
		defer f.stop()
		time.Sleep(settleTime)
		f.setIsolated("d", true)
		time.Sleep(settleTime)
		f.wantEntries("a", "a", "b", "c")
		f.wantEntries("d", "a", "b", "c", "d")
		f.setIsolated("d", false)
		time.Sleep(time.Second)
		f.wantEntries("a", "a", "b", "c", "d")
	})
}

func TestStaleListIsCompletedByReachedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		defer f.stop()
		time.Sleep(settleTime)
		f.list.SetFaults(memory.Faults{ListDown: true})
		f.start("z", "b", "c")
		time.Sleep(time.Second)
		if got := f.targets["z"].addresses(); !slices.Equal(got, []string{"a:7000", "b:7000", "c:7000"}) {
			t.Fatalf("targets: %v", got)
		}
	})
}

func TestLeaveReachesPeersAtOnceAndListAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		defer f.stop()
		time.Sleep(settleTime)
		f.net.SetCut("a", "c", true)
		f.list.SetFaults(memory.Faults{ListDown: true})
		done := make(chan error, 1)
		go func() { done <- f.trackers["a"].Leave(t.Context()) }()
		time.Sleep(2 * linkDelay)
		f.wantEntries("b", "b", "c")
		f.wantEntries("a", "b", "c")
		f.net.SetCut("a", "c", false)
		time.Sleep(2 * linkDelay)
		f.wantEntries("c", "b", "c")
		f.list.SetFaults(memory.Faults{ListLag: 5 * time.Second})
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		time.Sleep(settleTime)
		f.wantEntries("b", "b", "c")
		rows, err := f.list.ListInstances(t.Context())
		if err != nil || rows[0].State != storage.StateLeaving {
			t.Fatalf("list: %v, error %v", rows, err)
		}
	})
}

func backend(id, address string, state storage.InstanceState) storage.Instance {
	return storage.Instance{ID: id, Role: storage.RoleBackend, Address: address, State: state}
}

func TestLeavingServerIsKnownEverywhereAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		defer f.stop()
		f.setRow(backend("s1", "10.0.0.1:80", storage.StateLive))
		time.Sleep(settleTime)
		wantLeaving := func(want bool, address string, ids ...string) {
			t.Helper()
			for _, id := range ids {
				if f.trackers[id].LeavingServer(address) != want {
					t.Fatalf("%s: LeavingServer(%s) is not %v", id, address, want)
				}
			}
		}
		f.net.SetCut("a", "c", true)
		f.trackers["a"].ReportLeavingServer("10.0.0.1:80")
		time.Sleep(2 * linkDelay)
		wantLeaving(true, "10.0.0.1:80", "a", "b")
		wantLeaving(false, "10.0.0.1:80", "c")
		f.net.SetCut("a", "c", false)
		time.Sleep(2 * linkDelay)
		wantLeaving(true, "10.0.0.1:80", "c")
		time.Sleep(settleTime) // The lagging list still has the server as live.
		wantLeaving(true, "10.0.0.1:80", "a", "b", "c")
		f.start("late")
		time.Sleep(2 * linkDelay)
		wantLeaving(true, "10.0.0.1:80", "late")

		if got := f.trackers["late"].DrainingServers(); !slices.Equal(got, []string{"10.0.0.1:80"}) {
			t.Fatalf("draining: %v", got)
		}

		_ = f.list.RemoveInstance(t.Context(), "s1")
		f.setRow(backend("s2", "10.0.0.1:80", storage.StateLive))
		time.Sleep(2 * time.Second)
		wantLeaving(false, "10.0.0.1:80", "a", "b", "c", "late")

		f.setRow(backend("s2", "10.0.0.1:80", storage.StateLeaving))
		time.Sleep(2 * time.Second)
		wantLeaving(true, "10.0.0.1:80", "a", "b", "c", "late")
		f.trackers["b"].ReportServingServer("10.0.0.1:80")
		wantLeaving(true, "10.0.0.1:80", "b")
		if got := f.trackers["b"].DrainingServers(); len(got) > 0 {
			t.Fatalf("reported as draining although the list has the server as leaving: %v", got)
		}
		f.setRow(backend("s2", "10.0.0.1:80", storage.StateLive))
		time.Sleep(2 * time.Second)
		wantLeaving(false, "10.0.0.1:80", "a", "b", "c", "late")
	})
}

// Two instances that can't reach each other make contradictory reports with equal
// stamps. Without a tie rule, each would keep its own report.
func TestReportsOfTheSameMillisecondAgreeOnLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		defer f.stop()
		const address = "10.0.0.1:80"
		time.Sleep(settleTime)
		f.net.SetCut("a", "b", true)
		f.trackers["b"].ReportLeavingServer(address)
		time.Sleep(time.Millisecond)
		f.trackers["b"].ReportServingServer(address)
		f.trackers["a"].ReportLeavingServer(address)
		f.net.SetCut("a", "b", false)
		time.Sleep(settleTime)
		if !f.trackers["a"].LeavingServer(address) || !f.trackers["b"].LeavingServer(address) {
			t.Fatal("the views differ")
		}
	})
}
