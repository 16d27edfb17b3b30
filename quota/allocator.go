package quota

import (
	"cmp"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/membership"
	"github.com/pomelolock/pomelolock/quota/quotapb"
)

const (
	// takeoverTime is the time after which an allocator that was lost no longer counts as one that may
	// have the bucket.
	takeoverTime = 1500 * time.Millisecond
	// substituteShare is the part of a cap that another instance than the allocator grants to those
	// that don't reach it.
	substituteShare = 0.03
	// roofTime is the time for which a bucket keeps units beyond the part of the cap that its
	// instance has.
	roofTime = time.Second
	// openTime is the time for which requests for units wait for the answers of the other
	// allocators. They are repeated later than that.
	openTime = 30 * time.Millisecond
	// handoverTTL is the time for which instances are sent to the new holder of a bucket. Then
	// one that is still asked takes the bucket back.
	handoverTTL = time.Second
	// maxOffers is the number of buckets that a leaving allocator offers at a time.
	maxOffers = 64
	// maxPause is the time without a call after which the process may have been stopped, so
	// that another allocator may have taken over. It is shorter than the time after which other
	// instances notice.
	maxPause = 500 * time.Millisecond
	// answerTTL is the time for which answers are kept, to answer a repetition with the
	// same. Repetitions come within 100 ms.
	answerTTL = 500 * time.Millisecond
	// refusedDecay is the time constant, in seconds, of the number of units refused lately.
	refusedDecay = 0.5
	// reportTTL is the time for which the reports of instances count, reportWeight the weight
	// of one of them in the mean.
	reportTTL    = 2 * time.Second
	reportWeight = 0.2
	// maxRetryAfter bounds the time after which refused callers are told to return.
	maxRetryAfter = 3 * time.Second
)

// Role describes an instance as an allocator, as it knows the fleet now.
type Role struct {
	// Share is the part of the fleet that it hears. It grants no more of a cap than that, whatever
	// it has on loan: a process that started in a partition may not know how many own a part.
	Share float64
	// Allocators are the IDs of the instances that can be allocators, sorted.
	Allocators []string
}

// AllocatorOptions configure an [Allocator]. All but Part are required.
type AllocatorOptions struct {
	// ID is the ID of the instance, Process identifies its process.
	ID      string
	Process uint32
	Random  *rand.Rand
	// Send asks another allocator for a bucket. It must not block.
	Send func(to string, req *quotapb.BucketRequest)
	// Part returns the part of the cap of a workspace that this instance has; nil selects the whole.
	Part   func(workspace uint64, now time.Time) float64
	Logger *slog.Logger
}

// AllocatorStats are counters since the start of the process.
type AllocatorStats struct {
	// Granted and Refused count units, Opened and HandedOver buckets.
	Granted, Refused, Opened, HandedOver uint64
}

// Allocator keeps the token buckets of workspaces and grants units of them. A bucket moves among
// the allocators: one that is asked for units without having the bucket asks the others for it.
// It is safe for concurrent use. The times that its methods take have to count the suspension of
// the machine.
type Allocator struct {
	opts AllocatorOptions

	mu      sync.Mutex
	limits  Limits
	table   *Table
	buckets map[bucketKey]*bucket
	// handovers holds the buckets that were handed over, by workspace.
	handovers map[uint64]*handover
	// removed holds the last caps of workspaces that the table no longer caps and of which units
	// were granted within a window, so that a workspace that is restored finds its bucket.
	removed map[uint64]Cap
	number  uint64
	// answers holds the answers of the last times by the request, recent and older.
	answers, older map[question]*quotapb.UnitGrant
	turned, called time.Time
	// running is the time since which the process runs without a pause.
	running time.Time
	// share is that of the role, or less if the instances that ask hear less of the fleet;
	// reported is the mean of what they hear, as of reportedAt. allocators are those of the role,
	// others the allocators lately known.
	share      float64
	reported   float64
	reportedAt time.Time
	allocators []string
	others     map[string]*other
	// outbox holds messages that are sent once the lock is free.
	outbox []outgoing
	stats  AllocatorStats
}

// other is another instance that can be an allocator, or could lately.
type other struct {
	present bool
	goneAt  time.Time
	// forgotten is set once no bucket waits for it any more.
	forgotten bool
}

