package feed

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/gossip"
	"github.com/pomelolock/pomelolock/gossip/gossiptest"
	"github.com/pomelolock/pomelolock/storeclock"
	"github.com/pomelolock/pomelolock/table"
)

const (
	revoke = 5 * time.Second
	// serveWithin is the age of the proof up to which keyed requests are served.
	serveWithin = 4900 * time.Millisecond
)

// bootClock is the clock of one machine. It differs from the others' by an offset and jumps
// when the machine is suspended.
type bootClock struct {
	mu     sync.Mutex
	began  time.Time
	offset time.Duration
}

func (b *bootClock) now() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.began) + b.offset
}

func (b *bootClock) jump(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.offset += d
}

// provingFleet starts instances in one data centre that need a proof of the table.
func provingFleet(t *testing.T, network *gossiptest.Network, s *store, count int) []*instance {
	t.Helper()
	return provingFleetIn(t, network, s, count, 1)
}

func provingFleetIn(t *testing.T, network *gossiptest.Network, s *store, count, dataCentres int) []*instance {
	t.Helper()
	var instances []*instance
	var members []gossip.Member
	for n := range count {
		i, m := newInstanceIn(t, network, s, n, fmt.Sprint("dc-", n%dataCentres))
		i.prove(n)
		instances, members = append(instances, i), append(members, m)
	}
	for _, i := range instances {
		for _, m := range members {
			i.exchange.Add(m)
		}
		i.start(t)
	}
	return instances
}

func (i *instance) prove(n int) *bootClock {
	clock := &bootClock{began: time.Now(), offset: time.Duration(n+1) * time.Hour}
	i.proof, i.revokeWithin = storeclock.New(clock.now), revoke
	return clock
}

// serves reports whether the instance would serve a keyed request.
func (i *instance) serves() bool {
	age, ok := i.proof.Age()
	return ok && age <= serveWithin
}

// TestProofStaysYoung guards against a proof whose usual age comes near the limit, in a small
// fleet and in one with relays, and against instances that read the table when another one
// does.
func TestProofStaysYoung(t *testing.T) {
	for _, c := range []struct{ instances, dataCentres int }{{6, 1}, {103, 3}} {
		synctest.Test(t, func(t *testing.T) {
			const watched = 20 * time.Second
			g := gomega.NewWithT(t)
			s := newStore()
			s.keys = true
			s.put(server("a"))
			s.setTable(3)
			instances := provingFleetIn(t, gossiptest.NewNetwork(), s, c.instances, c.dataCentres)
			time.Sleep(5 * time.Second)
			calls := 0
			for _, i := range instances {
				calls -= i.access.callCount()
			}
			var oldest time.Duration
			for range watched / (50 * time.Millisecond) {
				time.Sleep(50 * time.Millisecond)
				for _, i := range instances {
					age, ok := i.proof.Age()
					g.Expect(ok).To(gomega.BeTrue())
					oldest = max(oldest, age)
				}
			}
			for _, i := range instances {
				calls += i.access.callCount()
			}
			t.Logf("%d instances: the oldest proof was %v old, %d calls", c.instances, oldest, calls)
			// Instances that lose the store have to go on for 0.6 of the time.
			g.Expect(oldest).To(gomega.BeNumerically("<", serveWithin-revoke*6/10))
			// One reader: 40 reads of the servers and 20 long polls of the table.
			g.Expect(calls).To(gomega.BeNumerically("<=", 66))
		})
	}
}

// TestNoInstanceServesByAnOldTable runs faults at random times: instances lose the store,
// alone or all together, and two versions follow one another at once. It guards against a
// proof of a table that was replaced longer ago than RevokeWithin, and against instances that
// stop serving although all have the store.
func TestNoInstanceServesByAnOldTable(t *testing.T) {
	for _, seed := range []uint64{3, 17, 91} {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			s := newStore()
			s.keys = true
			s.put(server("a"))
			s.setTable(1)
			instances := provingFleet(t, gossiptest.NewNetwork(), s, 5)
			time.Sleep(3 * time.Second)
			type publication struct {
				version uint64
				at      time.Time
			}
			published := []publication{{1, time.Now()}}
			publish := func() {
				next := published[len(published)-1].version + 1
				s.setTable(next)
				published = append(published, publication{next, time.Now()})
			}
			var nextChange, nextFault, allUpSince time.Time
			served, checks := 0, 0
			for end := time.Now().Add(3 * time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if now := time.Now(); now.After(nextChange) {
					nextChange = now.Add(time.Duration(rng.Int64N(int64(4 * time.Second))))
					publish()
					if rng.IntN(3) == 0 {
						publish()
					}
				}
				if now := time.Now(); now.After(nextFault) {
					nextFault = now.Add(time.Duration(rng.Int64N(int64(15 * time.Second))))
					kind := rng.IntN(4)
					allUpSince = time.Time{}
					for _, i := range instances {
						i.access.setDown(kind == 0 || kind == 1 && rng.IntN(2) == 0)
					}
					if kind >= 2 {
						allUpSince = now
					}
				}
				for _, i := range instances {
					checks++
					if !i.serves() {
						if !allUpSince.IsZero() && time.Since(allUpSince) > 4*time.Second {
							t.Errorf("seed %d: %s refuses although the store is there", seed, i.id)
						}
						continue
					}
					served++
					for _, p := range published {
						if i.tableVersion() < p.version && time.Since(p.at) > revoke {
							t.Fatalf("seed %d: %s serves by version %d, version %d was written %v ago", seed, i.id, i.tableVersion(), p.version, time.Since(p.at))
						}
					}
				}
			}
			t.Logf("seed %d: %d versions, served at %d of %d checks", seed, len(published), served, checks)
			if served < checks/2 || served == checks {
				t.Errorf("seed %d: served at %d of %d checks: the faults have no effect, or too much", seed, served, checks)
			}
		})
	}
}

