package quota

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/quota/quotapb"
)

const (
	// takeoverTime is the time for which a new allocator grants takeoverShare of a cap: the
	// one before may still be asked by instances that don't know of the change.
	takeoverTime  = 1500 * time.Millisecond
	takeoverShare = 0.5
	// restartLevel is the part of its depth to which the bucket of a new process is filled. What
	// the process before it granted, this part and the rate stay within the excess together,
	// however soon it has restarted; callers that could not be served meanwhile return at once.
	restartLevel = 0.3
	// substituteShare is the part of a cap that is granted to instances that don't reach the
	// allocator itself, which may go on granting to others.
	substituteShare = 0.05
	// maxPause is the time without a call after which the process may have been stopped, so
	// that another allocator may have taken over.
	maxPause = time.Second
	// answerTTL is the time for which answers are kept, to answer a repetition with the
	// same. Repetitions come within 100 ms.
	answerTTL = 500 * time.Millisecond
	// refusedDecay is the time constant, in seconds, of the number of units refused lately.
	refusedDecay = 0.5
	// maxRetryAfter bounds the time after which refused callers are told to return.
	maxRetryAfter = 3 * time.Second
)

// Role describes an instance as an allocator.
type Role struct {
	// Share is the part of each cap that it may grant: the part of the fleet that it hears,
	// so that the sides of a partition don't grant more than the whole.
	Share float64
	// Since is when the set of instances that can be allocators last changed, or the time at
	// which the process started, which is Started.
	Since, Started time.Time
}

// AllocatorStats are counters since the start of the process.
type AllocatorStats struct {
	// Granted and Refused count units.
	Granted, Refused uint64
}

// Allocator keeps the token buckets of workspaces and grants units of them. It is safe for
// concurrent use.
type Allocator struct {
	mu      sync.Mutex
	limits  Limits
	table   *Table
	random  *rand.Rand
	logger  *slog.Logger
	buckets map[bucketKey]*bucket
	// answers holds the answers of the last times by the request, recent and older.
	answers, older map[question]*quotapb.UnitGrant
	turned, called time.Time
	// resumed is the time since which the process runs without a pause.
	resumed time.Time
	stats   AllocatorStats
}

// question identifies a request for units.
type question struct {
	from    string
	process uint32
	number  uint64
}

// bucketKey identifies a bucket. Units that are granted in place of another allocator have one of
// their own.
type bucketKey struct {
	workspace  uint64
	substitute bool
}

// bucket is the token bucket of a workspace.
type bucket struct {
	// id identifies the bucket among those of the instance.
	id    uint32
	level float64
	at    time.Time
	// slowUntil is the end of the time after a takeover.
	slowUntil time.Time
	// refused is the number of units refused lately, as of at.
	refused float64
}

// NewAllocator returns an Allocator without a table, which grants nothing.
func NewAllocator(random *rand.Rand, logger *slog.Logger) *Allocator {
	return &Allocator{
		table: NewTable(0, nil), random: random, logger: logger, buckets: make(map[bucketKey]*bucket),
		answers: make(map[question]*quotapb.UnitGrant),
	}
}

// SetLimits sets the limits.
func (a *Allocator) SetLimits(limits Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
}

// SetTable sets the caps. Buckets of workspaces that have none are dropped.
func (a *Allocator) SetTable(t *Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.version <= a.table.version {
		return
	}
	a.table = t
	for key := range a.buckets {
		if _, ok := t.caps[key.workspace]; !ok {
			delete(a.buckets, key)
		}
	}
}

// Stats returns the counters.
func (a *Allocator) Stats() AllocatorStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stats
}

// Receive answers a request for units. The times have to count the suspension of the machine.
func (a *Allocator) Receive(from string, req *quotapb.UnitRequest, role Role, now time.Time) *quotapb.UnitGrant {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.turn(now)
	q := question{from: from, process: req.GetProcess(), number: req.GetNumber()}
	for _, answers := range []map[question]*quotapb.UnitGrant{a.answers, a.older} {
		if given := answers[q]; given != nil {
			return given
		}
	}
	grant := &quotapb.UnitGrant{Number: req.GetNumber(), Process: req.GetProcess()}
	a.grant(grant, req, role, now)
	a.answers[q] = grant
	return grant
}

