package quota

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/internal/permit"
	"github.com/pomelolock/pomelolock/quota/quotapb"
)

// Source names what decided on a request.
type Source string

// Sources.
const (
	// SourceAllocator means that the allocator granted or refused the unit.
	SourceAllocator Source = "allocator"
	// SourceFloor means that no allocator answered, so that only permits are left.
	SourceFloor Source = "floor"
)

const (
	// repeatAfter is the time without an answer after which a request for units is repeated;
	// after maxSent messages another allocator is asked. A round trip takes 2 ms between data
	// centres; an allocator with little processor time may take longer.
	repeatAfter = 40 * time.Millisecond
	maxSent     = 3
	// maxAllocators is the number of allocators that are asked for one unit.
	maxAllocators = 2
	// suspectTime is the time for which an allocator is not asked that did not answer.
	suspectTime = 2 * time.Second
	// probeInterval is the time between two messages to an allocator that is not asked because it did
	// not answer.
	probeInterval = 100 * time.Millisecond
	// unitTTL is the time for which a unit may be used after it was asked for, also if a request
	// that did not run has returned it. It bounds the units of one window that are used in the
	// next, and those of a process that was stopped meanwhile.
	unitTTL = 200 * time.Millisecond
	// holderTime is the time for which the allocator is asked that another one named.
	holderTime = time.Second
	// maxRedirects is the number of allocators that may name another one in a row.
	maxRedirects = 2
	// stockTime is the time for which an instance with many requests asks for units ahead, so
	// that the number of messages does not grow with its requests.
	stockTime = 0.1
	// maxStockShare is the part of the bucket's depth that all instances together ask for ahead.
	maxStockShare = 0.25
	// refusalTTL bounds the time for which a refusal holds for further requests.
	refusalTTL = 50 * time.Millisecond
	// demandDecay is the time constant, in seconds, of the measured demand.
	demandDecay = 1.0
	// idleTime is the time without requests after which a workspace is forgotten.
	idleTime = 30 * time.Second
	// minRetryAfter is the minimum time after which refused callers are told to return.
	minRetryAfter = 50 * time.Millisecond
	// permitTTL is the time after which a permit lapses that was not used, so that instances
	// without requests don't store up a burst.
	permitTTL = 400 * time.Millisecond
	// unreachedRetryAfter applies while no allocator answers.
	unreachedRetryAfter = 500 * time.Millisecond
)

// Fleet describes the other instances to a [Client].
type Fleet struct {
	// Instances is the number of instances among which permits are divided.
	Instances int
	// Allocators are the IDs of the instances that can be allocators.
	Allocators []string
	// Heard is the part of the fleet that this instance hears; 0 if it is not known yet.
	Heard float64
}

// ClientOptions configure a [Client]. All are required.
type ClientOptions struct {
	// Process identifies the process among those of the instance.
	Process uint32
	Random  *rand.Rand
	// Fleet returns the fleet as it is known now.
	Fleet func() Fleet
	// Send sends a request to an instance, which may be this one. It must not block.
	Send func(to string, req *quotapb.UnitRequest)
	// BootTime returns the time since the machine started, including suspension.
	BootTime func() time.Duration
	Logger   *slog.Logger
}

// Unit allows one request of a workspace to run.
type Unit struct {
	Workspace string
	// Allocator granted the unit from its bucket Bucket, in answer to the request for units
	// Number of this instance. It is empty for a permit.
	Allocator string
	Bucket    uint32
	Number    uint64
	// asked is when the unit was asked for, as a time since the machine started.
	asked time.Duration
}

// String returns what identifies the grant of the unit.
func (u Unit) String() string {
	if u.Allocator == "" {
		return "permit"
	}
	return fmt.Sprintf("%s/%08x/%d", u.Allocator, u.Bucket, u.Number)
}

// Decision says whether a request may run.
type Decision struct {
	OK bool
	// Unit is what the request takes out of its cap; unset without a cap.
	Unit Unit
	// RetryAfter is the time after which there is room for a refused request.
	RetryAfter time.Duration
	Cap        Cap
	Source     Source
	// Allocator is the instance that decided; "" if none did.
	Allocator string
	// Age is the time since the unit was asked for, or since the refusal.
	Age time.Duration
}

// Stats are counters since the start of the process.
type Stats struct {
	// Served and Refused count the requests of workspaces with a cap, Floor those that were
	// served by a permit, Asked the requests for units and Failures those that were not
	// answered.
	Served, Refused, Floor, Asked, Failures uint64
}

// Client decides which requests of workspaces an instance may forward. It is safe for
// concurrent use.
type Client struct {
	opts ClientOptions

	mu       sync.Mutex
	limits   Limits
	table    *Table
	accounts map[uint64]*account
	// asked holds the requests for units that may be answered, by their number.
	asked    map[uint64]*asking
	number   uint64
	suspects map[string]time.Time
	swept    time.Time
	counts   counter
	stats    Stats
}