// TestProofEndsWhenTheStoreIsAway guards against relayed proofs that renew each other.
func TestProofEndsWhenTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newStore()
		s.keys = true
		s.setTable(3)
		instances := provingFleet(t, gossiptest.NewNetwork(), s, 4)
		time.Sleep(3 * time.Second)
		for _, i := range instances {
			i.access.setDown(true)
		}
		time.Sleep(2 * time.Second)
		for _, i := range instances {
			g.Expect(i.serves()).To(gomega.BeTrue(), "a loss of 0.4 of the time has no effect")
		}
		// A long poll that had begun may still return.
		time.Sleep(revoke - 2*time.Second + revoke/pollShare)
		for _, i := range instances {
			g.Expect(i.serves()).To(gomega.BeFalse())
		}
		instances[2].access.setDown(false)
		time.Sleep(4 * time.Second)
		for _, i := range instances {
			g.Expect(i.serves()).To(gomega.BeTrue(), "one instance has the store")
		}
	})
}

// TestOthersReadTheTableIfTheReaderCannot makes the table unreadable for the reader, which
// still reads the servers. It guards against a fleet that relies on that reader alone.
func TestOthersReadTheTableIfTheReaderCannot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newStore()
		s.keys = true
		s.put(server("a"))
		s.setTable(3)
		instances := provingFleet(t, gossiptest.NewNetwork(), s, 6)
		time.Sleep(3 * time.Second)
		one := reader(t, instances)
		one.access.mu.Lock()
		one.access.tableDown = true
		one.access.mu.Unlock()
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			for _, i := range instances {
				g.Expect(i.serves()).To(gomega.BeTrue())
			}
		}
	})
}

// TestSlowStoreProvesTheTable guards against calls that are given up shortly before their
// responses arrive, again and again, while each response would be recent enough: at instances
// that run and at one that starts meanwhile.
func TestSlowStoreProvesTheTable(t *testing.T) {
	for _, slow := range []time.Duration{650 * time.Millisecond, 750 * time.Millisecond, time.Second} {
		t.Run(slow.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s := newStore()
				s.keys = true
				s.put(server("a"))
				s.setTable(3)
				network := gossiptest.NewNetwork()
				instances := provingFleet(t, network, s, 6)
				time.Sleep(3 * time.Second)
				for _, i := range instances {
					i.access.setSlow(slow)
				}
				late, member := newInstanceIn(t, network, s, 6, "dc-0")
				late.prove(6)
				late.access.setSlow(slow)
				for _, i := range instances {
					i.exchange.Add(member)
					late.exchange.Add(gossip.Member{ID: i.id, DataCentre: "dc-0", Address: i.conn.Address()})
				}
				late.start(t)
				for n := range 400 {
					time.Sleep(50 * time.Millisecond)
					for _, i := range instances {
						age, _ := i.proof.Age()
						g.Expect(i.serves()).To(gomega.BeTrue(), "%s at %d: %v", i.id, n, age)
					}
				}
				g.Expect(late.serves()).To(gomega.BeTrue(), "an instance that started meanwhile")
			})
		})
	}
}

// TestSuspendedMachineHasAnOldProof guards against a local clock that leaves out suspension.
func TestSuspendedMachineHasAnOldProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newStore()
		s.keys = true
		s.setTable(3)
		one, _ := newInstance(t, gossiptest.NewNetwork(), s, 0)
		clock := one.prove(0)
		one.start(t)
		time.Sleep(2 * time.Second)
		g.Expect(one.serves()).To(gomega.BeTrue())
		clock.jump(10 * time.Second)
		g.Expect(one.serves()).To(gomega.BeFalse())
		time.Sleep(3 * time.Second)
		g.Expect(one.serves()).To(gomega.BeTrue(), "the next reads prove the table")
	})
}

