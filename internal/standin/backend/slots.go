package backend

import (
	"context"
	"sync"
)

// Counts are the counters and gauges of a server since its start or the last
// reset.
type Counts struct {
	Server string `json:"server"`
	Slots  int    `json:"slots"`
	// Arrivals is the number of work requests received.
	Arrivals uint64 `json:"arrivals"`
	// Executions is the number of requests that started to run.
	Executions uint64 `json:"executions"`
	Finished   uint64 `json:"finished"`
	// OverLimit is the number of requests that found every slot in use.
	OverLimit uint64 `json:"over_limit"`
	// Shed and RefusedDraining are the requests refused without running, for
	// lack of a free slot and because the server was draining.
	Shed            uint64 `json:"shed"`
	RefusedDraining uint64 `json:"refused_draining"`
	// Failed is the number of requests that an injected fault failed with
	// status 500.
	Failed uint64 `json:"failed"`
	// Cancelled and Expired are the requests that ended early while running.
	Cancelled uint64 `json:"cancelled"`
	Expired   uint64 `json:"expired"`
	// LeftQueue is the number of requests that were cancelled or expired before
	// they got a slot.
	LeftQueue uint64 `json:"left_queue"`
	// Probes is the number of requests for /health and /load.
	Probes uint64 `json:"probes"`
	// Running, Queued and Connections are current values; the Max fields are
	// their maxima.
	Running        int `json:"running"`
	Queued         int `json:"queued"`
	MaxQueued      int `json:"max_queued"`
	Connections    int `json:"connections"`
	MaxConnections int `json:"max_connections"`
	// ConnectionsOpened were accepted. ConnectionsRefused were closed
	// immediately because they exceeded the limit.
	ConnectionsOpened  uint64 `json:"connections_opened"`
	ConnectionsRefused uint64 `json:"connections_refused"`
}

// slots grants a fixed number of slots in arrival order and holds the counts.
type slots struct {
	mu      sync.Mutex
	waiters []chan struct{}
	counts  Counts
}

func newSlots(server string, limit int) *slots {
	return &slots{counts: Counts{Server: server, Slots: limit}}
}

// count updates the counts under the lock.
func (s *slots) count(change func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

func (s *slots) snapshot() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// reset sets all counts to zero except for the current values, at which the
// maxima start again.
func (s *slots) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	s.counts = Counts{
		Server: c.Server, Slots: c.Slots,
		Running: c.Running, Queued: c.Queued, MaxQueued: c.Queued,
		Connections: c.Connections, MaxConnections: c.Connections,
	}
}

// acquire waits for a slot. It returns false if shed is set and no slot is
// free, or if ctx ends before a slot is granted.
func (s *slots) acquire(ctx context.Context, shed bool) bool {
	s.mu.Lock()
	if s.counts.Running < s.counts.Slots {
		s.counts.Running++
		s.mu.Unlock()
		return true
	}
	s.counts.OverLimit++
	if shed {
		s.counts.Shed++
		s.mu.Unlock()
		return false
	}
	granted := make(chan struct{})
	s.waiters = append(s.waiters, granted)
	s.counts.Queued++
	s.counts.MaxQueued = max(s.counts.MaxQueued, s.counts.Queued)
	s.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		return s.cancelWait(granted)
	}
}

// cancelWait removes a waiter. It returns true if the slot has been granted in
// the meantime.
func (s *slots) cancelWait(granted chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, waiter := range s.waiters {
		if waiter == granted {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			s.counts.Queued--
			s.counts.LeftQueue++
			return false
		}
	}
	return true
}

// release frees a slot or grants it to the first waiter.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) == 0 {
		s.counts.Running--
		return
	}
	granted := s.waiters[0]
	s.waiters = s.waiters[1:]
	s.counts.Queued--
	close(granted)
}
