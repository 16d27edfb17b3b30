package admission

import (
	"sync"
	"time"
)

// backlogLife is how long what another instance told of its waiting requests is
// believed; several times the interval at which it tells.
const backlogLife = 800 * time.Millisecond

// Backlog is the number of requests for a service that wait at one instance.
type Backlog struct {
	Service string
	Counts
}

type told struct {
	Counts
	at time.Time
}

// Backlogs holds the waiting requests of all instances. It is safe for
// concurrent use.
type Backlogs struct {
	mu     sync.Mutex
	own    map[string]Counts
	others map[string]map[string]told
}

// NewBacklogs returns empty backlogs.
func NewBacklogs() *Backlogs {
	return &Backlogs{own: make(map[string]Counts), others: make(map[string]map[string]told)}
}

// Set records how many requests for the service wait at this instance.
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

// Receive takes in all backlogs of another instance.
func (b *Backlogs) Receive(from string, backlogs []Backlog, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(backlogs) == 0 {
		delete(b.others, from)
		return
	}
	services := make(map[string]told, len(backlogs))
	for _, backlog := range backlogs {
		services[backlog.Service] = told{Counts: backlog.Counts, at: now}
	}
	b.others[from] = services
}

// Others returns how many requests for the service wait at other instances.
func (b *Backlogs) Others(service string, now time.Time) Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	var total Counts
	for _, services := range b.others {
		if t, ok := services[service]; ok && now.Sub(t.at) <= backlogLife {
			total.InTime += t.InTime
			total.Late += t.Late
		}
	}
	return total
}
