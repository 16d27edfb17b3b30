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
	// idleTime is the time without requests after which a workspace is no longer in use.
	// It is long, since the first request of a workspace at an instance finds no grant.
	idleTime = 30 * time.Second
	// maxDemands bounds the workspaces in one request; with more, those with the largest
	// demand are sent. A request and its grant take 5 KB then.
	maxDemands = 128
	// minAnswerTimeout is the minimum time after which a request without an answer is
	// repeated; after the same time again, the allocator counts as failed. The timeout
	// follows the measured round trips up to maxAnswerTimeout, for the repetition up to
	// maxRepeatTimeout.
	minAnswerTimeout = 150 * time.Millisecond
	maxAnswerTimeout = 600 * time.Millisecond
	maxRepeatTimeout = 250 * time.Millisecond
	// suspectTime is the time for which an allocator that failed is not tried again.
	suspectTime = 3 * time.Second
	// trialInterval is the time for which another allocator has to be preferred before it
	// is tried, since each change interrupts the loans, and the time between two trials.
	trialInterval = time.Second
	// loweredTTL is the time for which grants computed before a cap was lowered are still
	// expected.
	loweredTTL = 5 * time.Second
	// refillTime is the time, in seconds, in which a bucket is to be filled again. What a
	// bucket lacks adds to the demand that is reported, so that the rate goes to empty
	// buckets rather than to full ones, where it is lost.
	refillTime = 1.0
	// urgentRise is the factor by which a demand exceeds the reported one for a refusal to
	// cause a request at once.
	urgentRise = 1.3
	// minRetryAfter and maxRetryAfter bound the Retry-After of refused requests.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// ShareOptions configure a [Share]. All are required.
type ShareOptions struct {
	// Process identifies the process among those of the instance.
	Process uint32
	// Started is the time at which the process started. All times come from one clock
	// that is never set.
	Started time.Time
	Random  *rand.Rand
	Logger  *slog.Logger
}

// Fleet describes the other instances to a [Share].
type Fleet struct {
	// Instances is the number of instances among which the caps are divided.
	Instances int
	// Lend is set if the instance may lend its shares: it knows the fleet and is not
	// leaving.
	Lend bool
	// Readers are the IDs of the instances that can be allocators.
	Readers []string
}

// Message is a request to an allocator.
type Message struct {
	To      string
	Request *quotapb.ShareRequest
}

// Decision says whether a request may run, and by which share.
type Decision struct {
	OK bool
	// RetryAfter is the time after which there is room for a refused request.
	RetryAfter time.Duration
	// Cap is the workspace's cap, PerSecond and Depth are the share of it that is in
	// force, Source where the share is from and Age how long ago.
	Cap              Cap
	PerSecond, Depth float64
	Source           Source
	Age              time.Duration
}

// Stats are counters since the start of the process.
type Stats struct {
	// Loans counts the requests that lent shares, Requests all, Grants the grants received
	// and Failures the allocators that did not answer.
	Loans, Requests, Grants, Failures uint64
	// Served and Refused count the requests of workspaces with a cap, Floor those that
	// were served by a permit.
	Served, Refused, Floor uint64
}

// Share decides which requests of workspaces an instance may forward. It is safe for
// concurrent use.
type Share struct {
	opts   ShareOptions
	random *rand.Rand

	mu      sync.Mutex
	limits  Limits
	table   *Table
	fleet   Fleet
	buckets map[uint64]*bucket
	// used holds the buckets in the order in which they were created.
	used     []*bucket
	lendings []*lending
	// lowered holds the caps that were lowered lately.
	lowered map[uint64]reduction
	// number is the number of the last request, sent the requests that may be answered.
	number uint64
	sent   map[uint64]sentRequest
	counts counter
	stats  Stats
}

// lending is the state of one plane of one shard: to whom its shares are lent, and who is asked
// for grants.
type lending struct {
	plane, shard int
	// readers are the instances that can be allocators, ranked the same by rank.
	readers, ranked []string
	// allocator is the one that is asked, lentTo the one that the last loan went to.
	allocator, lentTo string
	// ownFrom is when the last loan lapses: from then on the own share is in force.
	ownFrom time.Time
	// answered is the number of the newest request that the allocator answered.
	answered uint64
	lastSent time.Time
	next     time.Time
	// waitingSince is when the first request was sent that has no answer; repeated is set
	// once it was repeated.
	waitingSince time.Time
	repeated     bool
	urgent       bool
	// roundTrip and variation are smoothed; 0 before the first answer.
	roundTrip, variation time.Duration
	// suspects are allocators that failed, and until when they are avoided.
	suspects map[string]time.Time
	// preferred is the highest-ranked instance that is not suspected, trialAt the time at
	// which it was last tried, recovered the one that answered a trial.
	preferred               string
	preferredSince, trialAt time.Time
	recovered               string
}

