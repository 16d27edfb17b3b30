package feed

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/gossip"
	"github.com/pomelolock/pomelolock/gossip/gossippb"
	"github.com/pomelolock/pomelolock/gossip/gossiptest"
	"github.com/pomelolock/pomelolock/table"
)

// evacuationLimit is the time in which every instance has to stop using a data centre that is
// evacuated while there are no faults, and to use one that returns.
const evacuationLimit = time.Second

func serverIn(id, dataCentre string) directory.Change {
	c := server(id)
	c.DataCentre = dataCentre
	return c
}

// twoCentres starts instances whose store has the servers a and b in data centres of the same
// names, and waits until all of them use both.
func twoCentres(t *testing.T, count int) (*store, []*instance) {
	t.Helper()
	s := newStore()
	s.put(serverIn("a", "a"))
	s.put(serverIn("b", "b"))
	s.setTable(1)
	instances := fleet(t, s, count)
	time.Sleep(propagationLimit)
	expectServers(t, instances, "a", "b")
	return s, instances
}

func expectServers(t *testing.T, instances []*instance, want ...string) {
	t.Helper()
	for _, i := range instances {
		if got := i.servers(); !slices.Equal(got, want) {
			t.Errorf("%s uses %v instead of %v", i.id, got, want)
		}
	}
}

// TestEvacuationAndReturnReachAllInstances guards against an instance that goes on sending to
// an evacuated data centre because only the reader of the store learns of it, or that uses a
// data centre that returned before it was told to count its servers as cold.
func TestEvacuationAndReturnReachAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, instances := twoCentres(t, 4)
		one := reader(t, instances)
		var mu sync.Mutex
		returned := make(map[string][]string)
		for _, i := range instances {
			i.directory.OnReturned = func(dataCentre string, servers []directory.Server) {
				mu.Lock()
				defer mu.Unlock()
				for _, server := range servers {
					returned[i.id] = append(returned[i.id], dataCentre+"/"+server.ID)
				}
				expectServers(t, []*instance{i}, "a")
			}
		}
		before := make(map[*instance]int)
		for _, i := range instances {
			before[i] = i.access.callCount()
		}
		s.setEvacuated("b", true)
		time.Sleep(evacuationLimit)
		expectServers(t, instances, "a")
		s.setEvacuated("b", false)
		time.Sleep(evacuationLimit)
		expectServers(t, instances, "a", "b")
		g := gomega.NewWithT(t)
		for _, i := range instances {
			g.Expect(returned[i.id]).To(gomega.Equal([]string{"b/b"}))
			if i != one {
				g.Expect(i.access.callCount()-before[i]).To(gomega.BeNumerically("<=", 1), "only one instance reads")
			}
		}
	})
}

// TestEvacuationBesideTableThatIsNotDecoded guards against an evacuation that is lost because
// the table, in the same read, can't be decoded.
func TestEvacuationBesideTableThatIsNotDecoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, instances := twoCentres(t, 3)
		for _, i := range instances {
			i.access.mu.Lock()
			i.access.undecodable = true
			i.access.mu.Unlock()
		}
		s.setTable(2)
		s.setEvacuated("b", true)
		time.Sleep(evacuationLimit)
		expectServers(t, instances, "a")
		s.setEvacuated("b", false)
		time.Sleep(evacuationLimit)
		expectServers(t, instances, "a", "b")
	})
}

// TestEvacuationIsKnownWhenTheReaderDiesBeforeItSends guards against an evacuation that only
// a reader knew that died: the next reader has to find the row, although it changed before.
func TestEvacuationIsKnownWhenTheReaderDiesBeforeItSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, instances := twoCentres(t, 4)
		one := reader(t, instances)
		read := make(chan struct{})
		one.access.afterChange = sync.OnceFunc(func() {
			one.conn.Cut(true)
			one.stop()
			close(read)
		})
		s.setEvacuated("b", true)
		<-read
		time.Sleep(propagationLimit)
		expectServers(t, slices.DeleteFunc(instances, func(i *instance) bool { return i == one }), "a")
	})
}

// TestEvacuationIsKnownAlthoughResponsesAreLost guards against a reader that holds a long poll
// again after it has waited in vain for the response to one. The limit is that of the operators.
func TestEvacuationIsKnownAlthoughResponsesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 5 * time.Second
		s, instances := twoCentres(t, 4)
		reader(t, instances).access.losses = 2
		s.setEvacuated("b", true)
		time.Sleep(limit)
		expectServers(t, instances, "a")
	})
}