// account is what the instance knows of the cap of one workspace.
type account struct {
	name      string
	workspace uint64
	// stock holds the units that were granted or returned and may still be used.
	stock   []batch
	waiters []chan Decision
	asking  *asking
	// holder is the allocator that has the bucket, as another one said; it is asked until
	// holderUntil.
	holder      string
	holderUntil time.Time
	// refusal is the last refusal of the allocator, which holds until refusedUntil; decided
	// is when it was made.
	refusal      Decision
	refusedUntil time.Time
	decided      time.Time
	demand       float64
	usedAt       time.Time
	floor        permit.Permits
	// ranked are the allocators in the order in which they are asked, instances is the number of
	// instances of the fleet, heard the part of them that this instance hears.
	allocators, ranked []string
	instances          int
	heard              float64
}

// batch is a number of units of one grant.
type batch struct {
	unit  Unit
	count int
}

// asking is a request for units without an answer.
type asking struct {
	account  *account
	to       string
	req      *quotapb.UnitRequest
	sent     time.Duration
	repeated int
	// tried is the number of allocators that were asked before without an answer, redirects that
	// of those that named another one.
	tried, redirects int
	timer            *time.Timer
}

// NewClient returns a Client without a table, which caps nothing.
func NewClient(opts ClientOptions) *Client {
	return &Client{
		opts: opts, table: NewTable(0, nil), accounts: make(map[uint64]*account), asked: make(map[uint64]*asking),
		suspects: make(map[string]time.Time), counts: counter{counts: make(map[string]*Counts)},
	}
}

// SetLimits sets the limits. Without a window, nothing is capped.
func (c *Client) SetLimits(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
}

// SetTable sets the caps.
func (c *Client) SetTable(t *Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.version > c.table.version {
		c.table = t
	}
}

// Stats returns the counters, Counts those of the workspaces with the most requests.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Counts returns the counters of the workspaces with the most requests, and of the rest.
func (c *Client) Counts() []Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts.list()
}

// Take takes a request of a workspace out of its cap, or refuses it. It waits for the answer of
// the allocator, until ctx ends at most.
func (c *Client) Take(ctx context.Context, workspace string) Decision {
	now := time.Now()
	c.mu.Lock()
	limit, ok := c.table.caps[hash(workspace)]
	if !ok || c.limits.Window <= 0 {
		c.mu.Unlock()
		return Decision{OK: true}
	}
	a := c.account(workspace, now)
	a.demand += 1 / demandDecay
	if unit, ok := a.use(c.opts.BootTime()); ok {
		c.count(a, true)
		c.mu.Unlock()
		return Decision{OK: true, Unit: unit, Cap: limit, Source: SourceAllocator, Allocator: unit.Allocator, Age: c.opts.BootTime() - unit.asked}
	}
	if now.Before(a.refusedUntil) {
		d := a.refusal
		d.Cap, d.Age = limit, now.Sub(a.decided)
		c.count(a, false)
		c.mu.Unlock()
		return d
	}
	decided := make(chan Decision, 1)
	a.waiters = append(a.waiters, decided)
	send := c.askLocked(a, 0, 0)
	c.mu.Unlock()
	send()
	select {
	case d := <-decided:
		d.Cap = limit
		return d
	case <-ctx.Done():
		c.abandon(a, decided)
		return Decision{Cap: limit, Source: SourceFloor, RetryAfter: unreachedRetryAfter}
	}
}

// abandon ends the wait of a request whose caller has left, and keeps the unit that it may have
// got in the meantime.
func (c *Client) abandon(a *account, decided chan Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.waiters = slices.DeleteFunc(a.waiters, func(other chan Decision) bool { return other == decided })
	select {
	case d := <-decided:
		if d.OK {
			a.put(d.Unit, c.opts.BootTime())
		}
	default:
	}
}

// Return returns the unit of a request that certainly did not run. The next request of the
// workspace at this instance uses it, unless the unit is too old by then.
func (c *Client) Return(unit Unit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.accounts[hash(unit.Workspace)]; a != nil {
		a.put(unit, c.opts.BootTime())
	}
}

// put adds a unit to the stock.
func (a *account) put(unit Unit, now time.Duration) {
	if unit.Allocator != "" && now-unit.asked < unitTTL {
		a.stock = append(a.stock, batch{unit, 1})
	}
}

// use takes a unit out of the stock.
func (a *account) use(now time.Duration) (Unit, bool) {
	a.stock = slices.DeleteFunc(a.stock, func(b batch) bool { return b.count == 0 || now-b.unit.asked >= unitTTL })
	if len(a.stock) == 0 {
		return Unit{}, false
	}
	a.stock[0].count--
	return a.stock[0].unit, true
}

