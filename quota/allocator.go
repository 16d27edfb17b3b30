package quota

import (
	"container/heap"
	"container/list"
	"math"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/quota/quotapb"
)

const (
	// equalPart is the part of a surplus that is divided equally among the instances that
	// use a workspace, so that a rising demand finds something at once.
	equalPart = 0.25
	// lowWaterTime smooths the rise of the lent sum, seconds, while a decrease affects the
	// division at once. Loans age between two requests; without it, the last to ask would
	// get less by the whole difference.
	lowWaterTime = 0.3
	// depthSmoothing is the weight of the last request in the demand by which the depth is
	// divided. What a bucket holds is lost if its depth decreases.
	depthSmoothing = 0.1
	// firstDepth is the depth that each bucket gets first. A bucket that holds less is hardly
	// of use for requests that arrive at random.
	firstDepth = 3
	// memberTTL is the time after which an instance is dropped that sends no request.
	memberTTL = 2 * time.Second
	// maxOutstanding bounds the grants to one instance that are remembered one by one, and
	// maxAnswers the answers that an acknowledgement may name.
	maxOutstanding = 4
	maxAnswers     = 4
	// maxMembers bounds the instances of all shards. The largest fleet has 512.
	maxMembers = 4096
	// maxClaims bounds the workspaces of all instances, which take about 470 bytes each. What
	// is beyond it gets no grant.
	maxClaims = 65536
	// maxDemand bounds a demand, so that values that are not numbers don't make the sums invalid.
	maxDemand = 1e9
	// clockMargin allows for the rounding of request numbers.
	clockMargin = 2 * time.Millisecond
	// maxDrift bounds how much faster one of two clocks runs than the other. Clocks that
	// are disciplined differ by less than 100 ppm.
	maxDrift = 200e-6
)

// AllocatorStats are counters since the start of the process.
type AllocatorStats struct {
	// Requests counts the requests received, Granted the grants of workspaces, Cut those
	// that were less than the division provides because others still held more.
	Requests, Granted, Cut uint64
	// Members is the number of instances that ask, counted for each plane and shard.
	Members int
}

// Allocator grants shares of caps out of what instances lend. It is safe for concurrent use.
//
// Grants are made only of loans that outlast them, and all grants that may be in use are
// counted. So their sum never exceeds the sum of the loans, whatever happens to messages and
// processes.
type Allocator struct {
	mu     sync.Mutex
	limits Limits
	table  *Table
	// openAt is when the grants of an earlier process of this instance have expired.
	openAt  time.Time
	now     time.Time
	members map[memberKey]*member
	// heard holds the members by the time of their last request, oldest first.
	heard  *list.List
	groups map[group]*pool
	// loans orders the members that lend by the time until which they do.
	loans loanHeap
	// expiries holds the outstanding grants in the order in which they expire.
	expiries []expiry
	// claims is the number of the claims of all members.
	claims int
	stats  AllocatorStats
}

// group is one shard of one plane of a division. Instances may divide differently while the size
// of the fleet changes.
type group struct{ shards, shard uint32 }

type memberKey struct {
	group
	instance string
}

// pool is the part of every cap that is lent in a group.
type pool struct {
	fraction float64
	members  int
	// low follows the fraction, with a delay if it rises, as of lowAt.
	low   float64
	lowAt time.Time
	// workspaces holds the sums of the claims on each workspace.
	workspaces map[uint64]*account
}

// member is an instance that asks for shares.
type member struct {
	key     memberKey
	process uint32
	// base is a lower bound of the time at which the request of number 0 would have been
	// sent, by the allocator's clock, as of baseAt. It is known once the member has
	// acknowledged an answer.
	base, baseAt time.Time
	answers      []answer
	// fraction is the part of every cap that the member lends, until the time from which
	// no grants may be made of it any longer.
	fraction float64
	until    time.Time
	index    int
	claims   map[uint64]*claim
	round    uint64
	heardAt  time.Time
	element  *list.Element
}

type answer struct {
	number uint64
	at     time.Time
}

// remember records an answer that the member may acknowledge. A second answer to one request is
// not recorded: the member may have applied the first one, which proves less.
func (m *member) remember(a answer) {
	if n := len(m.answers); n > 0 && a.number <= m.answers[n-1].number {
		return
	}
	m.answers = append(m.answers, a)
	m.answers = m.answers[max(len(m.answers)-maxAnswers, 0):]
}

// lowerBase returns the lower bound at a time: without the drift of the clocks, a bound that was
// close hours ago would make loans look newer than they are.
func (m *member) lowerBase(now time.Time) time.Time {
	return m.base.Add(-time.Duration(maxDrift * float64(now.Sub(m.baseAt))))
}