// TestStoppedProcessLearnsOfEvacuationBeforeItSends guards against a process that sends to a
// data centre by what it knew before it was stopped. The process is stopped by ending its
// goroutines, its datagrams are lost, and it uses the same state when it goes on.
func TestStoppedProcessLearnsOfEvacuationBeforeItSends(t *testing.T) {
	for _, c := range []struct {
		name        string
		storeFails  bool
		rejects     int
		wantServers []string
	}{
		{"store readable", false, 0, []string{"a"}},
		{"store rejects a call", false, 1, []string{"a"}},
		// Peers tell it then; here it is alone.
		{"store unreadable", true, 0, []string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s, instances := twoCentres(t, 2)
				stopped := instances[0]
				stopped.stop()
				<-stopped.done
				s.setEvacuated("b", true)
				time.Sleep(maxPause + time.Second)
				stopped.access.setDown(c.storeFails)
				stopped.access.rejects = c.rejects
				// The usual reads would hide one that is missing after the stop.
				stopped.feed.readNotBefore = time.Now().Add(time.Hour)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var wg sync.WaitGroup
				defer wg.Wait()
				defer cancel()
				wg.Go(func() { _ = stopped.feed.Run(ctx) })
				began := time.Now()
				g.Expect(stopped.feed.Current()).To(gomega.BeFalse())
				stopped.feed.AwaitCurrent(ctx)
				g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", maxHold))
				expectServers(t, []*instance{stopped}, c.wantServers...)
				synctest.Wait()
				g.Expect(stopped.feed.Current()).To(gomega.BeTrue())
			})
		})
	}
}

// TestRestoredStoreDecidesOnEvacuations guards against instances that go on with a request to
// evacuate that the restored store does not have, or don't see that it has one again.
func TestRestoredStoreDecidesOnEvacuations(t *testing.T) {
	for _, c := range []struct {
		name           string
		copied, before bool
		want           []string
	}{
		{"row missing in the copy", false, true, []string{"a", "b"}},
		{"row back in the copy", true, false, []string{"a"}},
		{"row also in the copy", true, true, []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, instances := twoCentres(t, 3)
				s.setEvacuated("b", c.copied)
				time.Sleep(evacuationLimit)
				copied := s.copy()
				s.setEvacuated("b", c.before)
				time.Sleep(evacuationLimit)
				s.restore(copied)
				time.Sleep(propagationLimit)
				expectServers(t, instances, c.want...)
				// Later changes count in the new era too.
				s.setEvacuated("b", true)
				time.Sleep(evacuationLimit)
				expectServers(t, instances, "a")
				s.setEvacuated("b", false)
				time.Sleep(evacuationLimit)
				expectServers(t, instances, "a", "b")
			})
		})
	}
}

// TestInstanceWithOlderEvacuationsLearns guards against an instance that was cut off from its
// peers and the store and keeps the older set, or brings it back to the others.
func TestInstanceWithOlderEvacuationsLearns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, instances := twoCentres(t, 4)
		s.setEvacuated("a", true)
		time.Sleep(evacuationLimit)
		one := reader(t, instances)
		at := slices.IndexFunc(instances, func(i *instance) bool { return i != one })
		cut, others := instances[at], slices.Delete(slices.Clone(instances), at, at+1)
		cut.conn.Cut(true)
		cut.access.setDown(true)
		s.setEvacuated("b", true)
		s.setEvacuated("a", false)
		time.Sleep(5 * time.Second)
		expectServers(t, others, "a")
		expectServers(t, []*instance{cut}, "b")
		cut.conn.Cut(false)
		for range 10 {
			time.Sleep(evacuationLimit / 10)
			expectServers(t, others, "a")
		}
		expectServers(t, []*instance{cut}, "a")
	})
}

// TestNewProcessWaitsForEvacuations guards against a new process that takes the first state of
// a peer for complete which does not know the evacuated data centres itself.
func TestNewProcessWaitsForEvacuations(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newUnconnected()
	servers := encodeChanges([]directory.Change{{Server: serverIn("b", "b").Server, Version: 1}})
	f.ReceiveState("peer", &gossippb.State{Version: 1, Servers: servers})
	g.Expect(f.opts.Directory.Synced()).To(gomega.BeTrue())
	g.Expect(f.opts.Directory.EvacuationsKnown()).To(gomega.BeFalse())
	behind := f.ReceiveFreshness("peer", gossip.Freshness{ServersVersion: 1, At: time.Now()})
	g.Expect(behind).To(gomega.BeTrue(), "a peer may know that nothing is evacuated")
	f.ReceiveState("peer", &gossippb.State{Base: 1, Version: 1, Evacuations: &gossippb.Evacuations{}})
	g.Expect(f.opts.Directory.EvacuationsKnown()).To(gomega.BeTrue())
	behind = f.ReceiveFreshness("peer", gossip.Freshness{ServersVersion: 1, At: time.Now()})
	g.Expect(behind).To(gomega.BeFalse())
}

// TestNewProcessReadsEvacuationsItself guards against a new process that waits for good because
// its peer reads the servers, but could not read the operator's rows. Either of the two would
// be the first reader.
func TestNewProcessReadsEvacuationsItself(t *testing.T) {
	for n := range 2 {
		synctest.Test(t, func(t *testing.T) {
			s := newStore()
			s.put(serverIn("a", "a"))
			s.setEvacuated("b", true)
			network := gossiptest.NewNetwork()
			newcomer, member := newInstance(t, network, s, n)
			other, otherMember := newInstance(t, network, s, 1-n)
			other.access.noDesired = true
			for _, i := range []*instance{newcomer, other} {
				// The table is known, so that it is no reason to read.
				i.current.Swap(table.Compile(table.Document{Version: 1}))
			}
			other.exchange.Add(member)
			other.start(t)
			time.Sleep(propagationLimit)
			newcomer.exchange.Add(otherMember)
			newcomer.start(t)
			time.Sleep(propagationLimit)
			gomega.NewWithT(t).Expect(newcomer.directory.Evacuated("b")).To(gomega.BeTrue())
			gomega.NewWithT(t).Expect(other.directory.Evacuated("b")).To(gomega.BeTrue())
		})
	}
}