type outgoing struct {
	to  string
	req *quotapb.BucketRequest
}

// question identifies a request for units.
type question struct {
	from    string
	process uint32
	number  uint64
}

// NewAllocator returns an Allocator without a table, which grants nothing.
func NewAllocator(opts AllocatorOptions) *Allocator {
	if opts.Part == nil {
		opts.Part = func(uint64, time.Time) float64 { return 1 }
	}
	return &Allocator{
		opts: opts, table: NewTable(0, nil), buckets: make(map[bucketKey]*bucket), handovers: make(map[uint64]*handover),
		removed: make(map[uint64]Cap),
		answers: make(map[question]*quotapb.UnitGrant), others: make(map[string]*other),
	}
}

// SetLimits sets the limits.
func (a *Allocator) SetLimits(limits Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
}

// SetTable sets the caps. Buckets of workspaces that have none any more grant nothing, and are
// dropped a window after their last unit.
func (a *Allocator) SetTable(t *Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.version <= a.table.version {
		return
	}
	for workspace, c := range a.table.caps {
		if _, ok := t.caps[workspace]; !ok {
			a.removed[workspace] = c
		}
	}
	for workspace := range t.caps {
		delete(a.removed, workspace)
	}
	a.table = t
}

// capOf returns the cap of a workspace, or its last one if the table caps it no longer.
func (a *Allocator) capOf(workspace uint64) (Cap, bool) {
	if c, ok := a.table.caps[workspace]; ok {
		return c, true
	}
	c, ok := a.removed[workspace]
	return c, ok
}

// dropRemoved forgets the workspaces without a cap of which no unit was granted within a window.
func (a *Allocator) dropRemoved(now time.Time) {
	for workspace := range a.removed {
		if a.grantedWithin(workspace, now) {
			continue
		}
		delete(a.removed, workspace)
		delete(a.handovers, workspace)
		for _, substitute := range []bool{false, true} {
			delete(a.buckets, bucketKey{workspace, substitute})
		}
	}
}

// grantedWithin reports whether this instance granted units of a workspace within a window.
func (a *Allocator) grantedWithin(workspace uint64, now time.Time) bool {
	if h := a.handovers[workspace]; h != nil && now.Sub(h.grantedAt) < a.limits.Window {
		return true
	}
	for _, substitute := range []bool{false, true} {
		if b := a.buckets[bucketKey{workspace, substitute}]; b != nil && now.Sub(b.grantedAt) < a.limits.Window {
			return true
		}
	}
	return false
}

// Stats returns the counters.
func (a *Allocator) Stats() AllocatorStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stats
}

// Receive answers a request for units. It returns nil if the request should be repeated, because
// the bucket is being handed over.
func (a *Allocator) Receive(from string, req *quotapb.UnitRequest, role Role, now time.Time) *quotapb.UnitGrant {
	a.mu.Lock()
	defer a.send()
	a.report(req.GetHeardShare(), now)
	a.observe(role, now)
	q := question{from: from, process: req.GetProcess(), number: req.GetNumber()}
	for _, answers := range []map[question]*quotapb.UnitGrant{a.answers, a.older} {
		if given := answers[q]; given != nil {
			return given
		}
	}
	grant := a.grant(req, now)
	if grant != nil {
		grant.Number, grant.Process = req.GetNumber(), req.GetProcess()
		a.answers[q] = grant
	}
	return grant
}

// report records what an instance hears of the fleet. A process that has started while its side was
// cut off knows of the others only by what the instances on its side say.
func (a *Allocator) report(heard float64, now time.Time) {
	if heard <= 0 {
		return
	}
	if now.Sub(a.reportedAt) >= reportTTL {
		a.reported = heard
	}
	a.reported += reportWeight * (heard - a.reported)
	a.reportedAt = now
}

// Tick records that the process runs, and repeats what others have not answered. It has to be
// called several times in maxPause.
func (a *Allocator) Tick(role Role, now time.Time) {
	a.mu.Lock()
	defer a.send()
	a.observe(role, now)
	for key, b := range a.buckets {
		c, _ := a.capOf(key.workspace)
		a.advance(key, b, c, now)
		if len(b.inquiries) > 0 && a.used(b, now) {
			a.inquire(key, b, now)
		}
	}
	if !slices.Contains(a.allocators, a.opts.ID) {
		a.offer()
	}
}