// TestProcessThatStartsWithoutTheStoreHasNoProof starts a process that gets the table and the
// proof of its peers but reaches no store of its own. It guards against a proof without a
// calibration.
func TestProcessThatStartsWithoutTheStoreHasNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newStore()
		s.keys = true
		s.put(server("a"))
		s.setTable(3)
		network := gossiptest.NewNetwork()
		instances := provingFleet(t, network, s, 3)
		time.Sleep(2 * time.Second)
		late, member := newInstance(t, network, s, 3)
		late.prove(3)
		late.access.setDown(true)
		for _, i := range instances {
			i.exchange.Add(member)
			late.exchange.Add(gossip.Member{ID: i.id, DataCentre: "a", Address: i.conn.Address()})
		}
		late.start(t)
		time.Sleep(10 * time.Second)
		g.Expect(late.tableVersion()).To(gomega.Equal(uint64(3)))
		_, ok := late.proof.Age()
		g.Expect(ok).To(gomega.BeFalse())
		late.access.setDown(false)
		time.Sleep(maxCalibrateDelay*3/2 + time.Second)
		g.Expect(late.serves()).To(gomega.BeTrue())
	})
}

// TestProcessesThatStartedInAnOutageServeSoonAfterIt guards against processes that refuse requests
// for seconds after the store is back, because their next calibration is that far away.
func TestProcessesThatStartedInAnOutageServeSoonAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newStore()
		s.keys = true
		s.put(server("a"))
		s.setTable(3)
		network := gossiptest.NewNetwork()
		instances := provingFleet(t, network, s, 3)
		time.Sleep(2 * time.Second)
		for _, i := range instances {
			i.access.setDown(true)
		}
		for n := range 8 {
			late, member := newInstance(t, network, s, 3+n)
			late.prove(3 + n)
			late.access.setDown(true)
			for _, i := range instances {
				i.exchange.Add(member)
				late.exchange.Add(gossip.Member{ID: i.id, DataCentre: "a", Address: i.conn.Address()})
			}
			late.start(t)
			instances = append(instances, late)
		}
		time.Sleep(20 * time.Second)
		for _, i := range instances {
			g.Expect(i.serves()).To(gomega.BeFalse())
			i.access.setDown(false)
		}
		time.Sleep(2 * time.Second)
		for _, i := range instances {
			g.Expect(i.serves()).To(gomega.BeTrue(), i.id)
		}
	})
}

// TestRestoredStoreIsCalibratedAnew restores the store from a copy, with a clock that is
// ahead of the one before by an hour. It guards against a time of the new clock that is
// converted with the offset of the old one: the table would never look old again.
func TestRestoredStoreIsCalibratedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newStore()
		s.keys = true
		s.put(server("a"))
		s.setTable(3)
		instances := provingFleet(t, gossiptest.NewNetwork(), s, 4)
		time.Sleep(3 * time.Second)
		copied := s.copy()
		s.setTable(4)
		time.Sleep(time.Second)
		s.mu.Lock()
		s.startedAt = s.startedAt.Add(-time.Hour)
		s.mu.Unlock()
		s.restore(copied)
		time.Sleep(5 * time.Second)
		for _, i := range instances {
			g.Expect(i.tableVersion()).To(gomega.Equal(uint64(4)))
			g.Expect(i.serves()).To(gomega.BeTrue())
			i.access.setDown(true)
		}
		time.Sleep(revoke + revoke/pollShare)
		for _, i := range instances {
			g.Expect(i.serves()).To(gomega.BeFalse())
		}
	})
}

// newProver returns a feed that is not running, with a table that has workspaces, and its
// clock.
func newProver(version uint64) (*Feed, *bootClock) {
	clock := &bootClock{began: time.Now(), offset: time.Hour}
	f := New(Options{
		Directory: directory.New(), Current: table.NewCurrent(), Logger: slog.New(slog.DiscardHandler),
		Proof: storeclock.New(clock.now), RevokeWithin: func() time.Duration { return revoke },
	})
	f.opts.Current.Swap(table.Compile(table.Document{Version: version, Workspaces: []table.Workspace{{Name: "bikes"}}}))
	return f, clock
}

