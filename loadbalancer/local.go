package loadbalancer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/table"
)

const (
	// failurePenalty is how long a server is avoided after a failure, as long
	// as other servers are usable.
	failurePenalty = time.Second
	// reportWeight is the weight of a server's reported in-flight requests
	// relative to those counted locally.
	reportWeight = 0.5
)

// ExcludeFunc reports whether a backend server is excluded: true means that it must
// not be chosen.
type ExcludeFunc func(server table.Server) bool

// serverState is the local state of one backend server.
type serverState struct {
	inFlight         int
	reportedInFlight int
	penaltyEnd       time.Time
	draining         bool
}

// localBalancer is the common part of the local policies.
type localBalancer struct {
	current  *table.Current
	excluded ExcludeFunc

	mu      sync.Mutex
	servers map[string]*serverState
}

func newLocal(current *table.Current, excluded ExcludeFunc) *localBalancer {
	return &localBalancer{current: current, excluded: excluded, servers: make(map[string]*serverState)}
}

// candidates returns the usable servers for the request. Servers under a penalty
// are returned only if there are no others.
func (l *localBalancer) candidates(req Request, now time.Time) []table.Server {
	snapshot := l.current.Load()
	if snapshot == nil {
		return nil
	}
	var preferred, penalised []table.Server
	for _, server := range snapshot.Servers(req.Service) {
		if !l.usable(server, req.Exclude) {
			continue
		}
		if l.state(server.Name).penaltyEnd.After(now) {
			penalised = append(penalised, server)
			continue
		}
		preferred = append(preferred, server)
	}
	if len(preferred) == 0 {
		return penalised
	}
	return preferred
}

func (l *localBalancer) usable(server table.Server, exclude []string) bool {
	if server.State == table.ServerDraining || server.Weight == 0 {
		return false
	}
	if l.state(server.Name).draining || slices.Contains(exclude, server.Name) {
		return false
	}
	return l.excluded == nil || !l.excluded(server)
}

func (l *localBalancer) state(name string) *serverState {
	s := l.servers[name]
	if s == nil {
		s = &serverState{}
		l.servers[name] = s
	}
	return s
}

func (l *localBalancer) acquire(ctx context.Context, req Request, choose func([]table.Server) table.Server) (*Permit, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates := l.candidates(req, time.Now())
	if len(candidates) == 0 {
		return nil, &NoServerError{Service: req.Service}
	}
	server := choose(candidates)
	l.state(server.Name).inFlight++
	return NewPermit(server, func(r Result) { l.release(server.Name, r) }), nil
}

func (l *localBalancer) release(name string, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(name)
	s.inFlight--
	if result.Load != nil {
		s.reportedInFlight = result.Load.InFlight
		s.draining = result.Load.Draining
	}
	switch result.Class {
	case ClassFailed, ClassUnreachable, ClassRefused:
		s.penaltyEnd = time.Now().Add(failurePenalty)
	case ClassOK, ClassCancelled:
	}
}

// score returns the estimated load of a server relative to its weight; lower is
// better.
func (l *localBalancer) score(server table.Server) float64 {
	s := l.state(server.Name)
	load := float64(s.inFlight) + reportWeight*float64(s.reportedInFlight)
	return (load + 1) / float64(server.Weight)
}

// Random chooses among the usable backend servers with equal probability.
type Random struct{ local *localBalancer }

// NewRandom returns the policy. If excluded is nil, no server is excluded.
func NewRandom(current *table.Current, excluded ExcludeFunc) *Random {
	return &Random{local: newLocal(current, excluded)}
}

// Acquire implements [Balancer]. It never waits.
func (r *Random) Acquire(ctx context.Context, req Request) (*Permit, error) {
	return r.local.acquire(ctx, req, func(candidates []table.Server) table.Server {
		return candidates[rand.IntN(len(candidates))]
	})
}

// BestOfTwo chooses the less loaded of two random backend servers. It estimates
// their load from the instance's own in-flight requests and the servers' last
// load reports.
type BestOfTwo struct{ local *localBalancer }

// NewBestOfTwo returns the policy. If excluded is nil, no server is excluded.
func NewBestOfTwo(current *table.Current, excluded ExcludeFunc) *BestOfTwo {
	return &BestOfTwo{local: newLocal(current, excluded)}
}

// Acquire implements [Balancer]. It never waits.
func (b *BestOfTwo) Acquire(ctx context.Context, req Request) (*Permit, error) {
	return b.local.acquire(ctx, req, func(candidates []table.Server) table.Server {
		first := candidates[rand.IntN(len(candidates))]
		second := candidates[rand.IntN(len(candidates))]
		if b.local.score(second) < b.local.score(first) {
			return second
		}
		return first
	})
}

// ByPolicy passes each request to the balancer for its service's policy.
type ByPolicy struct {
	current   *table.Current
	balancers map[table.Policy]Balancer
}

// NewByPolicy returns a balancer that looks up each service's policy in the
// table.
func NewByPolicy(current *table.Current, balancers map[table.Policy]Balancer) *ByPolicy {
	return &ByPolicy{current: current, balancers: balancers}
}

// Acquire implements [Balancer].
func (b *ByPolicy) Acquire(ctx context.Context, req Request) (*Permit, error) {
	snapshot := b.current.Load()
	if snapshot == nil || snapshot.Service(req.Service) == nil {
		return nil, &NoServerError{Service: req.Service}
	}
	balancer := b.balancers[snapshot.Service(req.Service).Policy]
	if balancer == nil {
		return nil, &NoServerError{Service: req.Service}
	}
	return balancer.Acquire(ctx, req)
}