// send releases the lock and sends the messages of the outbox.
func (a *Allocator) send() {
	outbox := a.outbox
	a.outbox = nil
	a.mu.Unlock()
	slices.SortFunc(outbox, func(x, y outgoing) int { return cmp.Compare(x.to, y.to) })
	for _, o := range outbox {
		a.opts.Send(o.to, o.req)
	}
}

// observe records what this instance knows of the fleet, and whether it was stopped.
func (a *Allocator) observe(role Role, now time.Time) {
	if now.Sub(a.turned) > answerTTL {
		a.older, a.answers, a.turned = a.answers, make(map[question]*quotapb.UnitGrant), now
		a.dropRemoved(now)
	}
	paused := now.Sub(a.called)
	stopped := !a.called.IsZero() && paused > maxPause
	a.called, a.share = now, role.Share
	if now.Sub(a.reportedAt) < reportTTL {
		a.share = min(a.share, a.reported)
	}
	if a.running.IsZero() || stopped {
		a.running = now
	}
	if !slices.Equal(role.Allocators, a.allocators) {
		a.allocators = slices.Clone(role.Allocators)
		a.compare(now)
	}
	if stopped {
		a.opts.Logger.Info("process was stopped, asking the other allocators", "for", paused, "buckets", len(a.buckets))
		for id, o := range a.others {
			if o.present {
				a.verify(id, now)
			}
		}
	}
	for id, o := range a.others {
		if !o.present && now.Sub(o.goneAt) > takeoverTime {
			a.forget(id, now)
		}
	}
}

// compare records which allocators have come and gone.
func (a *Allocator) compare(now time.Time) {
	for id, o := range a.others {
		if o.present && !slices.Contains(a.allocators, id) {
			o.present, o.goneAt = false, now
		}
	}
	for _, id := range a.allocators {
		if id == a.opts.ID {
			continue
		}
		if o := a.others[id]; o == nil || !o.present {
			a.others[id] = &other{present: true}
			a.verify(id, now)
		}
	}
}

// verify asks an allocator, which may have taken over buckets meanwhile, whether it has: now for
// those in use, for the others once they are.
func (a *Allocator) verify(id string, now time.Time) {
	for key, b := range a.buckets {
		if key.substitute {
			continue
		}
		c, _ := a.capOf(key.workspace)
		a.advance(key, b, c, now)
		b.ask(id, now)
		if a.used(b, now) {
			a.inquire(key, b, now)
		}
	}
}

// used reports whether units of the bucket were asked for within a window.
func (a *Allocator) used(b *bucket, now time.Time) bool {
	return now.Sub(b.askedAt) < a.limits.Window
}

// forget ends the wait for an allocator that has been gone for takeoverTime. It is kept in mind for
// the window in which it may have granted units.
func (a *Allocator) forget(id string, now time.Time) {
	o := a.others[id]
	if !o.forgotten {
		o.forgotten = true
		for key, b := range a.buckets {
			if b.inquiries[id] != nil {
				c, _ := a.capOf(key.workspace)
				a.advance(key, b, c, now)
				delete(b.inquiries, id)
				b.unclean = true
				a.settle(b, c, now)
			}
		}
	}
	if now.Sub(o.goneAt) > a.limits.Window {
		delete(a.others, id)
	}
}

// meet records an allocator that has sent a message. It may not be known as one yet.
func (a *Allocator) meet(id string, now time.Time) {
	if a.others[id] == nil && id != a.opts.ID {
		a.others[id] = &other{goneAt: now}
	}
}

// cleanSince reports whether this instance has run, and known all other allocators, for a window.
func (a *Allocator) cleanSince(now time.Time) bool {
	for _, o := range a.others {
		if !o.present {
			return false
		}
	}
	return now.Sub(a.running) >= a.limits.Window
}