type sentRequest struct {
	lending *lending
	to      string
	at      time.Time
}

// reduction is a cap that was lowered: by which factors, in which version.
type reduction struct {
	version     uint64
	rate, depth float64
	at          time.Time
}

// NewShare returns a Share without a table, which caps nothing.
func NewShare(opts ShareOptions) *Share {
	return &Share{
		opts: opts, random: opts.Random, table: NewTable(0, nil), buckets: make(map[uint64]*bucket),
		lowered: make(map[uint64]reduction), sent: make(map[uint64]sentRequest),
		counts: counter{counts: make(map[string]*Counts)}, fleet: Fleet{Instances: math.MaxInt16},
	}
}

// SetLimits sets the limits. Without a window, nothing is capped.
func (s *Share) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// SetTable sets the caps. A lowered cap takes effect at once, also on grants that were
// computed before.
func (s *Share) SetTable(t *Table, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.version <= s.table.version {
		return
	}
	for workspace, before := range s.table.caps {
		after, ok := t.caps[workspace]
		if !ok || after.PerSecond >= before.PerSecond && after.Burst >= before.Burst {
			continue
		}
		r := reduction{version: t.version, rate: min(after.PerSecond/before.PerSecond, 1), depth: 1, at: now}
		if depth := s.limits.depth(before); depth > 0 {
			r.depth = min(s.limits.depth(after)/depth, 1)
		}
		if earlier, ok := s.lowered[workspace]; ok && now.Sub(earlier.at) < loweredTTL {
			// A grant of before the earlier reduction is cut by the product, one
			// computed in between by more than it has to be.
			r.rate, r.depth = r.rate*earlier.rate, r.depth*earlier.depth
		}
		s.lowered[workspace] = r
	}
	s.table = t
	for _, b := range s.used {
		c, ok := t.caps[b.hash]
		if !ok || c == b.cap {
			continue
		}
		b.advance(s, now)
		rate, depth := 1.0, 1.0
		if c.PerSecond < b.cap.PerSecond {
			rate = c.PerSecond / b.cap.PerSecond
		}
		if before, after := s.limits.depth(b.cap), s.limits.depth(c); after < before {
			depth = after / before
		}
		b.cap = c
		for plane := range b.grants {
			b.grants[plane].share = b.grants[plane].scaled(rate, depth)
		}
		b.adapt(s)
	}
}

// ownShare returns the instance's own part of a cap in one plane.
func (s *Share) ownShare(c Cap) share {
	n := float64(planes * max(s.fleet.Instances, 1))
	return share{c.PerSecond / n, s.limits.depth(c) / n}
}

// bucket returns the bucket of a workspace, which it creates if necessary, or nil if the
// workspace has no cap.
func (s *Share) bucket(workspace string, now time.Time) *bucket {
	key := hash(workspace)
	if b := s.buckets[key]; b != nil {
		if _, ok := s.table.caps[key]; !ok {
			return nil
		}
		return b
	}
	c, ok := s.table.caps[key]
	if !ok || s.limits.Window <= 0 {
		return nil
	}
	s.resizeLendings(now)
	b := &bucket{name: workspace, hash: key, cap: c, lendings: s.lendingsOf(key)}
	for _, l := range b.lendings {
		// Nothing has used the own share since it came into force.
		if l.ownFrom.After(b.at) {
			b.at = l.ownFrom
		}
	}
	if b.at.After(now) {
		b.at = now
	}
	s.buckets[key] = b
	s.used = append(s.used, b)
	return b
}

