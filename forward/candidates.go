package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/placement"
	"github.com/pomelolock/pomelolock/readings"
	"github.com/pomelolock/pomelolock/table"
)

// candidateSet holds servers with their assessments at one moment, in the same
// order.
type candidateSet struct {
	servers  []directory.Server
	assessed []placement.Assessment
}

// assess rates the servers by their present state.
func (q *queue) assess(servers []directory.Server, now time.Time) candidateSet {
	return candidateSet{servers: servers, assessed: placement.Assess(q.candidates(servers, now), q.usualState(now))}
}

func (q *queue) candidates(servers []directory.Server, now time.Time) []placement.Candidate {
	candidates := make([]placement.Candidate, len(servers))
	warmUp := q.warmUp()
	for i, server := range servers {
		candidates[i] = q.candidate(server, warmUp, now)
	}
	return candidates
}

// usualCache holds the usual state of the servers of a service for a dispatch interval. It is
// safe for concurrent use.
type usualCache struct {
	mu    sync.Mutex
	usual placement.Usual
	at    time.Time
}

// usualState returns the usual state of the servers of the service.
func (q *queue) usualState(now time.Time) placement.Usual {
	c := &q.usual
	c.mu.Lock()
	defer c.mu.Unlock()
	if since := now.Sub(c.at); since < 0 || since >= dispatchInterval {
		c.usual, c.at = placement.UsualOf(q.candidates(q.servers(), now)), now
	}
	return c.usual
}

// warmUp returns the warm-up of the service's servers; the zero value if the table has none.
func (q *queue) warmUp() readings.WarmUp {
	snapshot := q.f.opts.Current.Load()
	if snapshot == nil {
		return readings.WarmUp{}
	}
	return WarmUp(snapshot.Service(q.service), q.f.opts.WarmUp())
}

// WarmUp returns the warm-up of the servers of a service, which may be nil.
func WarmUp(service *table.Service, limits readings.WarmUpLimits) readings.WarmUp {
	if service == nil || service.WarmUpPerSecond <= 0 {
		return readings.WarmUp{}
	}
	return readings.WarmUp{
		PerSecond: service.WarmUpPerSecond, For: time.Duration(service.WarmUpMS) * time.Millisecond, Limits: limits,
	}
}

func (q *queue) candidate(server directory.Server, warmUp readings.WarmUp, now time.Time) placement.Candidate {
	opts := q.f.opts
	warmUp.Born, warmUp.Until = server.Born, server.WarmUntil
	load := opts.Board.LoadWarming(server.ID, warmUp, now)
	cold := load.Cold
	if warmUp.PerSecond <= 0 {
		cold = now.Before(server.WarmUntil)
	}
	return placement.Candidate{
		Load:          load,
		Slots:         server.Slots,
		RemotePenalty: q.remotePenalty(server.DataCentre),
		Cold:          cold,
		Quiet:         load.Quiet(now) || !load.Permitted,

		Unconnected: !opts.Pool.Idle(server.Address),
	}
}

// reassess updates the assessment of a server after a request was sent to it.
func (q *queue) reassess(c candidateSet, server directory.Server, now time.Time) {
	for i := range c.servers {
		if c.servers[i].ID == server.ID {
			c.assessed[i] = placement.Assess([]placement.Candidate{q.candidate(server, q.warmUp(), now)}, q.usualState(now))[0]
			return
		}
	}
}

// excluding returns the set without the servers that a request was already sent
// to.
func (c candidateSet) excluding(tried []string) candidateSet {
	if len(tried) == 0 {
		return c
	}
	return c.filter(func(i int) bool { return !slices.Contains(tried, c.servers[i].ID) })
}

// limited returns the servers with room under the limit that they name or the rate of their
// warm-up: this instance's own part, which it need not share.
func (c candidateSet) limited() candidateSet {
	return c.filter(func(i int) bool { return c.assessed[i].Limited && c.assessed[i].SpareCapacity > 0 })
}

// filter returns the servers at the indices for which keep returns true.
func (c candidateSet) filter(keep func(i int) bool) candidateSet {
	var rest candidateSet
	for i := range c.servers {
		if keep(i) {
			rest.servers = append(rest.servers, c.servers[i])
			rest.assessed = append(rest.assessed, c.assessed[i])
		}
	}
	return rest
}
