package admission

import (
	"sync"
	"time"
)

// backlogTTL is how long the backlog published by another instance is used:
// several times the interval at which instances publish it.
const backlogTTL = 800 * time.Millisecond

// Backlog is the number of requests for a service queued at one instance.
type Backlog struct {
	Service string
	Counts
}

// peerBacklog is a backlog received from another instance.
type peerBacklog struct {
	Counts
	receivedAt time.Time
}

// Backlogs holds the backlogs of all instances. It is safe for concurrent use.
type Backlogs struct {
	mu     sync.Mutex
	own    map[string]Counts
	others map[string]map[string]peerBacklog
}

// NewBacklogs returns a Backlogs without any entries.
func NewBacklogs() *Backlogs {
	return &Backlogs{own: make(map[string]Counts), others: make(map[string]map[string]peerBacklog)}
}

// Set records the backlog of this instance for the service.
func (b *Backlogs) Set(service string, waiting Counts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if waiting == (Counts{}) {
		delete(b.own, service)
		return
	}
	b.own[service] = waiting
}

// Own returns the backlogs of this instance.
func (b *Backlogs) Own() []Backlog {
	b.mu.Lock()
	defer b.mu.Unlock()
	var own []Backlog
	for service, waiting := range b.own {
		own = append(own, Backlog{Service: service, Counts: waiting})
	}
	return own
}

// Receive replaces all backlogs of another instance.
func (b *Backlogs) Receive(from string, backlogs []Backlog, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(backlogs) == 0 {
		delete(b.others, from)
		return
	}
	services := make(map[string]peerBacklog, len(backlogs))
	for _, backlog := range backlogs {
		services[backlog.Service] = peerBacklog{Counts: backlog.Counts, receivedAt: now}
	}
	b.others[from] = services
}

// Others returns the total backlog of the other instances for the service.
// Backlogs older than backlogTTL are left out.
func (b *Backlogs) Others(service string, now time.Time) Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	var total Counts
	for _, services := range b.others {
		if p, ok := services[service]; ok && now.Sub(p.receivedAt) <= backlogTTL {
			total.InTime += p.InTime
			total.Late += p.Late
		}
	}
	return total
}
