package gossip

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/gossip/gossippb"
	"github.com/pomelolock/pomelolock/readings"
)

// follower is a [Follower] whose view has only a version.
type follower struct {
	mu       sync.Mutex
	version  uint64
	received []*gossippb.State
	departed []string
	// tableAsOf is the proof of the table, encoded the number of states that were made.
	tableAsOf time.Duration
	encoded   int
}

func (f *follower) Freshness() Freshness {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Freshness{ServersVersion: f.version, At: time.Now(), TableAsOf: f.tableAsOf}
}

func (f *follower) ReceiveFreshness(_ string, theirs Freshness) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return theirs.ServersVersion > f.version
}

func (f *follower) Wanted() (serversVersion, tableVersion uint64) {
	return f.Freshness().ServersVersion, 0
}

func (f *follower) ReceiveDeparture(_, server string, born int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.departed = append(f.departed, fmt.Sprint(server, "@", born))
}

func (f *follower) ReceiveState(_ string, state *gossippb.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, state)
	f.version = max(f.version, state.GetVersion())
}

func (f *follower) State(version, _ uint64) *gossippb.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version >= f.version {
		return nil
	}
	f.encoded++
	state := &gossippb.State{Base: version, Version: f.version}
	for i := range 400 {
		state.Servers = append(state.Servers, &gossippb.Server{Id: fmt.Sprintf("server-%d-%d", i, time.Now().UnixNano()), Version: f.version})
	}
	return state
}

type node struct {
	conn     *net.UDPConn
	exchange *Exchange
	follower *follower
	board    *readings.Board
	backlogs *admission.Backlogs
	member   Member
}

// fleet starts instances on loopback, one per given data centre, that know each
// other's addresses.
func fleet(t *testing.T, centres ...string) []*node {
	t.Helper()
	return fleetWithRelays(t, 0, centres...)
}

// fleetWithRelays is like fleet, but the first instances have relay capacity.
func fleetWithRelays(t *testing.T, relays int, centres ...string) []*node {
	t.Helper()
	var nodes []*node
	for i, centre := range centres {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		var capacity uint32
		if i < relays {
			capacity = 800
		}
		n := &node{
			conn:     conn,
			follower: &follower{}, board: readings.NewBoard(), backlogs: admission.NewBacklogs(),
			member: Member{ID: fmt.Sprint("entry-", i), DataCentre: centre, Address: netip.MustParseAddrPort(conn.LocalAddr().String())},
		}
		n.exchange, err = New(Options{
			Conn: conn, Address: n.member.Address, ID: n.member.ID, DataCentre: centre,
			Board: n.board, Backlogs: n.backlogs, RelayCapacity: capacity, Logger: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		n.exchange.Follow(n.follower)
		nodes = append(nodes, n)
	}
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	for _, n := range nodes {
		for _, other := range nodes {
			n.exchange.Add(other.member)
		}
		wg.Go(func() { _ = n.exchange.Run(t.Context()) })
	}
	return nodes
}

func TestReadingsReachAllDataCentres(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := fleet(t, "a", "a", "b", "b", "b")
	for _, n := range nodes {
		g.Eventually(func() int { return len(n.exchange.Alive("")) }).WithTimeout(5 * time.Second).Should(gomega.Equal(len(nodes)))
	}
	nodes[0].board.Observe(readings.Reading{
		Server: readings.KeyOf("s"), HasReport: true, At: time.Now(), Report: readings.Report{Running: 2, Slots: 6, SlowdownPercent: 400},
	})
	nodes[0].board.Result("s", true, time.Now())
	nodes[0].backlogs.Set("orders", admission.Counts{InTime: 4})
	for _, n := range nodes[1:] {
		g.Eventually(func() int { return n.board.Load("s", time.Now()).SlowdownPercent }).WithTimeout(5 * time.Second).Should(gomega.Equal(400))
		g.Eventually(func() float64 { return n.board.Load("s", time.Now()).FailureRate }).WithTimeout(5 * time.Second).Should(gomega.BeNumerically(">", 0))
		g.Eventually(func() int { return n.backlogs.Others("orders", time.Now()).InTime }).WithTimeout(5 * time.Second).Should(gomega.Equal(4))
	}
}

func TestDeparturesReachAllDataCentres(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := fleet(t, "a", "a", "b", "b")
	for _, n := range nodes {
		g.Eventually(func() int { return len(n.exchange.Alive("")) }).WithTimeout(5 * time.Second).Should(gomega.Equal(len(nodes)))
	}
	nodes[0].exchange.ShareDeparture("s", 7)
	for _, n := range nodes[1:] {
		g.Eventually(func() []string {
			n.follower.mu.Lock()
			defer n.follower.mu.Unlock()
			return n.follower.departed
		}).WithTimeout(5 * time.Second).Should(gomega.ContainElement("s@7"))
	}
}

func TestOutdatedInstanceRequestsState(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := fleet(t, "a", "b")
	nodes[0].follower.mu.Lock()
	nodes[0].follower.version = 9
	nodes[0].follower.mu.Unlock()
	g.Eventually(func() uint64 { return nodes[1].follower.Freshness().ServersVersion }).WithTimeout(5 * time.Second).Should(gomega.Equal(uint64(9)))
	g.Expect(nodes[1].follower.received[0].GetServers()).To(gomega.HaveLen(400), "in several chunks")
}

func TestLeavingInstanceIsNotAlive(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := fleet(t, "a", "a")
	g.Eventually(func() []string { return nodes[0].exchange.Alive("") }).WithTimeout(5 * time.Second).Should(gomega.HaveLen(2))
	nodes[1].exchange.Leave()
	g.Eventually(func() []string { return nodes[0].exchange.Alive("") }).WithTimeout(5 * time.Second).Should(gomega.Equal([]string{"entry-0"}))
	g.Expect(nodes[1].exchange.Alive("")).To(gomega.Equal([]string{"entry-0"}))
}

func TestDatagramOfAnEarlierProcessIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	m := members{byID: make(map[string]*member)}
	now := time.Now()
	g.Expect(m.recordDatagram(presence{Member: Member{ID: "a"}, started: 2}, now)).To(gomega.BeTrue())
	g.Expect(m.recordDatagram(presence{Member: Member{ID: "a"}, started: 1}, now)).To(gomega.BeFalse())
	later := now.Add(2 * aliveTimeout)
	g.Expect(m.recordDatagram(presence{Member: Member{ID: "a"}, started: 1}, later)).To(gomega.BeTrue(), "the wall clock was set back before a restart")
}

func nobody(presence) bool { return false }

func TestSilentInstanceIsRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	m := members{byID: make(map[string]*member)}
	now := time.Now()
	m.add(Member{ID: "never-heard"})
	m.recordDatagram(presence{Member: Member{ID: "gone"}, started: 1}, now)
	m.silent(now.Add(removeAfter/2), nobody)
	g.Expect(m.byID).To(gomega.HaveLen(2))
	m.silent(now.Add(2*removeAfter), nobody)
	g.Expect(m.byID).To(gomega.BeEmpty())
	g.Expect(m.takeRemoved()).NotTo(gomega.BeEmpty())
	g.Expect(m.takeRemoved()).To(gomega.BeEmpty())
}

