package gossip_test

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/gossip"
	"github.com/pomelolock/pomelolock/gossip/gossippb"
	"github.com/pomelolock/pomelolock/gossip/gossiptest"
	"github.com/pomelolock/pomelolock/readings"
)

// view is a [gossip.Follower] with a version of the servers and no content.
type view struct {
	mu       sync.Mutex
	version  uint64
	departed int
}

func (v *view) Freshness() gossip.Freshness {
	v.mu.Lock()
	defer v.mu.Unlock()
	return gossip.Freshness{ServersVersion: v.version, At: time.Now()}
}

func (v *view) ReceiveFreshness(_ string, theirs gossip.Freshness) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return theirs.ServersVersion > v.version
}

func (v *view) Wanted() (servers, table uint64) { return v.Freshness().ServersVersion, 0 }

func (v *view) ReceiveDeparture(string, string, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.departed++
}

func (v *view) ReceiveState(_ string, state *gossippb.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.version = max(v.version, state.GetVersion())
}

func (v *view) State(version, _ uint64) *gossippb.State {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version >= v.version {
		return nil
	}
	return &gossippb.State{Base: version, Version: v.version, Table: make([]byte, 4000)}
}

func (v *view) set(version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.version = version
}

type peer struct {
	*gossip.Exchange
	conn     *gossiptest.Conn
	board    *readings.Board
	backlogs *admission.Backlogs
	view     *view
}

// startFleet starts instances that know only the address of the first one: as many in data
// centre a as the first number says, in b as the second one. The last three of each have a
// greater capacity.
func startFleet(t *testing.T, network *gossiptest.Network, sizes ...int) [][]*peer {
	t.Helper()
	var seed netip.AddrPort
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	var fleet [][]*peer
	for centre, size := range sizes {
		var peers []*peer
		for i := range size {
			conn := network.Listen()
			if !seed.IsValid() {
				seed = conn.Address()
			}
			p := &peer{conn: conn, board: readings.NewBoard(), backlogs: admission.NewBacklogs(), view: &view{version: 1}}
			capacity := uint32(160)
			if i >= size-3 {
				capacity = 800
			}
			var err error
			p.Exchange, err = gossip.New(gossip.Options{
				Conn: conn, Address: conn.Address(), ID: fmt.Sprintf("entry-%c-%d", 'a'+centre, i), DataCentre: string(rune('a' + centre)),
				Board: p.board, Backlogs: p.backlogs, RelayCapacity: capacity,
				Seeds:  func() []netip.AddrPort { return []netip.AddrPort{seed} },
				Logger: slog.New(slog.DiscardHandler),
			})
			if err != nil {
				t.Fatal(err)
			}
			p.Follow(p.view)
			wg.Go(func() { _ = p.Run(t.Context()) })
			peers = append(peers, p)
		}
		fleet = append(fleet, peers)
	}
	return fleet
}

