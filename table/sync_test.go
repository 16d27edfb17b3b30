package table_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/platform"
	"github.com/pomelolock/pomelolock/platform/memory"
	"github.com/pomelolock/pomelolock/table"
)

const inForceLimit = 14 * time.Second

// listView shows a fixed list of instances.
type listView struct {
	self string
	ids  []string
}

func (v listView) Self() platform.Instance { return platform.Instance{ID: v.self} }

func (v listView) Entries() []platform.Instance {
	var entries []platform.Instance
	for _, id := range v.ids {
		entries = append(entries, platform.Instance{ID: id})
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

// fleet runs instances on one platform and one network.
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

func (f *fleet) cutAll(cut bool) {
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

func TestAcceptedTableIsInForceEverywhere(t *testing.T) {
	cases := []struct {
		name   string
		cut    bool
		within time.Duration
	}{
		{"by offers of peers", false, 100 * time.Millisecond},
		{"by polling alone", true, inForceLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(18)
				f.startAll()
				defer f.stopAll()
				f.cutAll(c.cut)
				time.Sleep(time.Minute)
				_, err := f.nodes[f.ids[0]].sync.Accept(t.Context(), parsed(t), table.Acceptance{ID: "a"})
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(c.within)
				g.Expect(f.versions()).To(HaveEach(uint64(1)))
			})
		})
	}
}

func TestOfferThatWasNeverAcceptedStaysOutOfForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(4)
		_, err := f.store().Accept(t.Context(), parsed(t), 0, "alena", "")
		g.Expect(err).NotTo(HaveOccurred())
		f.startAll()
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		// One instance accepts at a store of another fleet by mistake.
		other := memory.New()
		wrong := f.nodes[f.ids[3]]
		wrong.stop()
		wrongStore := table.NewStore(other, other)
		for base := range uint64(3) {
			_, err = wrongStore.Accept(t.Context(), weighted(parsed(t), 9), base, "bo", "")
			g.Expect(err).NotTo(HaveOccurred())
		}
		good := f.mem
		f.mem = other
		f.start(f.ids[3])
		f.mem = good
		time.Sleep(time.Minute)
		g.Expect(f.versions()).To(Equal([]uint64{1, 1, 1, 3}))
		for _, id := range f.ids[:3] {
			g.Expect(f.nodes[id].sync.Ready()).To(Succeed())
		}
	})
}

func TestInstanceStartedInOutageTakesTheHighestOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(4)
		first, err := f.store().Accept(t.Context(), parsed(t), 0, "alena", "")
		g.Expect(err).NotTo(HaveOccurred())
		f.start(f.ids[0])
		f.start(f.ids[1])
		defer f.stopAll()
		time.Sleep(time.Second)
		f.cutAll(true)
		_, err = f.nodes[f.ids[1]].sync.Accept(t.Context(), weighted(first, 3), table.Acceptance{ID: "b", Base: 1})
		g.Expect(err).NotTo(HaveOccurred())
		f.mem.SetFaults(memory.Faults{Down: true})
		newcomer := f.start(f.ids[2])
		time.Sleep(time.Minute)
		g.Expect(newcomer.sync.Ready()).NotTo(Succeed(), "cut off and without a store")
		f.net.SetCut(f.ids[2], f.ids[0], false)
		f.net.SetCut(f.ids[2], f.ids[1], false)
		time.Sleep(time.Second)
		g.Expect(newcomer.version()).To(Equal(uint64(2)))
		g.Expect(newcomer.sync.Ready()).To(Succeed())
	})
}