// account returns the account of a workspace, with its demand as of now.
func (c *Client) account(workspace string, now time.Time) *account {
	c.sweepLocked(now)
	key := hash(workspace)
	a := c.accounts[key]
	if a == nil {
		a = &account{name: workspace, workspace: key, usedAt: now}
		c.accounts[key] = a
	}
	if elapsed := now.Sub(a.usedAt).Seconds(); elapsed > 0 {
		a.demand *= max(1-elapsed/demandDecay, 0)
		a.usedAt = now
	}
	return a
}

// sweepLocked forgets the workspaces that are idle and the suspects that are asked again.
func (c *Client) sweepLocked(now time.Time) {
	if now.Sub(c.swept) < time.Second {
		return
	}
	c.swept = now
	for key, a := range c.accounts {
		if now.Sub(a.usedAt) >= idleTime && a.asking == nil {
			delete(c.accounts, key)
		}
	}
	for id, until := range c.suspects {
		if !now.Before(until) {
			delete(c.suspects, id)
		}
	}
}

func (c *Client) count(a *account, served bool) {
	counts := c.counts.of(a.name)
	if served {
		counts.Served++
		c.stats.Served++
		return
	}
	counts.Refused++
	c.stats.Refused++
}

// askLocked asks the allocator for units for the requests that wait, unless it is being asked
// already, and returns the function that sends the message, to be called without the lock.
func (c *Client) askLocked(a *account, tried, redirects int) (send func()) {
	if a.asking != nil || len(a.waiters) == 0 {
		return func() {}
	}
	to, substitute := c.allocatorLocked(a)
	if to == "" {
		c.unreachedLocked(a)
		return func() {}
	}
	c.number++
	q := &asking{account: a, to: to, sent: c.opts.BootTime(), tried: tried, redirects: redirects, req: &quotapb.UnitRequest{
		Number: c.number, Process: c.opts.Process, Workspace: a.workspace,
		Units: uint32(len(a.waiters) + c.aheadLocked(a)), Substitute: substitute, HeardShare: a.heard,
	}}
	a.asking = q
	c.asked[c.number] = q
	c.stats.Asked++
	q.timer = time.AfterFunc(repeatAfter, func() { c.expire(q) })
	return func() { c.opts.Send(q.to, q.req) }
}

// aheadLocked returns the number of units to ask for beside those for the requests that wait. If the
// bucket is shallow, units in stock at one instance are missing at the others.
func (c *Client) aheadLocked(a *account) int {
	most := maxStockShare * c.limits.depth(c.table.caps[a.workspace]) / float64(max(a.instances, 1))
	return int(min(a.demand*stockTime, most))
}

// allocatorLocked returns the allocator of a workspace, or "" if none is known, and whether it
// is a substitute for another one.
func (c *Client) allocatorLocked(a *account) (id string, substitute bool) {
	fleet := c.opts.Fleet()
	a.instances, a.heard = fleet.Instances, fleet.Heard
	allocators := fleet.Allocators
	if !slices.Equal(allocators, a.allocators) {
		a.allocators = allocators
		a.ranked = ranked(a.workspace, allocators)
	}
	now := time.Now()
	if a.holder != "" && now.Before(a.holderUntil) && !now.Before(c.suspects[a.holder]) {
		return a.holder, false
	}
	for n, id := range a.ranked[:min(len(a.ranked), maxAllocators)] {
		if !now.Before(c.suspects[id]) {
			return id, n > 0
		}
	}
	return "", false
}

// expire repeats a request for units that was not answered, or asks another allocator.
func (c *Client) expire(q *asking) {
	c.mu.Lock()
	a := q.account
	if a.asking != q {
		c.mu.Unlock()
		return
	}
	if q.repeated++; q.repeated < maxSent {
		q.timer = time.AfterFunc(repeatAfter, func() { c.expire(q) })
		c.mu.Unlock()
		c.opts.Send(q.to, q.req)
		return
	}
	c.stats.Failures++
	c.suspectLocked(q)
	c.opts.Logger.Info("allocator does not answer", "workspace", a.name, "allocator", q.to, "tried", q.tried+1, "waiting", len(a.waiters))
	c.forgetLocked(q)
	send := func() {}
	if q.tried+1 < maxAllocators {
		send = c.askLocked(a, q.tried+1, 0)
	} else {
		c.unreachedLocked(a)
	}
	c.mu.Unlock()
	send()
}

// suspectLocked records that an allocator did not answer. It is probed, since three lost messages in a
// row say little about it, and one that failed may soon be back; requests don't wait for that.
func (c *Client) suspectLocked(q *asking) {
	until := time.Now().Add(suspectTime)
	c.suspects[q.to] = until
	time.AfterFunc(probeInterval, func() { c.probe(q.to, until, q.req) })
}

