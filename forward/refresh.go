package forward

import (
	"context"
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/placement"
	"github.com/pomelolock/pomelolock/readings"
)

const (
	// refreshCount is the number of servers, drawn at random, that a request looks at in one
	// round.
	refreshCount = 2
	// refreshRounds is the number of rounds while none of the servers is promising.
	refreshRounds = 3
	// freshAge is the age up to which a load counts as fresh. All instances that hear of an
	// idle server send there: after 10 ms, such a server is idle less often than any other.
	freshAge = 2 * time.Millisecond
	// refreshWait bounds the time for which a request waits for fresh loads. It is some
	// round trips between data centres.
	refreshWait = 12 * time.Millisecond
	// checkBurst is the time in which the checks that an instance has not used add up.
	checkBurst = 500 * time.Millisecond
	// arrivalSmoothing is the weight of the last dispatch interval in the rate of
	// arriving requests, which is averaged over about five seconds.
	arrivalSmoothing = 0.005
)

// refresh reads the loads of a few servers that the request may be sent to, unless they are
// fresh, and of a few others if none of these is promising. It returns the IDs of the servers
// whose loads are fresh. It is for moderate load, when a request is sent at once: what
// matters then is which servers other work slows down at this moment. Under overload,
// requests wait for capacity, and the loads that responses carry suffice.
func (q *queue) refresh(ctx context.Context, w *waiter) []string {
	x := w.x
	if x.service.HealthPath == "" || !q.sendsAtOnce() {
		return nil
	}
	var fresh []string
	for range refreshRounds {
		now := time.Now()
		if len(q.promising(fresh, now).servers) > 0 {
			break
		}
		candidates := q.refreshable(append(x.tried[:len(x.tried):len(x.tried)], fresh...), now)
		var stale []readings.Target
		for _, i := range placement.Sample(candidates.assessed, refreshCount) {
			server := candidates.servers[i]
			load := q.f.opts.Board.Load(server.ID, now)
			if !load.HasReport {
				continue
			}
			fresh = append(fresh, server.ID)
			if load.Age > freshAge && !load.Limit.Named {
				stale = append(stale, q.target(server, x))
			}
		}
		if allowed := stale[:q.takeChecks(len(stale), now)]; len(allowed) > 0 {
			q.f.opts.Refresh(ctx, allowed, refreshWait)
		}
	}
	return fresh
}

// target returns the status check of a server for a request.
func (q *queue) target(server directory.Server, x *exchange) readings.Target {
	return readings.Target{
		Server: server.ID, DataCentre: server.DataCentre, Address: server.Address, Born: server.Born, Path: x.service.HealthPath,
		Connections: q.f.opts.ConnLimit(x.service),
	}
}

// takeChecks returns how many of the wanted checks this instance may make now: an equal share
// of the checks that the servers may get from all instances.
func (q *queue) takeChecks(want int, now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.takeChecksLocked(want, now)
}

func (q *queue) takeChecksLocked(want int, now time.Time) int {
	if q.f.opts.CheckRate() <= 0 {
		return want
	}
	q.earnChecksLocked(now)
	allowed := min(want, int(q.checks))
	q.checks -= float64(allowed)
	return allowed
}

// checksAvailableLocked reports whether this instance may make a check now.
func (q *queue) checksAvailableLocked(now time.Time) bool {
	if q.f.opts.CheckRate() <= 0 {
		return true
	}
	q.earnChecksLocked(now)
	return q.checks >= 1
}

// earnChecksLocked adds the checks that have become available since the last call. A goroutine that
// waited for the lock may have an earlier time than the one before.
func (q *queue) earnChecksLocked(now time.Time) {
	rate := q.f.opts.CheckRate() * float64(len(q.servers())) / float64(max(q.f.opts.Instances(), 1))
	most := max(rate*checkBurst.Seconds(), refreshCount*refreshRounds)
	switch {
	case q.checksAt.IsZero():
		q.checks = most
	case !now.After(q.checksAt):
		return
	default:
		q.checks = min(q.checks+rate*now.Sub(q.checksAt).Seconds(), most)
	}
	q.checksAt = now
}

// refreshable returns the servers, except the given ones, to which there are idle
// connections. With few of these, which a new process has, it returns all, so that others
// are opened.
func (q *queue) refreshable(except []string, now time.Time) candidateSet {
	idle := q.f.opts.Pool.IdleAddresses()
	var connected []directory.Server
	for _, server := range q.servers() {
		if idle[server.Address] && !slices.Contains(except, server.ID) {
			connected = append(connected, server)
		}
	}
	if len(connected) >= refreshCount {
		return q.assess(connected, now)
	}
	return q.assess(q.servers(), now).excluding(except)
}

// sendsAtOnce reports whether requests don't wait for capacity.
func (q *queue) sendsAtOnce() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.open && len(q.waiters) == 0
}

// relaxed reports whether no request waits for capacity at any instance, and the servers of the
// service reject or fail few.
func (q *queue) relaxed(now time.Time) bool {
	return !q.f.opts.Backlogs.Waiting(q.service, now) && q.usualState(now).FailureRate <= maxHedgeFailureRate
}

// arrivalRate returns the smoothed number of requests that arrive in a second.
func (q *queue) arrivalRate() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.arriving
}

// promising returns those of the servers that are expected to be no slower than one of which
// nothing is known.
func (q *queue) promising(ids []string, now time.Time) candidateSet {
	if len(ids) == 0 {
		return candidateSet{}
	}
	candidates := q.assess(q.named(ids), now)
	return candidates.filter(func(i int) bool { return candidates.assessed[i].Promising() })
}

// named returns the servers with the given IDs.
func (q *queue) named(ids []string) []directory.Server {
	var servers []directory.Server
	for _, server := range q.servers() {
		if slices.Contains(ids, server.ID) {
			servers = append(servers, server)
		}
	}
	return servers
}