// Take takes a request of a workspace out of its cap, or refuses it.
func (s *Share) Take(workspace string, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(workspace, now)
	if b == nil || s.limits.Window <= 0 {
		return Decision{OK: true}
	}
	b.usedAt = now
	b.demand.add(now)
	b.advance(s, now)
	current, source := b.current(s, now)
	d := Decision{OK: b.take(), Cap: b.cap, PerSecond: current.perSecond, Depth: current.depth, Source: source}
	d.Age = b.age(source, now)
	if !d.OK && (current.perSecond <= 0 || current.depth <= 0) {
		d.Source = SourceFloor
		d.OK = b.floor.Available(s.limits.floor(b.cap)/float64(max(s.fleet.Instances, 1)), permitTTL, now, s.random.ExpFloat64)
		if d.OK {
			b.floor.Use(s.random.ExpFloat64)
			s.stats.Floor++
		}
	}
	counts := s.counts.of(workspace)
	if d.OK {
		counts.Served++
		s.stats.Served++
		return d
	}
	counts.Refused++
	s.stats.Refused++
	b.refused.add(now)
	rising := b.demand.perSecond(now) > urgentRise*b.reported
	for plane, l := range b.lendings {
		if now.Before(l.ownFrom) && (rising || !now.Before(b.grants[plane].until)) {
			l.urgent = true
		}
	}
	d.RetryAfter = s.retryAfter(b, current, now)
	return d
}

