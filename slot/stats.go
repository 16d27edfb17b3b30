package slot

import (
	"sync/atomic"
	"time"
)

type counters struct {
	asks, grants, messages, bytes, unsent           atomic.Uint64
	storeReads, storeWrites, storeErrors, takeovers atomic.Uint64
}

// Stats has the counters of a [Manager] since its start and its current sizes.
type Stats struct {
	// Asks counts the lease requests sent to coordinators, including those
	// here; Grants the leases granted by coordinators here; Recalls the recalls
	// received.
	Asks    uint64
	Grants  uint64
	Recalls uint64
	// Messages and Bytes count what was sent to other instances.
	Messages uint64
	Bytes    uint64
	// Unsent counts messages that could not be sent; Messages and Bytes
	// include them.
	Unsent uint64
	// StoreReads and StoreWrites count accesses of the table service,
	// StoreErrors the jobs that failed.
	StoreReads  uint64
	StoreWrites uint64
	StoreErrors uint64
	// Takeovers counts epochs that this instance raised.
	Takeovers uint64
	// Held is the current number of leases, Busy that of those in use or still
	// reserved for a cancelled request.
	Held int
	Busy int
	// Queued is the number of requests that wait for a lease.
	Queued int
	// Coordinated is the number of groups coordinated here.
	Coordinated int
}

// Stats returns the current counters and sizes.
func (m *Manager) Stats() Stats {
	c := &m.counters
	stats := Stats{
		Asks: c.asks.Load(), Grants: c.grants.Load(), Messages: c.messages.Load(), Bytes: c.bytes.Load(),
		Unsent: c.unsent.Load(), StoreReads: c.storeReads.Load(), StoreWrites: c.storeWrites.Load(),
		StoreErrors: c.storeErrors.Load(), Takeovers: c.takeovers.Load(), Coordinated: len(m.allDrivers()),
	}
	for _, s := range m.allServices() {
		s.mu.Lock()
		stats.Queued += s.queue.size
		for _, h := range s.holders {
			stats.Held += len(h.leases)
			stats.Recalls += h.recalls
			for _, l := range h.leases {
				if l.state != leaseIdle {
					stats.Busy++
				}
			}
		}
		s.mu.Unlock()
	}
	return stats
}

// Backend is the state of one backend server as its coordinator knows it.
type Backend struct {
	Service    string
	DataCentre string
	Server     string
	// Slots is the number in the table, Leased that of granted leases, Window
	// the limit of concurrent requests that the server's results allow.
	Slots  int
	Leased int
	Window float64
	// Latency is the average over ok results; zero if there are none yet.
	Latency time.Duration
	// Usable is false for a server that takes no new requests by the table or
	// the membership view. Draining and Failing come from reported results.
	Usable   bool
	Draining bool
	Failing  bool
}

// Backends returns the servers of the groups whose coordinators run here.
func (m *Manager) Backends() []Backend {
	var backends []Backend
	for g, d := range m.allDrivers() {
		d.mu.Lock()
		for _, server := range d.c.servers {
			q := &server.quality
			backends = append(backends, Backend{
				Service: g.service, DataCentre: g.dataCentre, Server: server.name, Slots: server.slots,
				Leased: server.leased, Window: q.window, Latency: q.latency, Usable: server.usable,
				Draining: q.draining, Failing: q.failing,
			})
		}
		d.mu.Unlock()
	}
	return backends
}

// ConnLimit returns how many connections this instance may have open to the
// server: one per lease, and a share of the connections that the table allows
// beyond the server's slots. Over all instances the limits add up to at most
// the number in the table. It is 0 for an unknown server.
func (m *Manager) ConnLimit(name string) int {
	snapshot := m.opts.Current.Load()
	if snapshot == nil {
		return 0
	}
	server, ok := snapshot.Server(name)
	if !ok {
		return 0
	}
	m.mu.RLock()
	s := m.services[server.Service]
	m.mu.RUnlock()
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := 0
	for _, h := range s.holders {
		if h.group.dataCentre != server.DataCentre {
			continue
		}
		for id := range h.leases {
			if id.server() == idOfServer(name) {
				limit++
			}
		}
		if h.divisor > 0 {
			limit += max(server.Connections-server.Slots, 0) / h.divisor
		}
	}
	return limit
}