func TestNewInstanceIsNotReadyWithAStaleVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(4)
		first, err := f.store().Accept(t.Context(), parsed(t), 0, "alena", "")
		g.Expect(err).NotTo(HaveOccurred())
		f.start(f.ids[0])
		f.start(f.ids[1])
		defer f.stopAll()
		_, err = f.nodes[f.ids[0]].sync.Accept(t.Context(), weighted(first, 3), table.Acceptance{ID: "b", Base: 1})
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		f.mem.SetFaults(memory.Faults{StaleReads: 1 << 20})
		newcomer := f.start(f.ids[2])
		for range 20000 {
			if newcomer.sync.Ready() == nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		g.Expect(newcomer.sync.Ready()).To(Succeed())
		g.Expect(newcomer.version()).To(Equal(uint64(2)))
	})
}

// TestVersionsNeverGoBack drives a fleet through acceptances, cuts, outages,
// stale reads and restarts.
func TestVersionsNeverGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := parsed(t)
		rapid.Check(bubbleTB{t}, func(t *rapid.T) {
			m := &syncModel{fleet: newFleet(4), doc: doc, seen: make(map[*node]uint64)}
			m.fleet.startAll()
			defer m.fleet.stopAll()
			t.Repeat(map[string]func(*rapid.T){
				"accept":  m.accept,
				"cut":     m.cut,
				"store":   m.store,
				"restart": m.restart,
				"wait":    m.wait,
				"":        m.check,
			})
			m.settle(t)
		})
	})
}

type syncModel struct {
	fleet *fleet
	doc   table.Document
	// accepted is the highest version that an accept answered with.
	accepted uint64
	seen     map[*node]uint64
}

func (m *syncModel) draw(t *rapid.T, label string) string {
	return rapid.SampledFrom(m.fleet.ids).Draw(t, label)
}

func (m *syncModel) accept(t *rapid.T) {
	n := m.fleet.nodes[m.draw(t, "at")]
	by := table.Acceptance{ID: table.NewAcceptanceID(), Base: n.version()}
	accepted, err := n.sync.Accept(t.Context(), m.doc, by)
	if err == nil {
		m.accepted = max(m.accepted, accepted.Ref.Version)
	}
}

func (m *syncModel) cut(t *rapid.T) {
	a, b := m.draw(t, "a"), m.draw(t, "b")
	if a != b {
		m.fleet.net.SetCut(a, b, rapid.Bool().Draw(t, "cut"))
	}
}

func (m *syncModel) store(t *rapid.T) {
	m.fleet.mem.SetFaults(memory.Faults{
		Down:        rapid.Bool().Draw(t, "down"),
		StaleReads:  rapid.SampledFrom([]int{0, 3, 1000}).Draw(t, "stale"),
		LoseAnswers: rapid.IntRange(0, 2).Draw(t, "lose"),
		DropWrites:  rapid.IntRange(0, 2).Draw(t, "drop"),
		Delay:       rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond, 3 * time.Second}).Draw(t, "delay"),
	})
}

func (m *syncModel) restart(t *rapid.T) {
	id := m.draw(t, "restart")
	m.fleet.nodes[id].stop()
	m.fleet.start(id)
}

func (m *syncModel) wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
}

func (m *syncModel) check(t *rapid.T) {
	for id, n := range m.fleet.nodes {
		version := n.version()
		if version < m.seen[n] {
			t.Fatalf("%s went back from version %d to %d", id, m.seen[n], version)
		}
		m.seen[n] = version
	}
}

// settle heals everything and expects every instance in force and ready.
func (m *syncModel) settle(t *rapid.T) {
	m.fleet.mem.SetFaults(memory.Faults{})
	m.fleet.cutAll(false)
	time.Sleep(inForceLimit)
	m.check(t)
	head, err := m.fleet.store().Load(t.Context())
	if err != nil || head.Version < m.accepted {
		t.Fatalf("store has version %d, accepted %d: %v", head.Version, m.accepted, err)
	}
	for id, n := range m.fleet.nodes {
		if n.version() != head.Version {
			t.Fatalf("%s has version %d in force, accepted is %d", id, n.version(), head.Version)
		}
		if err := n.sync.Ready(); head.Version > 0 && err != nil {
			t.Fatalf("%s: %v", id, err)
		}
	}
}