// TestWhatPeersProve guards against a proof of a newer table than that of this instance, such
// as after two versions in quick succession, and against a datagram that waited in the
// buffer of a stopped process.
func TestWhatPeersProve(t *testing.T) {
	for name, c := range map[string]struct {
		theirs, heard uint64
		late          time.Duration
		proven        bool
	}{
		"the same table":             {theirs: 5, proven: true},
		"an older table":             {theirs: 4, proven: true},
		"a newer table":              {theirs: 6},
		"after news of a newer one":  {heard: 6, theirs: 5},
		"in the buffer for a minute": {theirs: 5, late: time.Minute, proven: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f, clock := newProver(5)
				s := newStore()
				f.opts.Proof.Calibrate(clock.now(), 0, s.now())
				if c.heard > 0 {
					f.ReceiveFreshness("c", gossip.Freshness{TableVersion: c.heard})
				}
				asOf := s.now()
				time.Sleep(c.late)
				f.ReceiveFreshness("b", gossip.Freshness{TableVersion: c.theirs, TableAsOf: asOf})
				age, ok := f.opts.Proof.Age()
				g.Expect(ok).To(gomega.Equal(c.proven))
				g.Expect(age).To(gomega.BeNumerically(">=", c.late))
				if c.proven {
					g.Expect(f.Freshness().TableAsOf).To(gomega.Equal(asOf), "passed on as it came")
				}
			})
		})
	}
}

// TestRefusedTableProvesOnlyTheOneBefore guards against a proof of a table that was replaced,
// unread, by one that was replaced by a refused one, and against a fleet that stops serving
// because an operator wrote a faulty table.
func TestRefusedTableProvesOnlyTheOneBefore(t *testing.T) {
	for name, c := range map[string]struct {
		refused uint64
		proven  bool
	}{
		"the next version":        {6, true},
		"a version was missed":    {7, false},
		"a version is unreadable": {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f, clock := newProver(5)
				now := newStore().now()
				f.recordTableRead(clock.now(), false, 9, Desired{StoreNow: now, Refused: &Refusal{Version: c.refused, Err: errors.New("fault")}})
				_, ok := f.opts.Proof.Age()
				g.Expect(ok).To(gomega.Equal(c.proven))
				time.Sleep(time.Second)
				f.recordTableRead(clock.now(), false, 9, Desired{StoreNow: now + time.Second})
				_, ok = f.opts.Proof.Age()
				g.Expect(ok).To(gomega.Equal(c.proven), "nothing has changed since")
				f.opts.Current.Swap(table.Compile(table.Document{Version: 8}))
				f.recordTableRead(clock.now(), false, 10, Desired{StoreNow: now + time.Second, Table: &table.Document{Version: 8}})
				_, ok = f.opts.Proof.Age()
				g.Expect(ok).To(gomega.BeTrue())
			})
		})
	}
}

// TestSeveralRefusedTablesProveTheOneBefore guards against a fleet that stops serving because an
// operator corrects a faulty table wrongly, and against a proof across a version that was missed.
func TestSeveralRefusedTablesProveTheOneBefore(t *testing.T) {
	for name, c := range map[string]struct {
		refused []uint64
		proven  bool
	}{
		"without a gap":     {[]uint64{6, 7, 8}, true},
		"with a gap":        {[]uint64{6, 8}, false},
		"after a gap":       {[]uint64{7, 8}, false},
		"read again":        {[]uint64{6, 7, 7}, true},
		"one is unreadable": {[]uint64{6, 0, 8}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, clock := newProver(5)
				started := newStore()
				for i, version := range c.refused {
					time.Sleep(time.Second)
					refused := &Refusal{Version: version, Err: errors.New("fault")}
					f.recordTableRead(clock.now(), false, uint64(9+i), Desired{StoreNow: started.now(), Refused: refused})
				}
				g := gomega.NewWithT(t)
				age, ok := f.opts.Proof.Age()
				g.Expect(ok && age < time.Millisecond).To(gomega.Equal(c.proven))
				f.receiveProof(gossip.Freshness{TableVersion: 5, TableAsOf: started.now()})
				age, ok = f.opts.Proof.Age()
				g.Expect(ok && age < time.Millisecond).To(gomega.BeTrue(), "a peer has read all versions")
			})
		})
	}
}

// TestNoProofWithoutNeed guards against bytes in datagrams, calls and shorter long polls for
// customers whose table has no workspaces or whose settings ask for no proof.
func TestNoProofWithoutNeed(t *testing.T) {
	for name, c := range map[string]struct {
		workspaces bool
		revoke     time.Duration
	}{
		"no workspaces": {false, revoke},
		"no setting":    {true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s := newStore()
				s.keys = c.workspaces
				s.put(server("a"))
				s.setTable(3)
				one, _ := newInstance(t, gossiptest.NewNetwork(), s, 0)
				one.prove(0)
				one.revokeWithin = c.revoke
				one.start(t)
				time.Sleep(10 * time.Second)
				g.Expect(one.feed.Freshness().TableAsOf).To(gomega.BeZero())
				g.Expect(one.feed.pollTime()).To(gomega.Equal(tablePollTime))
				// 20 reads of the servers, 5 long polls of the table and the first reads.
				g.Expect(one.access.callCount()).To(gomega.BeNumerically("<=", 27))
			})
		})
	}
}
