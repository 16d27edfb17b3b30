package table_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

const activationLimit = 14 * time.Second

// listView is a membership view with a fixed list of instances.
type listView struct {
	self string
	ids  []string
}

func (v listView) Self() storage.Instance { return storage.Instance{ID: v.self} }

func (v listView) Entries() []storage.Instance {
	var entries []storage.Instance
	for _, id := range v.ids {
		entries = append(entries, storage.Instance{ID: id})
	}
	return entries
}

func (v listView) LeavingServer(string) bool { return false }

func (v listView) Changed() <-chan struct{} { return nil }

// node is one instance of the test fleet.
type node struct {
	sync    *table.Sync
	current *table.Current
	node    *peertest.Node
	stop    func()
}

func (n *node) version() uint64 {
	if snapshot := n.current.Load(); snapshot != nil {
		return snapshot.Version()
	}
	return 0
}

// fleet runs instances on a shared platform and network.
type fleet struct {
	mem   *memory.Store
	net   *peertest.Network
	ids   []string
	nodes map[string]*node
	poll  time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{mem: memory.New(), net: peertest.NewNetwork(time.Millisecond), nodes: make(map[string]*node)}
	for i := range n {
		f.ids = append(f.ids, fmt.Sprintf("entry-%02d", i))
	}
	return f
}

func (f *fleet) startAll() {
	for _, id := range f.ids {
		f.start(id)
	}
}

func (f *fleet) start(id string) *node {
	n := &node{current: table.NewCurrent(), node: f.net.Join(id)}
	n.sync = table.NewSync(table.SyncOptions{
		Store:     table.NewStore(f.mem, f.mem),
		Messenger: n.node,
		View:      listView{self: id, ids: f.ids},
		Current:   n.current,
		PollEvery: f.poll,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { n.sync.Run(ctx) })
	n.stop = func() {
		cancel()
		wg.Wait()
		f.net.Leave(id)
		delete(f.nodes, id)
	}
	f.nodes[id] = n
	return n
}

func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		n.stop()
	}
	f.net.Close()
}

func (f *fleet) setAllCut(cut bool) {
	for i, a := range f.ids {
		for _, b := range f.ids[i+1:] {
			f.net.SetCut(a, b, cut)
		}
	}
}

func (f *fleet) versions() []uint64 {
	var versions []uint64
	for _, id := range f.ids {
		if n := f.nodes[id]; n != nil {
			versions = append(versions, n.version())
		}
	}
	return versions
}

func (f *fleet) store() *table.Store { return table.NewStore(f.mem, f.mem) }

func TestAcceptedTableIsActivatedEverywhere(t *testing.T) {
	cases := []struct {
		name   string
		cut    bool
		within time.Duration
	}{
		{"by offers of peers", false, 100 * time.Millisecond},
		{"by polling alone", true, activationLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(18)
				f.startAll()
				defer f.stopAll()
				f.setAllCut(c.cut)
				time.Sleep(time.Minute)
				_, err := f.nodes[f.ids[0]].sync.Accept(t.Context(), parseSample(t), table.Acceptance{ID: "a"})
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(c.within)
				g.Expect(f.versions()).To(HaveEach(uint64(1)))
			})
		})
	}
}

// TestTableSpreadsOverFewLinksBetweenDataCentres checks that offers between peers
// reach all 84 instances in 7 data centres when the store is unavailable and
// neighbouring data centres have one link.
func TestTableSpreadsOverFewLinksBetweenDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dataCentres, size = 7, 12
		g := NewWithT(t)
		f := newFleet(dataCentres * size)
		f.startAll()
		defer f.stopAll()
		for i, a := range f.ids {
			for j, b := range f.ids[:i] {
				link := i%size == 0 && j == i-size
				f.net.SetCut(a, b, i/size != j/size && !link)
			}
		}
		time.Sleep(time.Minute)
		_, err := f.nodes[f.ids[size+5]].sync.Accept(t.Context(), parseSample(t), table.Acceptance{ID: "a"})
		g.Expect(err).NotTo(HaveOccurred())
		f.mem.SetFaults(memory.Faults{Down: true})
		time.Sleep(time.Second)
		g.Expect(f.versions()).To(HaveEach(uint64(1)))
	})
}

func TestUnacceptedOfferIsNotActivated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(4)
		_, err := f.store().Accept(t.Context(), parseSample(t), 0, "alena", "")
		g.Expect(err).NotTo(HaveOccurred())
		f.startAll()
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		// One instance uses the store of a different fleet by mistake.
		other := memory.New()
		otherNode := f.nodes[f.ids[3]]
		otherNode.stop()
		wrongStore := table.NewStore(other, other)
		for base := range uint64(3) {
			_, err = wrongStore.Accept(t.Context(), withWeight(parseSample(t), 9), base, "bo", "")
			g.Expect(err).NotTo(HaveOccurred())
		}
		original := f.mem
		f.mem = other
		f.start(f.ids[3])
		f.mem = original
		time.Sleep(30 * time.Second)
		before := f.mem.Counts().Reads
		time.Sleep(time.Minute)
		reads := f.mem.Counts().Reads - before
		g.Expect(reads).To(BeNumerically("<=", 3*60), "an unaccepted offer must not load the store")
		g.Expect(f.versions()).To(Equal([]uint64{1, 1, 1, 3}))
		for _, id := range f.ids[:3] {
			g.Expect(f.nodes[id].sync.Ready()).To(Succeed())
		}
	})
}

func TestInstanceStartedInOutageActivatesHighestPeerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(4)
		first, err := f.store().Accept(t.Context(), parseSample(t), 0, "alena", "")
		g.Expect(err).NotTo(HaveOccurred())
		f.start(f.ids[0])
		f.start(f.ids[1])
		defer f.stopAll()
		time.Sleep(time.Second)
		f.setAllCut(true)
		_, err = f.nodes[f.ids[1]].sync.Accept(t.Context(), withWeight(first, 3), table.Acceptance{ID: "b", Base: 1})
		g.Expect(err).NotTo(HaveOccurred())
		f.mem.SetFaults(memory.Faults{Down: true})
		started := f.start(f.ids[2])
		time.Sleep(time.Minute)
		g.Expect(started.sync.Ready()).NotTo(Succeed(), "no connection to peers or the store")
		f.net.SetCut(f.ids[2], f.ids[0], false)
		f.net.SetCut(f.ids[2], f.ids[1], false)
		time.Sleep(time.Second)
		g.Expect(started.version()).To(Equal(uint64(2)))
		g.Expect(started.sync.Ready()).To(Succeed())
	})
}

func TestNewInstanceIsNotReadyWithAStaleVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(4)
		first, err := f.store().Accept(t.Context(), parseSample(t), 0, "alena", "")
		g.Expect(err).NotTo(HaveOccurred())
		f.start(f.ids[0])
		f.start(f.ids[1])
		defer f.stopAll()
		_, err = f.nodes[f.ids[0]].sync.Accept(t.Context(), withWeight(first, 3), table.Acceptance{ID: "b", Base: 1})
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		f.mem.SetFaults(memory.Faults{StaleReads: 1 << 20})
		started := f.start(f.ids[2])
		for range 20000 {
			if started.sync.Ready() == nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		g.Expect(started.sync.Ready()).To(Succeed())
		g.Expect(started.version()).To(Equal(uint64(2)))
	})
}