// retryAfter returns the time until the bucket has room for a request, and a random time in
// which it has room for those that were refused in the last second.
func (s *Share) retryAfter(b *bucket, current share, now time.Time) time.Duration {
	wait := b.wait(current)
	rate := current.perSecond
	if rate <= 0 {
		wait, rate = requestInterval/2, b.cap.PerSecond
	}
	spread := s.random.Float64() * b.refused.perSecond(now) / rate
	wait += time.Duration(min(spread, maxRetryAfter.Seconds()) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Return returns a request that was taken and certainly did not run.
func (s *Share) Return(workspace string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[hash(workspace)]
	if b == nil {
		return
	}
	b.advance(s, now)
	current, _ := b.current(s, now)
	b.put(current)
}

// Poll returns the requests that are due. It has to be called every few ten milliseconds.
func (s *Share) Poll(fleet Fleet, now time.Time) []Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fleet.Instances != s.fleet.Instances {
		for _, b := range s.used {
			b.advance(s, now)
		}
	}
	s.fleet = fleet
	s.resizeLendings(now)
	for number, sent := range s.sent {
		if now.Sub(sent.at) >= grantTTL {
			delete(s.sent, number)
		}
	}
	for workspace, r := range s.lowered {
		if now.Sub(r.at) >= loweredTTL {
			delete(s.lowered, workspace)
		}
	}
	s.used = slices.DeleteFunc(s.used, func(b *bucket) bool {
		idle := now.Sub(b.usedAt) >= idleTime
		if idle {
			delete(s.buckets, b.hash)
		}
		return idle
	})
	var messages []Message
	for _, l := range s.lendings {
		messages = append(messages, s.poll(l, now)...)
	}
	return messages
}

// resizeLendings adapts the number of shards to the size of the fleet. What was lent by the
// shards before has to lapse first.
func (s *Share) resizeLendings(now time.Time) {
	count := shardCount(s.fleet.Instances, s.shards())
	if count == s.shards() {
		return
	}
	// A process of this instance that ended may have lent its shares.
	ownFrom := s.opts.Started.Add(loanTTL)
	for _, b := range s.used {
		b.advance(s, now)
	}
	for _, l := range s.lendings {
		if l.ownFrom.After(ownFrom) {
			ownFrom = l.ownFrom
		}
	}
	s.lendings = nil
	for plane := range planes {
		for shard := range count {
			s.lendings = append(s.lendings, &lending{plane: plane, shard: shard, ownFrom: ownFrom, suspects: make(map[string]time.Time)})
		}
	}
	for _, b := range s.used {
		b.lendings = s.lendingsOf(b.hash)
	}
}

// shards returns the number of shards.
func (s *Share) shards() int { return len(s.lendings) / planes }

// lendingsOf returns the lendings of a workspace.
func (s *Share) lendingsOf(workspace uint64) [planes]*lending {
	var all [planes]*lending
	for plane := range all {
		all[plane] = s.lendings[plane*s.shards()+shardOf(workspace, s.shards())]
	}
	return all
}

// rank ranks the instances that can be the allocator of a lending. The first ones of the planes
// before come last, so that the planes don't fail together.
func (s *Share) rank(l *lending, readers []string) []string {
	key := func(plane int) string { return fmt.Sprintf("quota/%d/%d/%d", s.shards(), l.shard, plane) }
	ranked := membership.Ranked(key(l.plane), readers)
	for plane := range l.plane {
		first := membership.Owner(key(plane), readers)
		if i := slices.Index(ranked, first); i >= 0 {
			ranked = append(slices.Delete(ranked, i, i+1), first)
		}
	}
	return ranked
}

// poll returns the requests of one shard.
func (s *Share) poll(l *lending, now time.Time) []Message {
	if !slices.Equal(l.readers, s.fleet.Readers) {
		l.readers = slices.Clone(s.fleet.Readers)
		l.ranked = s.rank(l, l.readers)
	}
	s.checkAnswers(l, now)
	preferred := ""
	for _, id := range l.ranked {
		if !now.Before(l.suspects[id]) {
			preferred = id
			break
		}
	}
	if preferred == "" && len(l.ranked) > 0 {
		preferred = l.ranked[0]
	}
	if preferred == "" {
		return nil
	}
	var messages []Message
	if preferred != l.preferred {
		l.preferred, l.preferredSince, l.trialAt = preferred, now, now
	}
	if preferred != l.allocator {
		switch {
		case l.allocator == "", now.Before(l.suspects[l.allocator]), l.recovered == preferred:
			s.choose(l, preferred, now)
		case now.Sub(l.preferredSince) >= trialInterval && now.Sub(l.trialAt) >= trialInterval:
			l.trialAt = now
			messages = append(messages, s.message(l, preferred, now))
		}
	}
	due := !now.Before(l.next) || l.urgent && l.waitingSince.IsZero() && now.Sub(l.lastSent) >= minRequestInterval
	if !l.waitingSince.IsZero() && !l.repeated && now.Sub(l.lastSent) >= min(l.answerTimeout(), maxRepeatTimeout) {
		l.repeated, due = true, true
	}
	if due {
		messages = append(messages, s.request(l, now))
	}
	return messages
}

// choose makes an instance the allocator of a shard. Shares are lent to it once what was lent
// to another one has lapsed.
func (s *Share) choose(l *lending, allocator string, now time.Time) {
	if l.allocator != "" {
		s.opts.Logger.Info("allocator changed", "plane", l.plane, "shard", l.shard, "allocator", allocator, "before", l.allocator,
			"failed", now.Before(l.suspects[l.allocator]), "own_share_in", l.ownFrom.Sub(now), "instances", s.fleet.Instances)
	}
	l.allocator, l.answered, l.recovered = allocator, 0, ""
	l.waitingSince, l.repeated, l.next = time.Time{}, false, now
	l.roundTrip, l.variation = 0, 0
}

// checkAnswers gives an allocator up that did not answer a request and its repetition.
func (s *Share) checkAnswers(l *lending, now time.Time) {
	if l.waitingSince.IsZero() || now.Sub(l.waitingSince) < 2*l.answerTimeout() {
		return
	}
	l.suspects[l.allocator] = now.Add(suspectTime)
	for id, until := range l.suspects {
		if now.Sub(until) >= suspectTime {
			delete(l.suspects, id)
		}
	}
	l.waitingSince, l.repeated, l.answered = time.Time{}, false, 0
	s.stats.Failures++
	s.opts.Logger.Info("allocator does not answer", "plane", l.plane, "shard", l.shard, "allocator", l.allocator,
		"last_request", now.Sub(l.lastSent), "own_share_in", l.ownFrom.Sub(now))
}

func (l *lending) answerTimeout() time.Duration {
	if l.roundTrip == 0 {
		return maxAnswerTimeout
	}
	return min(max(l.roundTrip+4*l.variation, minAnswerTimeout), maxAnswerTimeout)
}

// request returns the next request to the allocator. It lends the instance's shares if the
// allocator has answered before, so that it knows how old the loan is, and if they are not
// lent to another one.
func (s *Share) request(l *lending, now time.Time) Message {
	m := s.message(l, l.allocator, now)
	l.lastSent, l.next, l.urgent = now, now.Add(requestInterval), false
	if l.waitingSince.IsZero() {
		l.waitingSince = now
	}
	own := !now.Before(l.ownFrom)
	if s.fleet.Lend && l.answered != 0 && (l.lentTo == l.allocator || own) {
		if own {
			for _, b := range s.used {
				if b.lendings[l.plane] == l {
					b.advance(s, now)
				}
			}
		}
		m.Request.Instances = uint32(planes * s.fleet.Instances)
		l.lentTo, l.ownFrom = l.allocator, now.Add(loanTTL)
		own = false
		s.stats.Loans++
	}
	if l.answered != 0 {
		m.Request.Demands = append(m.Request.Demands, acknowledgement(l.answered))
	}
	if !own {
		m.Request.Demands = append(m.Request.Demands, s.demands(l, now)...)
	}
	return m
}

// message returns a request that lends and asks for nothing.
func (s *Share) message(l *lending, to string, now time.Time) Message {
	s.stats.Requests++
	s.number = max(s.number+1, uint64(now.Sub(s.opts.Started).Microseconds())+1)
	s.sent[s.number] = sentRequest{lending: l, to: to, at: now}
	return Message{To: to, Request: &quotapb.ShareRequest{
		Number: s.number, Process: s.opts.Process, TableVersion: s.table.version,
		Shards: uint32(len(s.lendings)), Shard: uint32(l.plane*s.shards() + l.shard),
	}}
}

// acknowledgement returns the entry of a request that names the newest request whose answer
// the instance has applied. Its negative rate sets it apart from demands. It takes the place
// of a field of its own, which the message lacks.
func acknowledgement(number uint64) *quotapb.Demand {
	return &quotapb.Demand{Workspace: number, PerSecond: -1}
}

// demands returns the demands of the workspaces in use on one plane.
func (s *Share) demands(l *lending, now time.Time) []*quotapb.Demand {
	var list []*quotapb.Demand
	for _, b := range s.used {
		if b.lendings[l.plane] == l {
			b.advance(s, now)
			b.reported = b.demand.perSecond(now) + b.missing()/refillTime
			list = append(list, &quotapb.Demand{Workspace: b.hash, PerSecond: float32(b.reported / planes)})
		}
	}
	slices.SortFunc(list, func(a, b *quotapb.Demand) int {
		return cmp.Or(cmp.Compare(b.GetPerSecond(), a.GetPerSecond()), cmp.Compare(a.GetWorkspace(), b.GetWorkspace()))
	})
	return list[:min(len(list), maxDemands)]
}

// Receive applies an allocator's answer.
func (s *Share) Receive(from string, answer *quotapb.ShareGrant, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, ok := s.sent[answer.GetNumber()]
	if !ok || answer.GetProcess() != s.opts.Process || sent.to != from || now.Sub(sent.at) >= grantTTL {
		return
	}
	delete(s.sent, answer.GetNumber())
	l := sent.lending
	if from != l.allocator {
		// One without a table, or that waits after its start, has nothing to grant yet.
		if from == l.preferred && answer.GetTableVersion() != 0 {
			l.recovered = from
		}
		return
	}
	l.measure(max(now.Sub(sent.at), time.Microsecond))
	l.waitingSince, l.repeated = time.Time{}, false
	if answer.GetNumber() < l.answered {
		return
	}
	if l.answered == 0 {
		// The next request can lend.
		l.next = now
	}
	l.answered = answer.GetNumber()
	if len(answer.GetGrants()) == 0 {
		return
	}
	s.stats.Grants++
	granted := make(map[uint64]share, len(answer.GetGrants()))
	for _, g := range answer.GetGrants() {
		granted[g.GetWorkspace()] = share{float64(g.GetPerSecond()), float64(g.GetBurst())}
	}
	for _, b := range s.used {
		if b.lendings[l.plane] != l {
			continue
		}
		b.advance(s, now)
		g, ok := granted[b.hash]
		if !ok {
			b.grants[l.plane] = grant{}
			b.adapt(s)
			continue
		}
		if r, ok := s.lowered[b.hash]; ok && answer.GetTableVersion() < r.version {
			g = g.scaled(r.rate, r.depth)
		}
		// Also rejects values that are not numbers.
		if !(g.perSecond >= 0 && g.depth >= 0) {
			g = share{}
		}
		g.perSecond, g.depth = min(g.perSecond, b.cap.PerSecond), min(g.depth, s.limits.depth(b.cap))
		b.grants[l.plane] = grant{share: g, sentAt: sent.at, until: sent.at.Add(grantTTL)}
		b.adapt(s)
	}
}

// measure adapts the estimated round trip, as TCP does.
func (l *lending) measure(d time.Duration) {
	if l.roundTrip == 0 {
		l.roundTrip, l.variation = d, d/2
		return
	}
	l.variation += ((l.roundTrip - d).Abs() - l.variation) / 4
	l.roundTrip += (d - l.roundTrip) / 8
}

// Stats returns the counters since the start of the process.
func (s *Share) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Counts returns the counters of the workspaces with the most requests, and of the rest.
func (s *Share) Counts() []Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.list()
}