// TestLargeFleetFormsFromOneSeed starts two large data centres that know one address, and
// checks that all agree on the relays, know how many they are, learn of backlogs, departures,
// limits, cold servers and changes in the other data centre, and send little.
func TestLargeFleetFormsFromOneSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fleet := startFleet(t, gossiptest.NewNetwork(), 45, 30)
		time.Sleep(4 * time.Second)
		for _, peers := range fleet {
			for _, p := range peers {
				g.Expect(p.Relays()).To(gomega.ConsistOf(fleetIDs(peers[len(peers)-3:])))
				g.Expect(p.Alive(string(fleetIDs(peers)[0][6]))).To(gomega.ConsistOf(fleetIDs(peers)))
				g.Expect(p.Known()).To(gomega.Equal(75))
				g.Expect(p.Readers()).To(gomega.HaveLen(6))
			}
		}
		first, last := fleet[0][0], fleet[1][0]
		first.backlogs.Set("orders", admission.Counts{InTime: 4})
		last.backlogs.Set("orders", admission.Counts{InTime: 3, Late: 2})
		fleet[0][44].view.set(2)
		fleet[0][44].SendStateAll(fleet[0][44].view.State(1, 0))
		g.Expect(fleet[0][44].Readers()).To(gomega.HaveLen(6))
		g.Expect(first.MessageTargets()).To(gomega.ConsistOf(append(fleetIDs(fleet[0][42:]), fleetIDs(fleet[1][27:])...)))
		g.Expect(fleet[0][44].MessageTargets()).To(gomega.HaveLen(44 + 3))
		last.SetCutOff(true)
		first.ShareDeparture("s", 7)
		limit := readings.Limit{Named: true, PerSecond: 2.3}
		first.ShareLimit("limited", limit, time.Now())
		warmUp := readings.WarmUp{PerSecond: 5.3, For: time.Minute}
		first.ShareCold(readings.ColdHint{Server: "cold", At: time.Now(), Until: time.Now().Add(time.Minute)})
		sent := first.Sent.Load()
		time.Sleep(2 * time.Second)
		g.Expect(first.Sent.Load()-sent).To(gomega.BeNumerically("<", 2*time.Second/(45*30*time.Millisecond/20*7/10)+10), "datagrams of an instance that is no relay")
		for i, peers := range fleet {
			for _, p := range peers {
				g.Expect(p.Serving(string(rune('a' + i)))).To(gomega.HaveLen(len(serving(peers, p, last))))
				own := p.backlogs.Own()
				want := admission.Counts{InTime: 7, Late: 2}
				if len(own) > 0 {
					want = admission.Counts{InTime: 7 - own[0].InTime, Late: 2 - own[0].Late}
				}
				g.Expect(p.backlogs.Others("orders", time.Now())).To(gomega.Equal(want))
				g.Expect(p.view.Freshness().ServersVersion).To(gomega.Equal(uint64(2)))
				if p != first {
					g.Expect(p.board.Load("limited", time.Now()).Limit).To(gomega.Equal(limit))
					g.Expect(p.board.LoadWarming("cold", warmUp, time.Now()).Cold).To(gomega.BeTrue())
					g.Expect(p.view.departed).To(gomega.BeNumerically(">", 0))
				}
			}
		}
	})
}

// TestRelayThatIsCutOffHearsLessBeforeOthersGiveItUp guards against an allocator of caps that goes on
// granting for its side of a cut as for the whole fleet, while the others have a new one.
func TestRelayThatIsCutOffHearsLessBeforeOthersGiveItUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fleet := startFleet(t, gossiptest.NewNetwork(), 45, 30)
		time.Sleep(4 * time.Second)
		relay, other := fleet[0][44], fleet[0][43]
		g.Expect(relay.HeardShare()).To(gomega.BeNumerically(">", 0.95))
		relay.conn.Cut(true)
		for slices.Contains(other.StrongRelays(), relay.ID()) {
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(relay.HeardShare()).To(gomega.BeNumerically("<", 0.6))
	})
}

// serving returns the peers without the given ones.
func serving(peers []*peer, except ...*peer) []*peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p *peer) bool { return slices.Contains(except, p) })
}

func fleetIDs(peers []*peer) []string {
	var list []string
	for _, p := range peers {
		list = append(list, p.ID())
	}
	return list
}

// TestBytesAnInstanceReceivesDontGrowWithTheFleet compares fleets of two sizes with the same
// servers, each of which is observed ten times a second.
func TestBytesAnInstanceReceivesDontGrowWithTheFleet(t *testing.T) {
	received := func(size int) (bytes uint64) {
		synctest.Test(t, func(t *testing.T) {
			fleet := startFleet(t, gossiptest.NewNetwork(), size, size)
			time.Sleep(4 * time.Second)
			before := fleet[0][0].ReceivedBytes.Load()
			for range 50 {
				for s := range 60 {
					peers := fleet[s%2]
					peers[s%len(peers)].board.Observe(readings.Reading{
						Server: readings.KeyOf(fmt.Sprint("server-", s)), HasReport: true, At: time.Now(), Report: readings.Report{Slots: 6},
					})
				}
				time.Sleep(100 * time.Millisecond)
			}
			bytes = fleet[0][0].ReceivedBytes.Load() - before
		})
		return bytes
	}
	small, large := received(25), received(75)
	t.Logf("bytes in 5 s: %d of 50 instances, %d of 150", small, large)
	gomega.NewWithT(t).Expect(large).To(gomega.BeNumerically("<", small*5/4))
}
