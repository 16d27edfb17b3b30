package admission

import (
	"maps"
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

// source is what one instance or one data centre published.
type source struct {
	backlogs   map[string]Counts
	remote     bool
	receivedAt time.Time
}

func (s source) expired(now time.Time) bool { return now.Sub(s.receivedAt) > backlogTTL }

// Backlogs holds the backlogs of all instances. It is safe for concurrent use.
type Backlogs struct {
	mu     sync.Mutex
	own    map[string]Counts
	others map[string]source
	// fleet holds the sums over all instances, including this one, if a relay
	// publishes them.
	fleet source
}

// NewBacklogs returns a Backlogs without any entries.
func NewBacklogs() *Backlogs {
	return &Backlogs{own: make(map[string]Counts), others: make(map[string]source)}
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
	return list(b.own)
}

func list(backlogs map[string]Counts) []Backlog {
	var all []Backlog
	for service, waiting := range backlogs {
		all = append(all, Backlog{Service: service, Counts: waiting})
	}
	return all
}

// Receive replaces the backlogs of another instance, or of a whole data centre. remote is set
// if it belongs to another data centre.
func (b *Backlogs) Receive(from string, remote bool, backlogs []Backlog, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(backlogs) == 0 {
		delete(b.others, from)
		return
	}
	b.others[from] = newSource(remote, backlogs, now)
}

// ReceiveFleet replaces the sums over all instances, including this one, that a relay
// published.
func (b *Backlogs) ReceiveFleet(backlogs []Backlog, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet = newSource(false, backlogs, now)
}

func newSource(remote bool, backlogs []Backlog, now time.Time) source {
	s := source{backlogs: make(map[string]Counts, len(backlogs)), remote: remote, receivedAt: now}
	for _, backlog := range backlogs {
		s.backlogs[backlog.Service] = backlog.Counts
	}
	return s
}

// Others returns the total backlog of the other instances for the service: from the sums
// over all instances, if there are any, otherwise from what each published. Backlogs older
// than backlogTTL are left out.
func (b *Backlogs) Others(service string, now time.Time) Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fleet.expired(now) {
		return b.fleet.backlogs[service].minus(b.own[service])
	}
	return b.sumLocked(true, now)[service].minus(b.own[service])
}

// Waiting reports whether requests for the service wait at any instance.
func (b *Backlogs) Waiting(service string, now time.Time) bool {
	b.mu.Lock()
	own := b.own[service]
	b.mu.Unlock()
	return own != Counts{} || b.Others(service, now) != Counts{}
}

// Fleet returns the sums over all instances.
func (b *Backlogs) Fleet(now time.Time) []Backlog {
	b.mu.Lock()
	defer b.mu.Unlock()
	return list(b.sumLocked(true, now))
}

// DataCentre returns the sums over the instances of the own data centre.
func (b *Backlogs) DataCentre(now time.Time) []Backlog {
	b.mu.Lock()
	defer b.mu.Unlock()
	return list(b.sumLocked(false, now))
}

// sumLocked returns the sums over this instance and the others by service.
func (b *Backlogs) sumLocked(remote bool, now time.Time) map[string]Counts {
	sums := maps.Clone(b.own)
	for _, s := range b.others {
		if s.expired(now) || s.remote && !remote {
			continue
		}
		for service, waiting := range s.backlogs {
			sums[service] = sums[service].plus(waiting)
		}
	}
	return sums
}
