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
	// listedTimeout is how long an instance counts as alive after a roster has listed
	// it. It spans several rosters.
	listedTimeout = 2500 * time.Millisecond
	// maxRelays is the maximum number of relays in a data centre. With more, each
	// instance receives more datagrams; with fewer, the loss of one costs more.
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
	// cutOff is set if it reaches no backend server.
	cutOff bool
	// relayCapacity is its capacity for relaying; 0 if it can't relay.
	relayCapacity uint32
}

type member struct {
	presence
	added        time.Time
	lastReceived time.Time
	lastSent     time.Time
	// lastListed is when a roster last listed it as alive.
	lastListed time.Time
}

// members holds the other instances. It is safe for concurrent use.
type members struct {
	mu   sync.Mutex
	byID map[string]*member
	// returned counts how often an instance was heard that did not count as alive.
	returned int
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
	if !m.aliveLocked(known, now) {
		m.returned++
	}
	known.presence = from
	known.lastReceived = latest(known.lastReceived, now)
	return true
}

// relays returns the relays of a data centre: the live instances with the greatest relay
// capacity that are not leaving. own describes this instance, which is a candidate in its
// data centre.
func (m *members) relays(dataCentre string, own presence, now time.Time) []presence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []presence
	for _, known := range m.byID {
		if known.DataCentre == dataCentre && known.relayCapacity > 0 && !known.leaving && m.aliveLocked(known, now) {
			candidates = append(candidates, known.presence)
		}
	}
	if own.relayCapacity > 0 && own.DataCentre == dataCentre && !own.leaving {
		candidates = append(candidates, own)
	}
	slices.SortFunc(candidates, func(a, b presence) int {
		return cmp.Or(cmp.Compare(b.relayCapacity, a.relayCapacity), cmp.Compare(a.ID, b.ID))
	})
	return candidates[:min(len(candidates), maxRelays)]
}

// dataCentres returns the data centres of the live instances, sorted.
func (m *members) dataCentres(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, known := range m.byID {
		if m.aliveLocked(known, now) && !slices.Contains(names, known.DataCentre) {
			names = append(names, known.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}

// knownDataCentres returns the data centres of all known instances, sorted.
func (m *members) knownDataCentres() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, known := range m.byID {
		if !slices.Contains(names, known.DataCentre) {
			names = append(names, known.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}

// list records instances that a roster lists as alive. If the roster is complete, the
// other instances of the data centre are no longer listed.
func (m *members) list(listed []presence, dataCentre string, complete bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, found := range listed {
		known := m.byID[found.ID]
		if known == nil {
			known = &member{presence: found, added: now}
			m.byID[found.ID] = known
		}
		if !m.heardLocked(known, now) {
			found.started = known.started
			known.presence = found
		}
		known.lastListed = now
	}
	if !complete {
		return
	}
	for _, known := range m.byID {
		if known.DataCentre == dataCentre && known.lastListed.Before(now) {
			known.lastListed = time.Time{}
		}
	}
}

// heard returns the live instances of a data centre from which datagrams arrived, except
// those that are leaving, sorted by ID.
func (m *members) heard(dataCentre string, now time.Time) []presence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []presence
	for _, known := range m.byID {
		if known.DataCentre == dataCentre && !known.leaving && m.heardLocked(known, now) {
			found = append(found, known.presence)
		}
	}
	slices.SortFunc(found, func(a, b presence) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// countIn returns the number of known instances of a data centre; an empty dataCentre selects
// all data centres.
func (m *members) countIn(dataCentre string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, known := range m.byID {
		if dataCentre == "" || known.DataCentre == dataCentre {
			count++
		}
	}
	return count
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

// serving returns the live instances of a data centre that are not leaving and reach backend
// servers. An empty dataCentre selects all data centres.
func (m *members) serving(dataCentre string, now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []Member
	for _, known := range m.byID {
		if known.leaving || known.cutOff || !m.aliveLocked(known, now) {
			continue
		}
		if dataCentre == "" || known.DataCentre == dataCentre {
			found = append(found, known.Member)
		}
	}
	return found
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

// remoteTargets returns the addresses of the instances of another data centre that take in
// datagrams for it: its relays if it is large, otherwise all live instances that are not
// leaving. They are sorted by ID.
func (m *members) remoteTargets(dataCentre string, now time.Time) []netip.AddrPort {
	ids := m.alive(dataCentre, now)
	if len(ids) >= maxAtBaseInterval {
		ids = ids[:0]
		for _, relay := range m.relays(dataCentre, presence{}, now) {
			ids = append(ids, relay.ID)
		}
		slices.Sort(ids)
	}
	var addresses []netip.AddrPort
	for _, id := range ids {
		if address, ok := m.address(id); ok {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// silent returns the addresses of the instances that are not alive and to which
// nothing was sent within silentInterval, except those for which skip returns true. It
// also removes the instances of which nothing was heard for removeAfter.
func (m *members) silent(now time.Time, skip func(presence) bool) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []netip.AddrPort
	for id, known := range m.byID {
		if now.Sub(latest(latest(known.lastReceived, known.lastListed), known.added)) > removeAfter {
			delete(m.byID, id)
			m.removed = append(m.removed, id)
			continue
		}
		if !m.aliveLocked(known, now) && now.Sub(known.lastSent) >= silentInterval && !skip(known.presence) {
			known.lastSent = now
			addresses = append(addresses, known.Address)
		}
	}
	return addresses
}

// aliveLocked reports whether a datagram of the instance arrived recently, or a roster that
// lists it.
func (m *members) aliveLocked(known *member, now time.Time) bool {
	return m.heardLocked(known, now) || now.Sub(known.lastListed) <= listedTimeout
}

// heardLocked reports whether a datagram of the instance arrived recently.
func (m *members) heardLocked(known *member, now time.Time) bool {
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

// returns returns how often an instance was heard that did not count as alive before.
func (m *members) returns() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.returned
}

func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byID)
}