func newUnconnected() *Feed {
	return New(Options{Directory: directory.New(), Current: table.NewCurrent(), Logger: slog.New(slog.DiscardHandler)})
}

// TestVersionsOfEvacuations guards against a set that goes back to an older one, and against
// instances whose sets differ for good, when two readers and a peer learn of changes in
// different orders. Each step is a read of the store or the set of a peer.
func TestVersionsOfEvacuations(t *testing.T) {
	row := func(version uint64, inForce bool) map[string]Evacuation {
		return map[string]Evacuation{"b": {InForce: inForce, Version: version}}
	}
	peer := func(version uint64, dataCentres ...string) func(*Feed) {
		return func(f *Feed) {
			f.receiveEvacuations("peer", &gossippb.Evacuations{Version: version, DataCentres: dataCentres})
		}
	}
	read := func(version uint64, complete bool, rows map[string]Evacuation) func(*Feed) {
		return func(f *Feed) {
			f.applyEvacuations(Desired{Evacuations: rows, Complete: complete}, version, time.Now())
		}
	}
	for _, c := range []struct {
		name        string
		steps       []func(*Feed)
		want        []string
		wantVersion uint64
	}{
		{"first read is empty", []func(*Feed){read(10, true, nil)}, nil, 0},
		{"first read has the version of its row", []func(*Feed){read(10, true, row(4, true))}, []string{"b"}, 4},
		{"peer is newer", []func(*Feed){read(10, true, nil), peer(12, "b")}, []string{"b"}, 12},
		{"peer is older than the own read", []func(*Feed){read(10, true, nil), peer(7, "b")}, nil, 10},
		{"peer is older but agrees", []func(*Feed){read(10, true, nil), peer(7)}, nil, 7},
		{"peer goes back", []func(*Feed){peer(12, "b"), peer(11)}, []string{"b"}, 12},
		{"peer of an earlier era", []func(*Feed){peer(directory.MakeVersion(1, 3), "b"), peer(12)}, []string{"b"}, directory.MakeVersion(1, 3)},
		{"delayed read", []func(*Feed){peer(12, "b"), read(11, true, nil)}, []string{"b"}, 12},
		{"read of a change that a peer's set includes", []func(*Feed){read(10, true, nil), peer(14), read(15, false, row(12, true))}, nil, 14},
		{"read of changes that a peer's set includes in part", []func(*Feed){
			read(10, true, nil), peer(14),
			read(16, false, map[string]Evacuation{"b": {InForce: true, Version: 12}, "c": {InForce: true, Version: 15}}),
		}, []string{"c"}, 15},
		{"complete read finds the row missing", []func(*Feed){peer(12, "b"), read(20, true, nil)}, nil, 20},
		{"second reader learns of the removal later", []func(*Feed){peer(12, "b"), read(20, true, nil), peer(18)}, nil, 20},
		{"unknown set does not change in part", []func(*Feed){read(12, false, row(12, true))}, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newUnconnected()
			network := gossiptest.NewNetwork()
			i, _ := newInstance(t, network, newStore(), 0)
			f.opts.Exchange = i.exchange
			i.exchange.Follow(f)
			for _, step := range c.steps {
				step(f)
			}
			centres, version, _ := f.opts.Directory.Evacuations()
			g.Expect(centres).To(gomega.BeEquivalentTo(c.want))
			g.Expect(version).To(gomega.Equal(c.wantVersion))
		})
	}
}

// TestNewReaderDoesNotChangeTheVersion guards against a process that starts, reads the same set
// as the others know at a newer version of the store, and makes all of them request its state.
func TestNewReaderDoesNotChangeTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newStore()
		s.put(serverIn("a", "a"))
		s.setTable(1)
		s.setEvacuated("b", true)
		network := gossiptest.NewNetwork()
		newcomer, member := newInstance(t, network, s, 3)
		instances := fleetOn(t, network, s, 3)
		time.Sleep(propagationLimit)
		s.setEvacuated("b", false)
		time.Sleep(evacuationLimit)
		_, before, _ := instances[0].directory.Evacuations()
		s.setTable(2)
		time.Sleep(propagationLimit)
		for _, i := range instances {
			i.exchange.Add(member)
		}
		newcomer.start(t)
		time.Sleep(propagationLimit)
		for _, i := range append(instances, newcomer) {
			centres, version, known := i.directory.Evacuations()
			g.Expect(known).To(gomega.BeTrue())
			g.Expect(centres).To(gomega.BeEmpty())
			g.Expect(version).To(gomega.Equal(before), i.id)
		}
		g.Expect(newcomer.access.callCount()).To(gomega.BeNumerically(">", 0), "the newcomer has to have read the store itself")
	})
}