func TestRemoteTargetsAreTheRelaysOfALargeDataCentre(t *testing.T) {
	g := gomega.NewWithT(t)
	m := members{byID: make(map[string]*member)}
	now := time.Now()
	hear := func(count int) {
		for i := range count {
			address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))
			m.recordDatagram(presence{Member: Member{ID: fmt.Sprint(i), DataCentre: "b", Address: address}, started: 1, relayCapacity: uint32(i + 1)}, now)
		}
	}
	hear(4)
	g.Expect(m.remoteTargets("b", now)).To(gomega.HaveLen(4))
	hear(maxAtBaseInterval)
	strongest := m.byID[fmt.Sprint(maxAtBaseInterval-1)].Address
	g.Expect(m.remoteTargets("b", now)).To(gomega.HaveLen(maxRelays))
	g.Expect(m.remoteTargets("b", now)).To(gomega.ContainElement(strongest))
	g.Expect(m.remoteTargets("b", now.Add(aliveTimeout*2))).To(gomega.BeEmpty())
}

// TestLargeDataCentreUsesRelays checks that readings of one instance in a data centre
// of 45 reach all others while it sends only a few datagrams, and that they still do
// after one of the relays has crashed.
func TestLargeDataCentreUsesRelays(t *testing.T) {
	g := gomega.NewWithT(t)
	const size, relays = 45, 2
	centres := make([]string, size+1)
	for i := range size {
		centres[i] = "a"
	}
	centres[size] = "b"
	nodes := fleetWithRelays(t, relays, centres...)
	sender := nodes[size-1]
	// Each instance knows those of its data centre and the relays of the other one.
	for _, n := range nodes[:size] {
		g.Eventually(func() int { return len(n.exchange.Alive("a")) }, 5*time.Second, baseInterval).Should(gomega.Equal(size))
		g.Expect(n.exchange.Known()).To(gomega.Equal(size + 1))
	}
	g.Eventually(func() []string { return nodes[size].exchange.Alive("a") }, 5*time.Second, baseInterval).Should(gomega.ContainElements("entry-0", "entry-1"))
	g.Eventually(func() int { return len(sender.exchange.currentView(time.Now()).relays) }, time.Second, baseInterval).Should(gomega.Equal(relays))

	report := func(running int) {
		sender.board.Observe(readings.Reading{Server: readings.KeyOf("s"), Report: readings.Report{Running: running}, At: time.Now(), HasReport: true})
	}
	knownTo := func(nodes []*node, running int) func() bool {
		return func() bool {
			for _, n := range nodes {
				if n.board.Load("s", time.Now()).Running != running {
					return false
				}
			}
			return true
		}
	}
	began, sent := time.Now(), sender.exchange.Sent.Load()
	for running := range 10 {
		report(running + 1)
		g.Eventually(knownTo(nodes, running+1), time.Second, time.Millisecond).Should(gomega.BeTrue())
	}
	// To one relay in each interval, and to the other instance that could be one.
	maxSent := 2 * (time.Since(began)/sendInterval(size, true) + 2)
	g.Expect(sender.exchange.Sent.Load() - sent).To(gomega.BeNumerically("<=", maxSent))

	g.Expect(nodes[0].conn.Close()).To(gomega.Succeed())
	// Half of the datagrams go to the crashed relay until it no longer counts as alive.
	for running := range 10 {
		g.Eventually(func() bool {
			report(100 + running)
			return knownTo(nodes[1:], 100+running)()
		}, largeAliveTimeout/2, baseInterval).Should(gomega.BeTrue())
	}
}

