package backend

import (
	"context"
	"sync"
)

// Counts are what a backend server counts since its start or the last reset.
type Counts struct {
	Server string `json:"server"`
	Slots  int    `json:"slots"`
	// Arrivals are the requests for work.
	Arrivals uint64 `json:"arrivals"`
	// Executions are the requests that started to run.
	Executions uint64 `json:"executions"`
	Finished   uint64 `json:"finished"`
	// OverLimit are the requests that found every slot in use.
	OverLimit uint64 `json:"over_limit"`
	// Shed and RefusedDraining were refused without running.
	Shed            uint64 `json:"shed"`
	RefusedDraining uint64 `json:"refused_draining"`
	// Failed answered 500 by fault.
	Failed uint64 `json:"failed"`
	// Cancelled and Expired ended early while running.
	Cancelled uint64 `json:"cancelled"`
	Expired   uint64 `json:"expired"`
	// LeftQueue were given up before they ran.
	LeftQueue uint64 `json:"left_queue"`
	// Probes are the requests for /health and /load.
	Probes uint64 `json:"probes"`
	// Running, Queued and Connections are present values; the Max fields
	// are the highest ones.
	Running        int `json:"running"`
	Queued         int `json:"queued"`
	MaxQueued      int `json:"max_queued"`
	Connections    int `json:"connections"`
	MaxConnections int `json:"max_connections"`
	// ConnectionsOpened were accepted and ConnectionsRefused were closed at
	// once for being past the limit.
	ConnectionsOpened  uint64 `json:"connections_opened"`
	ConnectionsRefused uint64 `json:"connections_refused"`
}

// slots hands out a fixed number of slots in arrival order and counts.
type slots struct {
	mu      sync.Mutex
	waiters []chan struct{}
	counts  Counts
}

func newSlots(server string, limit int) *slots {
	return &slots{counts: Counts{Server: server, Slots: limit}}
}

// count changes the counts.
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

// reset zeroes all counts but the present values.
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
// free, or if ctx ends first.
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
	turn := make(chan struct{})
	s.waiters = append(s.waiters, turn)
	s.counts.Queued++
	s.counts.MaxQueued = max(s.counts.MaxQueued, s.counts.Queued)
	s.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		return s.leave(turn)
	}
}

// leave gives up waiting; it returns true if the slot was granted meanwhile.
func (s *slots) leave(turn chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, waiter := range s.waiters {
		if waiter == turn {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			s.counts.Queued--
			s.counts.LeftQueue++
			return false
		}
	}
	return true
}

// release frees a slot or passes it on to the first waiter.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) == 0 {
		s.counts.Running--
		return
	}
	turn := s.waiters[0]
	s.waiters = s.waiters[1:]
	s.counts.Queued--
	close(turn)
}
