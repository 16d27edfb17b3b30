package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// aliveTimeout is how long an instance counts as alive after its last
	// datagram. It spans several send intervals, since datagrams get lost.
	// largeAliveTimeout applies to large fleets, which send less often.
	aliveTimeout      = 700 * time.Millisecond
	largeAliveTimeout = 1200 * time.Millisecond
	// largeFleet is the number of other known instances from which a fleet is
	// large.
	largeFleet = 40
	// removeAfter is the time without a datagram after which an instance is
	// removed. One that returns is added again by its first datagram.
	removeAfter = 10 * time.Minute
	// silentInterval is the time between datagrams to instances that are not
	// alive.
	silentInterval = time.Second
	// maxRelays is the maximum number of relays in a data centre. With more, each
	// instance receives more bundles; with fewer, the loss of one costs more.
	maxRelays = 3
)

// Member is an instance that takes part in the exchange.
type Member struct {
	ID         string
	DataCentre string
	Address    netip.AddrPort
}

// presence is the description of an instance that each of its datagrams contains.
type presence struct {
	Member
	// started is the start time of its process in Unix nanoseconds.
	started int64
	leaving bool
	// relayCapacity is its capacity for relaying datagrams, in thousandths of a
	// core; 0 if its link is too slow.
	relayCapacity uint32
}

type member struct {
	presence
	added        time.Time
	lastReceived time.Time
	lastSent     time.Time
	// stateRequested is when state was last requested from it.
	stateRequested time.Time
}

// members holds the other instances. It is safe for concurrent use.
type members struct {
	mu   sync.Mutex
	byID map[string]*member
	// removed lists the IDs of the instances removed since the last call of
	// takeRemoved.
	removed []string
}

// takeRemoved returns the IDs of the instances that were removed since the last call.
func (m *members) takeRemoved() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	removed := m.removed
	m.removed = nil
	return removed
}

// add records an instance found in the store. The store's data is ignored once a
// datagram of the instance has been received.
func (m *members) add(found Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known := m.byID[found.ID]; known != nil {
		if known.lastReceived.IsZero() {
			known.Member = found
		}
		return
	}
	m.byID[found.ID] = &member{presence: presence{Member: found}, added: time.Now()}
}

// recordDatagram records the sender of a datagram and reports whether it is the newest
// process of its instance. Datagrams of older processes have to be ignored.
func (m *members) recordDatagram(from presence, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.byID[from.ID]
	if known == nil {
		known = &member{}
		m.byID[from.ID] = known
	}
	// The wall clock may have been set back before a restart, so an earlier start
	// time marks an old process only while the other process is alive.
	if from.started < known.started && m.aliveLocked(known, now) {
		return false
	}
	known.presence = from
	known.lastReceived = latest(known.lastReceived, now)
	return true
}

// localRelays returns the relays in the data centre of this instance, which own
// describes: the live instances with the greatest relay capacity that are not leaving.
// own is a candidate if it has relay capacity.
func (m *members) localRelays(own presence, now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []presence
	for _, known := range m.byID {
		if known.DataCentre == own.DataCentre && known.relayCapacity > 0 && !known.leaving && m.aliveLocked(known, now) {
			candidates = append(candidates, known.presence)
		}
	}
	if own.relayCapacity > 0 {
		candidates = append(candidates, own)
	}
	slices.SortFunc(candidates, func(a, b presence) int {
		return cmp.Or(cmp.Compare(b.relayCapacity, a.relayCapacity), cmp.Compare(a.ID, b.ID))
	})
	relays := make([]Member, 0, maxRelays)
	for _, known := range candidates[:min(len(candidates), maxRelays)] {
		relays = append(relays, known.Member)
	}
	return relays
}

// alive returns the sorted IDs of the live instances in a data centre that are not
// leaving. An empty dataCentre selects all data centres.
func (m *members) alive(dataCentre string, now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for id, known := range m.byID {
		if known.leaving || !m.aliveLocked(known, now) {
			continue
		}
		if dataCentre == "" || known.DataCentre == dataCentre {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// liveAddresses returns the addresses of the live instances of a data centre.
func (m *members) liveAddresses(dataCentre string, now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []netip.AddrPort
	for _, known := range m.byID {
		if known.DataCentre == dataCentre && m.aliveLocked(known, now) {
			addresses = append(addresses, known.Address)
		}
	}
	return addresses
}

// remoteRelays returns the address of one instance in each data centre other than the
// given one. It selects, by turn, among the live instances that are not leaving, and
// only among those with relay capacity if there are any.
func (m *members) remoteRelays(dataCentre string, turn int, now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	byCentre := make(map[string][]string)
	able := make(map[string]bool)
	for id, known := range m.byID {
		if known.DataCentre == dataCentre || known.leaving || !m.aliveLocked(known, now) {
			continue
		}
		switch centre := known.DataCentre; {
		case known.relayCapacity > 0 && !able[centre]:
			able[centre] = true
			byCentre[centre] = []string{id}
		case known.relayCapacity > 0 || !able[centre]:
			byCentre[centre] = append(byCentre[centre], id)
		}
	}
	var addresses []netip.AddrPort
	for _, ids := range byCentre {
		sort.Strings(ids)
		addresses = append(addresses, m.byID[ids[turn%len(ids)]].Address)
	}
	return addresses
}

// silent returns the addresses of the instances that are not alive and to which
// nothing was sent within silentInterval. It also removes the instances from which
// nothing was received for removeAfter.
func (m *members) silent(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []netip.AddrPort
	for id, known := range m.byID {
		if now.Sub(latest(known.lastReceived, known.added)) > removeAfter {
			delete(m.byID, id)
			m.removed = append(m.removed, id)
			continue
		}
		if !m.aliveLocked(known, now) && now.Sub(known.lastSent) >= silentInterval {
			known.lastSent = now
			addresses = append(addresses, known.Address)
		}
	}
	return addresses
}

// aliveLocked reports whether a datagram of the instance arrived recently.
func (m *members) aliveLocked(known *member, now time.Time) bool {
	timeout := aliveTimeout
	if len(m.byID) >= largeFleet {
		timeout = largeAliveTimeout
	}
	return now.Sub(known.lastReceived) <= timeout
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *members) countAlive(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	alive := 0
	for _, known := range m.byID {
		if m.aliveLocked(known, now) {
			alive++
		}
	}
	return alive
}

// address returns the address at which the instance receives datagrams.
func (m *members) address(id string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.byID[id]
	if known == nil {
		return netip.AddrPort{}, false
	}
	return known.Address, true
}

// mayRequestState reports whether state may be requested from the instance again, and
// records the request.
func (m *members) mayRequestState(id string, now time.Time, interval time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.byID[id]
	if known == nil || now.Sub(known.stateRequested) < interval {
		return false
	}
	known.stateRequested = now
	return true
}

func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byID)
}
