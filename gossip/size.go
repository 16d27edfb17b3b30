package gossip

import (
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/gossip/gossippb"
)

// fleetSize holds the numbers of instances that relays report. It is safe for concurrent
// use.
type fleetSize struct {
	mu sync.Mutex
	// fleet is the largest reported number of all instances, at the time of that report.
	fleet   int
	fleetAt time.Time
	// centres holds the numbers of the other large data centres.
	centres map[string]int
}

// record records the number in a datagram, if there is one. Smaller numbers of all instances
// count only after removeAfter, since a relay that has just started knows few instances.
func (s *fleetSize) record(msg *gossippb.Datagram, now time.Time) {
	known := int(msg.GetKnown())
	if known == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch msg.GetScope() {
	case gossippb.Scope_SCOPE_FLEET:
		if known >= s.fleet || now.Sub(s.fleetAt) > removeAfter {
			s.fleet, s.fleetAt = known, now
		}
	case gossippb.Scope_SCOPE_DATA_CENTRE:
		if s.centres == nil {
			s.centres = make(map[string]int)
		}
		s.centres[msg.GetDataCentre()] = known
	}
}

// total returns the largest number known: that of the fleet, or the sum of the data centres,
// the own one counted by this instance.
func (s *fleetSize) total(own string, countIn func(dataCentre string) int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := countIn(own) + 1
	for centre, known := range s.centres {
		if centre != own {
			sum += known
		}
	}
	return max(s.fleet, sum)
}