// account sums the claims on one workspace.
type account struct {
	demand, smooth float64
	claims         int
	used           share
}

// claim is what one member wants and may be using of one workspace.
type claim struct {
	member      *member
	workspace   uint64
	listed      bool
	round       uint64
	demand      float64
	smooth      float64
	outstanding []outstanding
	// used is the largest of the outstanding grants.
	used share
}

type outstanding struct {
	number uint64
	share
	expires time.Time
}

type expiry struct {
	claim *claim
	at    time.Time
}

// NewAllocator returns an Allocator of a process that started at the given time.
func NewAllocator(started time.Time) *Allocator {
	return &Allocator{
		table: NewTable(0, nil), openAt: started.Add(grantTTL), members: make(map[memberKey]*member), heard: list.New(),
		groups: make(map[group]*pool),
	}
}

// SetLimits sets the limits.
func (a *Allocator) SetLimits(limits Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
}

// SetTable sets the caps.
func (a *Allocator) SetTable(t *Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.version <= a.table.version {
		return
	}
	before := a.table
	a.table = t
	for _, m := range a.members {
		for _, c := range m.claims {
			a.cut(c, before.caps[c.workspace], t.caps[c.workspace])
		}
	}
}

// cut reduces the grants of a workspace whose cap was lowered, as their holders do when the
// table arrives there.
func (a *Allocator) cut(c *claim, before, after Cap) {
	if before.PerSecond <= 0 || after.PerSecond <= 0 {
		return
	}
	rate, depth := min(after.PerSecond/before.PerSecond, 1), 1.0
	if d := a.limits.depth(before); d > 0 {
		depth = min(a.limits.depth(after)/d, 1)
	}
	for i := range c.outstanding {
		c.outstanding[i].share = c.outstanding[i].scaled(rate, depth)
	}
	a.update(c)
}

// Receive handles an instance's request and returns the answer. The answer names no table as
// long as the allocator can't grant anything.
func (a *Allocator) Receive(from string, req *quotapb.ShareRequest, now time.Time) *quotapb.ShareGrant {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.now) {
		now = a.now
	}
	a.now = now
	a.stats.Requests++
	reply := &quotapb.ShareGrant{Number: req.GetNumber(), Process: req.GetProcess()}
	a.expire(now)
	m := a.member(memberKey{group{req.GetShards(), req.GetShard()}, from}, req.GetProcess(), now)
	if m == nil {
		return reply
	}
	a.acknowledge(m, req)
	a.lend(m, req, now)
	a.claim(m, req)
	if !now.Before(a.openAt) {
		reply.TableVersion = a.table.version
		for _, d := range req.GetDemands() {
			if g := a.grant(m, d, req.GetNumber(), now); g != nil {
				reply.Grants = append(reply.Grants, g)
			}
		}
	}
	m.remember(answer{req.GetNumber(), now})
	return reply
}

// member returns the state of an instance, or nil if there are too many.
func (a *Allocator) member(key memberKey, process uint32, now time.Time) *member {
	m := a.members[key]
	if m == nil {
		if len(a.members) >= maxMembers {
			return nil
		}
		m = &member{key: key, process: process, index: -1, claims: make(map[uint64]*claim)}
		m.element = a.heard.PushBack(m)
		a.members[key] = m
		p := a.groups[key.group]
		if p == nil {
			p = &pool{lowAt: now, workspaces: make(map[uint64]*account)}
			a.groups[key.group] = p
		}
		p.members++
	}
	if m.process != process {
		// The loan of the process before stays until it lapses.
		m.process, m.base, m.answers = process, time.Time{}, nil
	}
	m.heardAt = now
	a.heard.MoveToBack(m.element)
	return m
}

// acknowledge takes the newest answer that the member has applied from its request: the
// request was sent after that answer, and the grants before it are no longer in use.
func (a *Allocator) acknowledge(m *member, req *quotapb.ShareRequest) {
	for _, d := range req.GetDemands() {
		if d.GetPerSecond() >= 0 {
			continue
		}
		for _, answer := range m.answers {
			if answer.number != d.GetWorkspace() {
				continue
			}
			if base := answer.at.Add(-elapsed(req.GetNumber())); m.base.IsZero() || base.After(m.lowerBase(a.now)) {
				m.base, m.baseAt = base, a.now
			}
			for _, c := range m.claims {
				c.outstanding = keep(c.outstanding, func(o outstanding) bool { return o.number >= answer.number })
				a.update(c)
			}
		}
	}
}

// elapsed returns the time between the start of a process and its request.
func elapsed(number uint64) time.Duration {
	return time.Duration(min(number, 1<<52)) * time.Microsecond
}