func (a *Allocator) grant(req *quotapb.UnitRequest, now time.Time) *quotapb.UnitGrant {
	c, ok := a.table.caps[req.GetWorkspace()]
	if !ok {
		// The workspace is of a newer table, which arrives soon.
		return &quotapb.UnitGrant{RetryAfterMs: milliseconds(answerTTL)}
	}
	// One that relays take for the allocator is no substitute, whatever the sender takes it for.
	key := bucketKey{workspace: req.GetWorkspace()}
	key.substitute = req.GetSubstitute() && a.shareOf(key, now) <= substituteShare
	b := a.buckets[key]
	if b == nil {
		if holder := a.holder(key, now); holder != "" {
			return &quotapb.UnitGrant{HeldBy: holder}
		}
		b = a.open(key, c, now)
	}
	b.askedAt = now
	a.inquire(key, b, now)
	if a.pending(b, now) {
		return nil
	}
	a.advance(key, b, c, now)
	grant := &quotapb.UnitGrant{Bucket: b.id}
	units := min(float64(req.GetUnits()), math.Floor(b.level))
	if units > 0 {
		b.level -= units
		b.granted += units
		b.grantedAt = now
	}
	grant.Units = uint32(units)
	a.stats.Granted += uint64(units)
	missing := float64(req.GetUnits()) - units
	if missing <= 0 {
		return grant
	}
	a.stats.Refused += uint64(missing)
	rate, _ := a.rates(key, c, b.share)
	grant.RetryAfterMs = milliseconds(a.retryAfter(b, rate))
	b.refused += missing
	return grant
}

// pending reports whether another allocator was asked for the bucket so lately that its answer may
// still come.
func (a *Allocator) pending(b *bucket, now time.Time) bool {
	for _, i := range b.inquiries {
		if now.Sub(i.askedAt) < openTime {
			return true
		}
	}
	return false
}

// holder returns the allocator to ask for a bucket that this instance does not have, or "" if this
// one should get it.
func (a *Allocator) holder(key bucketKey, now time.Time) string {
	if key.substitute {
		return ""
	}
	if h := a.handovers[key.workspace]; h != nil && now.Sub(h.at) < handoverTTL {
		// It is asked as well if this instance does not know it as an allocator yet.
		if o := a.others[h.to]; o != nil && (o.present || !o.goneAt.After(h.at)) {
			return h.to
		}
	}
	if !slices.Contains(a.allocators, a.opts.ID) && len(a.allocators) > 0 {
		return ranked(key.workspace, a.allocators)[0]
	}
	return ""
}

// open returns a new bucket, which is empty until the other allocators have said what they have
// granted.
func (a *Allocator) open(key bucketKey, c Cap, now time.Time) *bucket {
	b := &bucket{id: a.opts.Random.Uint32(), at: now, share: a.shareOf(key, now), toldShare: a.shareOf(key, now), roofAt: now, openedAt: now, askedAt: now, assumed: !key.substitute, inquiries: make(map[string]*inquiry)}
	if !key.substitute {
		if h := a.handovers[key.workspace]; h != nil && now.Sub(h.grantedAt) < a.limits.Window {
			b.unclean = true
		}
		for id, o := range a.others {
			if o.present || now.Sub(o.goneAt) <= takeoverTime {
				b.inquiries[id] = &inquiry{}
			}
		}
	}
	delete(a.handovers, key.workspace)
	a.settle(b, c, now)
	a.buckets[key] = b
	a.stats.Opened++
	a.opts.Logger.Info("bucket opened", "workspace_hash", fmt.Sprintf("%x", key.workspace), "bucket", fmt.Sprintf("%08x", b.id), "substitute", key.substitute,
		"level", b.level, "share", b.share, "heard_share", a.share, "asking", len(b.inquiries), "running", now.Sub(a.running))
	return b
}

// retryAfter returns the time until the bucket has a unit, and a random time in which it has
// units for those that were refused lately.
func (a *Allocator) retryAfter(b *bucket, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := (1 - min(b.level, 1) + a.opts.Random.Float64()*b.refused) / rate
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// milliseconds rounds up, so that nobody returns before there is a unit.
func milliseconds(d time.Duration) uint32 {
	return uint32(max((d + time.Millisecond - 1).Milliseconds(), 1))
}

// ranked returns allocators in the order in which they are asked for units of a workspace.
func ranked(workspace uint64, allocators []string) []string {
	return membership.Ranked(fmt.Sprintf("quota/%x", workspace), allocators)
}
