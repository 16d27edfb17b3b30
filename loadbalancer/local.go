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
	// failurePenalty is how long a server that failed is passed over while
	// others are left.
	failurePenalty = time.Second
	// reportWeight is the weight of a server's own report against the
	// local count of requests in flight.
	reportWeight = 0.5
)

// ServerFilter reports whether a backend server must not be used.
type ServerFilter func(server table.Server) bool

// localServer is what one instance knows of a backend server by itself.
type localServer struct {
	inFlight   int
	reported   int
	penaltyEnd time.Time
	draining   bool
}

// local is the state that the policies of one instance share.
type local struct {
	current *table.Current
	leaving ServerFilter

	mu      sync.Mutex
	servers map[string]*localServer
}

func newLocal(current *table.Current, leaving ServerFilter) *local {
	return &local{current: current, leaving: leaving, servers: make(map[string]*localServer)}
}

// candidates returns the usable servers of the request, without penalised
// ones while others are left.
func (l *local) candidates(req Request, now time.Time) []table.Server {
	snapshot := l.current.Load()
	if snapshot == nil {
		return nil
	}
	var good, penalised []table.Server
	for _, server := range snapshot.Servers(req.Service) {
		if !l.usable(server, req.Exclude) {
			continue
		}
		if l.state(server.Name).penaltyEnd.After(now) {
			penalised = append(penalised, server)
			continue
		}
		good = append(good, server)
	}
	if len(good) == 0 {
		return penalised
	}
	return good
}

func (l *local) usable(server table.Server, exclude []string) bool {
	if server.State == table.ServerDraining || server.Weight == 0 {
		return false
	}
	if l.state(server.Name).draining || slices.Contains(exclude, server.Name) {
		return false
	}
	return l.leaving == nil || !l.leaving(server)
}

func (l *local) state(name string) *localServer {
	s := l.servers[name]
	if s == nil {
		s = &localServer{}
		l.servers[name] = s
	}
	return s
}

func (l *local) acquire(ctx context.Context, req Request, choose func([]table.Server) table.Server) (*Permit, error) {
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

func (l *local) release(name string, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(name)
	s.inFlight--
	if result.Load != nil {
		s.reported = result.Load.InFlight
		s.draining = result.Load.Draining
	}
	switch result.Class {
	case ClassFailed, ClassUnreachable, ClassRefused:
		s.penaltyEnd = time.Now().Add(failurePenalty)
	case ClassOK, ClassCancelled:
	}
}

// score is the estimated load of a server; lower is better.
func (l *local) score(server table.Server) float64 {
	s := l.state(server.Name)
	load := float64(s.inFlight) + reportWeight*float64(s.reported)
	return (load + 1) / float64(server.Weight)
}

// Random chooses any usable backend server with equal chance.
type Random struct{ local *local }

// NewRandom returns the policy. The filter may be nil.
func NewRandom(current *table.Current, leaving ServerFilter) *Random {
	return &Random{local: newLocal(current, leaving)}
}

// Acquire implements [Balancer]. It never waits.
func (r *Random) Acquire(ctx context.Context, req Request) (*Permit, error) {
	return r.local.acquire(ctx, req, func(candidates []table.Server) table.Server {
		return candidates[rand.IntN(len(candidates))]
	})
}

// BestOfTwo chooses the less loaded of two random backend servers, by the
// instance's own requests in flight and the servers' last load reports.
type BestOfTwo struct{ local *local }

// NewBestOfTwo returns the policy. The filter may be nil.
func NewBestOfTwo(current *table.Current, leaving ServerFilter) *BestOfTwo {
	return &BestOfTwo{local: newLocal(current, leaving)}
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

// ByPolicy sends each request to the balancer of its service's policy.
type ByPolicy struct {
	current   *table.Current
	balancers map[table.Policy]Balancer
}

// NewByPolicy returns a balancer that looks the policy up in the table.
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