// TestCollectedReadingKeepsItsAge checks that a reading that a relay passes on never becomes
// newer, and that the newer of two readings is passed on.
func TestCollectedReadingKeepsItsAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		age := func(name string) time.Time {
			return now.Add(-time.Duration(rapid.IntRange(0, int(3*time.Second)).Draw(t, name)))
		}
		draw := func(name string) readings.Reading {
			return readings.Reading{
				Server: readings.KeyOf("s"), HasReport: true, At: age(name), Health: readings.HealthGood, HealthAt: age(name + " check"),
				Report: readings.Report{Running: rapid.IntRange(0, 300).Draw(t, "running"), Slots: 6, SlowdownPercent: 100},
			}
		}
		first, second := draw("first"), draw("second")
		pending := newPendingUpdates()
		for _, r := range []readings.Reading{first, second} {
			if err := unpackReadings(appendReading(nil, r, now), now, pending.addReceived); err != nil {
				t.Fatal(err)
			}
		}
		got := pending.readings[first.Server]
		newest, newestCheck := latest(first.At, second.At), latest(first.HealthAt, second.HealthAt)
		for _, times := range [][2]time.Time{{got.At, newest}, {got.HealthAt, newestCheck}} {
			if times[0].After(times[1]) || times[1].Sub(times[0]) > 2*time.Millisecond {
				t.Fatalf("passed on with an age of %v, was %v", now.Sub(times[0]), now.Sub(times[1]))
			}
		}
	})
}

func TestInvalidPackedReadingsAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	var packed *PackedError
	g.Expect(unpackReadings(make([]byte, readingBytes+1), time.Now(), func(readings.Reading) {})).To(gomega.BeAssignableToTypeOf(packed))
	g.Expect(unpackResults(make([]byte, resultsBytes-1), func(readings.Results) {})).To(gomega.BeAssignableToTypeOf(packed))
}

// TestOwnResultsCountOnce checks that the results of an instance don't count again when a
// relay returns them with those of the others.
func TestOwnResultsCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	key := readings.KeyOf("s")
	var own ownResults
	own.add([]readings.Results{{Server: key, Good: 2, Failed: 3}}, now)
	g.Expect(own.subtract(readings.Results{Server: key, Good: 6, Failed: 4}, now)).To(gomega.Equal(readings.Results{Server: key, Good: 4, Failed: 1}))
	g.Expect(own.subtract(readings.Results{Server: key, Failed: 4}, now)).To(gomega.Equal(readings.Results{Server: key, Failed: 4}))
	own.add([]readings.Results{{Server: key, Good: 2}}, now)
	later := now.Add(3 * ownResultsTTL)
	own.turn(now.Add(2 * ownResultsTTL))
	g.Expect(own.subtract(readings.Results{Server: key, Good: 2}, later)).To(gomega.Equal(readings.Results{Server: key, Good: 2}))
}