func keep(list []outstanding, which func(outstanding) bool) []outstanding {
	kept := list[:0]
	for _, o := range list {
		if which(o) {
			kept = append(kept, o)
		}
	}
	return kept
}

// lend records what the member lends. Nothing is known of the age of a loan until an answer
// was acknowledged: a request may have waited in the buffer of a frozen process.
func (a *Allocator) lend(m *member, req *quotapb.ShareRequest, now time.Time) {
	if m.base.IsZero() {
		return
	}
	if req.GetInstances() == 0 {
		// An earlier loan of the same member stays until it lapses.
		return
	}
	until := m.lowerBase(now).Add(elapsed(req.GetNumber())).Add(loanTTL - grantTTL - clockMargin)
	if !until.After(now) || until.Before(m.until) {
		return
	}
	p := a.groups[m.key.group]
	p.fraction -= m.fraction
	m.fraction, m.until = 1/float64(req.GetInstances()), until
	p.fraction += m.fraction
	if m.index < 0 {
		heap.Push(&a.loans, m)
	} else {
		heap.Fix(&a.loans, m.index)
	}
}

// claim records the demands of the member.
func (a *Allocator) claim(m *member, req *quotapb.ShareRequest) {
	m.round++
	for i, d := range req.GetDemands() {
		if d.GetPerSecond() < 0 || i > maxDemands {
			continue
		}
		c := m.claims[d.GetWorkspace()]
		if c == nil {
			if a.claims >= maxClaims {
				continue
			}
			c = &claim{member: m, workspace: d.GetWorkspace()}
			m.claims[d.GetWorkspace()] = c
			a.claims++
		}
		c.round = m.round
		demand := float64(d.GetPerSecond())
		if !(demand <= maxDemand) {
			demand = 0
		}
		a.setDemand(c, true, demand)
	}
	for _, c := range m.claims {
		if c.round != m.round {
			a.setDemand(c, false, 0)
			a.dropUnused(c)
		}
	}
}

func (a *Allocator) account(c *claim) *account {
	workspaces := a.groups[c.member.key.group].workspaces
	acc := workspaces[c.workspace]
	if acc == nil {
		acc = &account{}
		workspaces[c.workspace] = acc
	}
	return acc
}

func (a *Allocator) setDemand(c *claim, listed bool, demand float64) {
	acc := a.account(c)
	acc.demand += demand - c.demand
	smooth := c.smooth + (demand-c.smooth)*depthSmoothing
	if !listed || !c.listed {
		smooth = demand
	}
	acc.smooth += smooth - c.smooth
	c.smooth = smooth
	if listed != c.listed {
		if listed {
			acc.claims++
		} else {
			acc.claims--
		}
	}
	c.listed, c.demand = listed, demand
	if acc.claims == 0 {
		// Ends the accumulation of rounding errors.
		acc.demand, acc.smooth = 0, 0
	}
}

// update recomputes what the claim may be using.
func (a *Allocator) update(c *claim) {
	var used share
	for _, o := range c.outstanding {
		used.perSecond, used.depth = max(used.perSecond, o.perSecond), max(used.depth, o.depth)
	}
	acc := a.account(c)
	acc.used.perSecond += used.perSecond - c.used.perSecond
	acc.used.depth += used.depth - c.used.depth
	c.used = used
}

func (a *Allocator) dropUnused(c *claim) {
	if c.listed || len(c.outstanding) > 0 {
		return
	}
	delete(c.member.claims, c.workspace)
	a.claims--
	workspaces := a.groups[c.member.key.group].workspaces
	if acc := workspaces[c.workspace]; acc != nil && acc.claims == 0 && acc.used.perSecond < 1e-9 && acc.used.depth < 1e-9 {
		delete(workspaces, c.workspace)
	}
}

// grant divides a workspace's cap and returns the member's part, or nil if the workspace has
// no cap.
func (a *Allocator) grant(m *member, d *quotapb.Demand, number uint64, now time.Time) *quotapb.Grant {
	c := m.claims[d.GetWorkspace()]
	limit, ok := a.table.caps[d.GetWorkspace()]
	if d.GetPerSecond() < 0 || c == nil || !ok {
		return nil
	}
	p := a.groups[m.key.group]
	low, lent := p.lowest(now), min(p.fraction, 1)
	acc := a.account(c)
	want := divide(share{limit.PerSecond * low, a.limits.depth(limit) * low}, c, acc)
	give := share{
		min(want.perSecond, max(limit.PerSecond*lent-acc.used.perSecond+c.used.perSecond, 0)),
		min(want.depth, max(a.limits.depth(limit)*lent-acc.used.depth+c.used.depth, 0)),
	}
	a.stats.Granted++
	if give.perSecond < 0.99*want.perSecond {
		a.stats.Cut++
	}
	result := &quotapb.Grant{Workspace: c.workspace, PerSecond: roundDown(give.perSecond), Burst: roundDown(give.depth)}
	a.record(c, outstanding{number: number, share: share{float64(result.GetPerSecond()), float64(result.GetBurst())}, expires: now.Add(grantTTL)})
	return result
}