// probe asks an allocator for no units, and again until it is no longer suspected of the failure that
// until belongs to. Any answer ends the suspicion.
func (c *Client) probe(to string, until time.Time, failed *quotapb.UnitRequest) {
	c.mu.Lock()
	if current := c.suspects[to]; !current.Equal(until) || !time.Now().Before(until) {
		c.mu.Unlock()
		return
	}
	c.number++
	req := &quotapb.UnitRequest{Number: c.number, Process: c.opts.Process, Workspace: failed.GetWorkspace(), Substitute: failed.GetSubstitute()}
	time.AfterFunc(probeInterval, func() { c.probe(to, until, failed) })
	c.mu.Unlock()
	c.opts.Send(to, req)
}

// forgetLocked ends a request for units. A later answer has no effect.
func (c *Client) forgetLocked(q *asking) {
	q.timer.Stop()
	delete(c.asked, q.req.GetNumber())
	q.account.asking = nil
}

// unreachedLocked decides on the waiting requests without an allocator.
func (c *Client) unreachedLocked(a *account) {
	now := time.Now()
	rate := c.limits.floor(c.table.caps[a.workspace]) / float64(max(c.opts.Fleet().Instances, 1))
	for _, waiter := range a.waiters {
		ok := a.floor.Available(rate, permitTTL, now, c.opts.Random.ExpFloat64)
		if ok {
			a.floor.Use(c.opts.Random.ExpFloat64)
			c.stats.Floor++
		}
		c.count(a, ok)
		waiter <- Decision{OK: ok, Unit: Unit{Workspace: a.name}, Source: SourceFloor, RetryAfter: unreachedRetryAfter}
	}
	a.waiters = nil
}

// Receive handles the answer of an allocator.
func (c *Client) Receive(from string, grant *quotapb.UnitGrant) {
	c.mu.Lock()
	// An answer that is late shows that the allocator is there, and that this process may have
	// been slow to read it.
	delete(c.suspects, from)
	q := c.asked[grant.GetNumber()]
	if q == nil || grant.GetProcess() != c.opts.Process || q.to != from {
		c.mu.Unlock()
		return
	}
	c.forgetLocked(q)
	var send func()
	a := q.account
	switch holder := grant.GetHeldBy(); {
	case c.opts.BootTime()-q.sent >= unitTTL:
		// The process was stopped meanwhile, or the answer was.
		send = c.askLocked(a, q.tried, 0)
	case holder != "" && q.redirects < maxRedirects:
		a.holder, a.holderUntil = holder, time.Now().Add(holderTime)
		send = c.askLocked(a, q.tried, q.redirects+1)
	case holder != "":
		// The allocators name each other while the bucket is under way.
		a.holder = ""
		c.refuseLocked(a, Decision{Source: SourceAllocator, Allocator: q.to, RetryAfter: minRetryAfter}, time.Now())
		send = func() {}
	default:
		send = c.serveLocked(q, grant, time.Now())
	}
	c.mu.Unlock()
	send()
}

// serveLocked gives the units of an answer to the requests that wait.
func (c *Client) serveLocked(q *asking, grant *quotapb.UnitGrant, now time.Time) (send func()) {
	a := q.account
	units := int(grant.GetUnits())
	unit := Unit{Workspace: a.name, Allocator: q.to, Bucket: grant.GetBucket(), Number: q.req.GetNumber(), asked: q.sent}
	served := min(units, len(a.waiters))
	for _, waiter := range a.waiters[:served] {
		c.count(a, true)
		waiter <- Decision{OK: true, Unit: unit, Source: SourceAllocator, Allocator: q.to, Age: c.opts.BootTime() - q.sent}
	}
	a.waiters = a.waiters[served:]
	if units > served {
		a.stock = append(a.stock, batch{unit, units - served})
	}
	if grant.GetRetryAfterMs() == 0 {
		// Some requests arrived after the message was sent.
		return c.askLocked(a, 0, 0)
	}
	wait := max(time.Duration(grant.GetRetryAfterMs())*time.Millisecond, minRetryAfter)
	c.refuseLocked(a, Decision{Source: SourceAllocator, Allocator: q.to, RetryAfter: wait}, now)
	return func() {}
}

// refuseLocked refuses the requests that wait, and those that arrive within refusalTTL.
func (c *Client) refuseLocked(a *account, refusal Decision, now time.Time) {
	a.refusal = refusal
	a.decided, a.refusedUntil = now, now.Add(min(refusal.RetryAfter, refusalTTL))
	for _, waiter := range a.waiters {
		c.count(a, false)
		waiter <- refusal
	}
	a.waiters = nil
}