// FuzzDatagram checks that no datagram makes an instance fail.
func FuzzDatagram(f *testing.F) {
	roster, err := encodeRoster([]presence{{Member: Member{ID: "x", DataCentre: "a", Address: netip.MustParseAddrPort("127.0.0.1:9")}}}, true)
	if err != nil {
		f.Fatal(err)
	}
	address, err := netip.MustParseAddrPort("127.0.0.1:9").MarshalBinary()
	if err != nil {
		f.Fatal(err)
	}
	seed, err := proto.Marshal(&gossippb.Datagram{
		Instance: "x", DataCentre: "a", Address: address, Roster: roster, Hello: true, PassOn: true,
		Readings: make([]byte, readingBytes), Results: make([]byte, resultsBytes), Freshness: &gossippb.Freshness{},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = conn.Close() })
	e, err := New(Options{
		Conn: conn, Address: netip.MustParseAddrPort(conn.LocalAddr().String()), ID: "self", DataCentre: "a",
		Board: readings.NewBoard(), Backlogs: admission.NewBacklogs(), RelayCapacity: 1, Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		f.Fatal(err)
	}
	e.Follow(&follower{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		msg := &gossippb.Datagram{}
		if proto.Unmarshal(data, msg) == nil {
			e.receive(msg, netip.AddrPort{}, time.Now())
		}
	})
}

// TestChunksInAnyOrder reassembles a state whose chunks arrive in any order.
func TestChunksInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := &gossippb.State{Table: rapid.SliceOfN(rapid.Byte(), 1, 9000).Draw(t, "table")}
		parts, err := split(state)
		if err != nil {
			t.Fatal(err)
		}
		var order []int
		for i := range parts {
			order = append(order, i)
		}
		var a assembler
		var got *gossippb.State
		for _, i := range rapid.Permutation(order).Draw(t, "order") {
			chunk := &gossippb.Chunk{Transfer: 1, Index: uint32(i), Count: uint32(len(parts)), Data: parts[i]}
			if got, err = a.add("x", chunk); err != nil {
				t.Fatal(err)
			}
		}
		if string(got.GetTable()) != string(state.GetTable()) {
			t.Fatal("state differs")
		}
	})
}

func TestInvalidChunkIsRejected(t *testing.T) {
	var a assembler
	for _, chunk := range []*gossippb.Chunk{{}, {Index: 2, Count: 2}, {Count: maxChunks + 1}} {
		_, err := a.add("x", chunk)
		gomega.NewWithT(t).Expect(err).To(gomega.BeAssignableToTypeOf(&ChunkError{}))
	}
}

func TestSendIntervalGrowsWithTheFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, relayed := range []bool{false, true} {
		g.Expect(sendInterval(1, relayed)).To(gomega.Equal(baseInterval))
		g.Expect(sendInterval(maxAtBaseInterval, relayed)).To(gomega.Equal(baseInterval))
		g.Expect(sendInterval(1000, relayed)).To(gomega.Equal(maxInterval))
	}
	g.Expect(sendInterval(43, false)).To(gomega.BeNumerically("~", 95*time.Millisecond, 5*time.Millisecond))
	g.Expect(sendInterval(40, true)).To(gomega.Equal(2 * baseInterval))
}

// TestStateIsEncodedOnceAcrossProofs guards against a state that is encoded again for each
// instance that wants it, because the proof of the table was renewed in between.
func TestStateIsEncodedOnceAcrossProofs(t *testing.T) {
	g := gomega.NewWithT(t)
	n := fleet(t, "a")[0]
	n.follower.mu.Lock()
	n.follower.version = 5
	n.follower.mu.Unlock()
	for asOf := range 3 {
		n.follower.mu.Lock()
		n.follower.tableAsOf = time.Duration(asOf) * time.Second
		n.follower.mu.Unlock()
		n.exchange.sendState(&gossippb.Want{}, n.member.Address)
	}
	n.follower.mu.Lock()
	defer n.follower.mu.Unlock()
	g.Expect(n.follower.encoded).To(gomega.Equal(1))
}

// TestProofIsSentRoundedDown guards against a proof that gets newer when it is passed on, and
// against bytes for it if there is none.
func TestProofIsSentRoundedDown(t *testing.T) {
	g := gomega.NewWithT(t)
	n := fleet(t, "a")[0]
	g.Expect(n.exchange.updateDatagram(time.Now()).GetFreshness().GetTableAsOfMs()).To(gomega.BeZero())
	n.follower.mu.Lock()
	n.follower.tableAsOf = 7*time.Millisecond + 999*time.Microsecond
	n.follower.mu.Unlock()
	g.Expect(n.exchange.updateDatagram(time.Now()).GetFreshness().GetTableAsOfMs()).To(gomega.Equal(uint64(7)))
}