// turn drops old answers, and all buckets if the process may have been stopped.
func (a *Allocator) turn(now time.Time) {
	if !a.called.IsZero() && now.Sub(a.called) > maxPause {
		a.logger.Info("process was stopped, buckets dropped", "for", now.Sub(a.called), "buckets", len(a.buckets))
		clear(a.buckets)
		a.resumed = now
	}
	a.called = now
	if now.Sub(a.turned) > answerTTL {
		a.older, a.answers, a.turned = a.answers, make(map[question]*quotapb.UnitGrant), now
	}
}

// Tick records that the process runs. It has to be called more often than each second.
func (a *Allocator) Tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.turn(now)
}

func (a *Allocator) grant(grant *quotapb.UnitGrant, req *quotapb.UnitRequest, role Role, now time.Time) {
	c, ok := a.table.caps[req.GetWorkspace()]
	if !ok {
		// The workspace is of a newer table, which arrives soon.
		grant.RetryAfterMs = milliseconds(answerTTL)
		return
	}
	key := bucketKey{req.GetWorkspace(), req.GetSubstitute()}
	b := a.buckets[key]
	if b == nil || role.Since.After(b.at) && now.Sub(b.at) > maxPause {
		// In the second case, another allocator may have been asked meanwhile.
		b = a.newBucket(c, role, key.substitute, now)
		b.id = a.random.Uint32()
		a.buckets[key] = b
		a.logger.Info("bucket opened", "workspace_hash", fmt.Sprintf("%x", key.workspace), "bucket", fmt.Sprintf("%08x", b.id), "substitute", key.substitute,
			"level", b.level, "slow", b.slowUntil.After(now), "share", role.Share, "allocators_since", now.Sub(role.Since), "started", now.Sub(role.Started))
	}
	rate, depth := c.PerSecond*role.Share, a.limits.depth(c)*role.Share
	switch {
	case key.substitute:
		rate, depth = rate*substituteShare, max(depth*substituteShare, 1)
	case now.Before(b.slowUntil):
		rate *= takeoverShare
	}
	elapsed := max(now.Sub(b.at).Seconds(), 0)
	b.level = min(b.level+rate*elapsed, depth)
	b.refused *= math.Exp(-elapsed / refusedDecay)
	b.at = now
	units := min(float64(req.GetUnits()), math.Floor(b.level))
	b.level -= units
	grant.Units, grant.Bucket = uint32(units), b.id
	a.stats.Granted += uint64(units)
	missing := float64(req.GetUnits()) - units
	if missing <= 0 {
		return
	}
	a.stats.Refused += uint64(missing)
	grant.RetryAfterMs = milliseconds(a.retryAfter(b, rate))
	b.refused += missing
}

// newBucket returns the bucket of a workspace of which this allocator knows nothing. If the
// allocators have long been the same, nobody has asked for units lately and the bucket is full.
// Otherwise another allocator may have granted them, or this one before its process ended.
func (a *Allocator) newBucket(c Cap, role Role, substitute bool, now time.Time) *bucket {
	if substitute {
		return &bucket{at: now}
	}
	if now.Sub(role.Since) >= a.limits.Window && now.Sub(a.resumed) >= a.limits.Window {
		return &bucket{level: a.limits.depth(c) * role.Share, at: now}
	}
	if now.Sub(role.Started) < a.limits.Window {
		return &bucket{level: restartLevel * a.limits.depth(c) * role.Share, at: now}
	}
	return &bucket{at: now, slowUntil: now.Add(takeoverTime)}
}

// retryAfter returns the time until the bucket has a unit, and a random time in which it has
// units for those that were refused lately.
func (a *Allocator) retryAfter(b *bucket, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := (1 - min(b.level, 1) + a.random.Float64()*b.refused) / rate
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

func milliseconds(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 1)) }
