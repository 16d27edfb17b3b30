package forward

import (
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/placement"
)

// candidateSet holds servers with their assessments at one moment, in the same
// order.
type candidateSet struct {
	servers  []directory.Server
	assessed []placement.Assessment
}

// assess rates the servers by their present state.
func (q *queue) assess(servers []directory.Server, now time.Time) candidateSet {
	inputs := make([]placement.Candidate, len(servers))
	for i, server := range servers {
		inputs[i] = q.candidate(server, now)
	}
	return candidateSet{servers: servers, assessed: placement.Assess(inputs)}
}

func (q *queue) candidate(server directory.Server, now time.Time) placement.Candidate {
	opts := q.f.opts
	load := opts.Board.Load(server.ID, now)
	return placement.Candidate{
		Load:   load,
		Slots:  server.Slots,
		Remote: server.DataCentre != opts.DataCentre,
		Cold:   now.Before(server.WarmUntil),
		Quiet:  load.Quiet(now),

		Unconnected: !opts.Pool.Idle(server.Address),
	}
}

// reassess updates the assessment of a server after a request was sent to it.
func (q *queue) reassess(c candidateSet, server directory.Server, now time.Time) {
	for i := range c.servers {
		if c.servers[i].ID == server.ID {
			c.assessed[i] = placement.Assess([]placement.Candidate{q.candidate(server, now)})[0]
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
	var rest candidateSet
	for i, server := range c.servers {
		if !slices.Contains(tried, server.ID) {
			rest.servers = append(rest.servers, server)
			rest.assessed = append(rest.assessed, c.assessed[i])
		}
	}
	return rest
}