// roundDown converts a number to single precision so that a sum does not grow.
func roundDown(x float64) float32 { return float32(x * (1 - 1e-7)) }

func (a *Allocator) record(c *claim, o outstanding) {
	if len(c.outstanding) >= maxOutstanding {
		last := &c.outstanding[len(c.outstanding)-1]
		last.perSecond, last.depth = max(last.perSecond, o.perSecond), max(last.depth, o.depth)
		last.number, last.expires = o.number, o.expires
	} else {
		c.outstanding = append(c.outstanding, o)
	}
	a.update(c)
	a.expiries = append(a.expiries, expiry{c, o.expires})
}

// divide returns the part of one instance in what was lent: its demand and a part of the
// surplus, or in proportion to its demand if there is no surplus. The depth is divided like
// the rate, but that each instance gets firstDepth first, as far as that takes no more than
// half.
func divide(lent share, c *claim, acc *account) share {
	count := float64(max(acc.claims, 1))
	first := min(firstDepth, lent.depth/(2*count))
	return share{
		part(lent.perSecond, c.demand, acc.demand, count),
		first + part(lent.depth-first*count, c.smooth, acc.smooth, count),
	}
}

// part returns the part of one of several demands in a sum.
func part(sum, own, all, count float64) float64 {
	switch surplus := sum - all; {
	case sum <= 0:
		return 0
	case all <= 0:
		return sum / count
	case surplus < 0:
		return sum * own / all
	default:
		return own + surplus*((1-equalPart)*own/all+equalPart/count)
	}
}

// lowest returns the fraction lent lately, near its lowest.
func (p *pool) lowest(now time.Time) float64 {
	if elapsed := now.Sub(p.lowAt).Seconds(); elapsed > 0 {
		p.low += (p.fraction - p.low) * (1 - math.Exp(-elapsed/lowWaterTime))
		p.lowAt = now
	}
	p.low = min(p.low, p.fraction)
	return min(max(p.low, 0), 1)
}

// expire drops loans, grants and instances whose time has passed.
func (a *Allocator) expire(now time.Time) {
	for len(a.loans) > 0 && !a.loans[0].until.After(now) {
		a.endLoan(a.loans[0])
	}
	done := 0
	for done < len(a.expiries) && !a.expiries[done].at.After(now) {
		c := a.expiries[done].claim
		if a.members[c.member.key] == c.member {
			c.outstanding = keep(c.outstanding, func(o outstanding) bool { return o.expires.After(now) })
			a.update(c)
			a.dropUnused(c)
		}
		done++
	}
	a.expiries = a.expiries[done:]
	for e := a.heard.Front(); e != nil && now.Sub(e.Value.(*member).heardAt) >= memberTTL; e = a.heard.Front() {
		a.remove(e.Value.(*member))
	}
}

func (a *Allocator) endLoan(m *member) {
	heap.Remove(&a.loans, m.index)
	p := a.groups[m.key.group]
	p.fraction -= m.fraction
	m.fraction = 0
}

// remove forgets an instance. Its grants expired before.
func (a *Allocator) remove(m *member) {
	a.heard.Remove(m.element)
	delete(a.members, m.key)
	if m.index >= 0 {
		a.endLoan(m)
	}
	for _, c := range m.claims {
		a.setDemand(c, false, 0)
		c.outstanding = nil
		a.update(c)
		a.dropUnused(c)
	}
	p := a.groups[m.key.group]
	if p.members--; p.members == 0 {
		delete(a.groups, m.key.group)
	}
}

// Stats returns the counters since the start of the process.
func (a *Allocator) Stats() AllocatorStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	stats := a.stats
	stats.Members = len(a.members)
	return stats
}

// loanHeap implements [heap.Interface].
type loanHeap []*member

func (h loanHeap) Len() int           { return len(h) }
func (h loanHeap) Less(i, j int) bool { return h[i].until.Before(h[j].until) }
func (h loanHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements [heap.Interface].
func (h *loanHeap) Push(x any) {
	m := x.(*member)
	m.index = len(*h)
	*h = append(*h, m)
}

// Pop implements [heap.Interface].
func (h *loanHeap) Pop() any {
	old := *h
	m := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	m.index = -1
	return m
}
