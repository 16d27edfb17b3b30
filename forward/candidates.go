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
		Load:          load,
		Slots:         server.Slots,
		RemotePenalty: q.remotePenalty(server.DataCentre),
		Cold:          now.Before(server.WarmUntil),
		Quiet:         load.Quiet(now) || !load.Permitted,

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
	return c.filter(func(i int) bool { return !slices.Contains(tried, c.servers[i].ID) })
}

// limited returns the servers with room under the limit that they name: this instance's own
// part, which it need not share.
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
