package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectHold is how long a request is held back after each loss if one loss holds it
	// back, and the shortest time for which a trial excludes others.
	suspectHold = 2 * time.Second
	// firstPeriod is the first quarantine period. Each further turn doubles
	// the period, up to maxPeriod.
	firstPeriod = 5 * time.Minute
	maxPeriod   = 24 * time.Hour
	// recordRetention and the record's quarantine period together are how long
	// a record is kept after its hold expired. It is also how long losses are
	// kept per server, and the maximum age of a loss in a peer's message.
	recordRetention = 10 * time.Minute
	// maxRecords bounds the records.
	maxRecords = 4096
	// maxLosses bounds the losses kept per record.
	maxLosses = 8
	// maxServers bounds the servers with recent losses.
	maxServers = 1024
	// maxLossesPerServer bounds the requests kept per server with recent
	// losses.
	maxLossesPerServer = 64
)

// Fingerprint identifies the content of a request.
type Fingerprint = [32]byte

// record is the state of one request with losses.
type record struct {
	// losses are the crashes in which the request was lost, at most maxLosses, in no order.
	losses []loss
	// heldUntil is the end of the current hold or quarantine period.
	heldUntil time.Time
	// period is the current quarantine period, 0 before the request is confirmed;
	// periodTurn is the turn of the loss that began it.
	period     time.Duration
	periodTurn int
	// trial is the latest trial.
	trial trial
	// nextTrialAt is the time from which this instance may begin a trial, if requests wait
	// for it.
	nextTrialAt time.Time
	// confirmedAt is when the request was first confirmed; zero before.
	confirmedAt time.Time
	// correlated is set if several requests were confirmed at about the same time.
	correlated bool
	// ownConfirmed is set if a loss of this instance confirmed the request.
	ownConfirmed bool
	// retried is set once this instance allowed a second attempt.
	retried bool
}

func (r *record) firstLoss() time.Time {
	first := r.losses[0].at
	for _, l := range r.losses {
		first = earlier(first, l.at)
	}
	return first
}

func (r *record) lastLoss() time.Time {
	var last time.Time
	for _, l := range r.losses {
		last = later(last, l.at)
	}
	return last
}

// turns returns the length of the longest series of losses in which each run knew of the one
// before.
func (r *record) turns() int {
	turns := 0
	for _, l := range r.losses {
		turns = max(turns, l.turn)
	}
	return turns
}

// lostAt reports whether the request was lost at a server.
func (r *record) lostAt(server process) bool {
	return slices.ContainsFunc(r.losses, func(l loss) bool { return l.server == server })
}

// add adds a loss to those of the record. A loss in a crash that is recorded already makes
// what is known of that crash more precise. It reports whether anything is new.
func (r *record) add(l loss) bool {
	for i := range r.losses {
		have := &r.losses[i]
		if have.id != l.id && !have.sameCrash(l) {
			continue
		}
		news := l.turn > have.turn
		have.turn = max(have.turn, l.turn)
		have.toldExplained = l.toldExplained
		have.sent, have.at, have.knownAt = earlier(have.sent, l.sent), earlier(have.at, l.at), earlier(have.knownAt, l.knownAt)
		return news
	}
	if len(r.losses) < maxLosses {
		r.losses = append(r.losses, l)
		return true
	}
	least := slices.MinFunc(r.losses, loss.compareWeight)
	if l.compareWeight(least) <= 0 {
		return false
	}
	r.losses[slices.IndexFunc(r.losses, func(have loss) bool { return have.compareWeight(least) == 0 })] = l
	return true
}

// compareWeight orders losses by how much they say. All instances agree on the order, so that
// they keep the same losses of a request that has many.
func (l loss) compareWeight(other loss) int {
	return cmp.Or(cmp.Compare(l.turn, other.turn), cmp.Compare(l.server.server, other.server.server), cmp.Compare(l.server.started, other.server.started))
}

// ledger holds the records and decides which requests are refused. It is not
// safe for concurrent use, except for answers and index.
type ledger struct {
	// threshold is the number of losses that confirm a crashing request.
	threshold int
	records   map[Fingerprint]*record
	// servers holds the processes of servers with recent losses.
	servers map[process]*serverLosses
	// answers holds the times of the last responses to requests.
	answers *answers
	index   recordIndex
}

func newLedger(threshold int, now time.Time) *ledger {
	return &ledger{
		threshold: threshold,
		records:   make(map[Fingerprint]*record),
		servers:   make(map[process]*serverLosses),
		answers:   newAnswers(now),
	}
}

func (g *ledger) insert(fp Fingerprint) *record {
	g.evictOldest()
	r := &record{}
	g.records[fp] = r
	g.index.bucket(fp).Add(1)
	return r
}

func (g *ledger) remove(fp Fingerprint) {
	if _, ok := g.records[fp]; ok {
		delete(g.records, fp)
		g.index.bucket(fp).Add(-1)
	}
}

// addLoss records a loss. It returns the record, or nil if the loss says nothing new or the
// request has received a response since.
func (g *ledger) addLoss(fp Fingerprint, l loss, now time.Time) *record {
	g.addServerLoss(fp, l, now)
	r := g.records[fp]
	if r == nil {
		// A response that is recorded from now on finds the record in the index.
		r = g.insert(fp)
	}
	if l.turn == 0 {
		l.turn = g.turnOf(fp, r, l)
	}
	if !l.at.After(g.answers.last(fp)) || !g.ran(l) || !r.add(l) {
		if len(r.losses) == 0 {
			g.remove(fp)
		}
		return nil
	}
	g.updateTurns(fp, r)
	if g.standing(fp, r, now) != confirmed {
		r.heldUntil = later(r.heldUntil, now.Add(suspectHold))
		return r
	}
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
		g.markCorrelated(r)
	}
	r.ownConfirmed = r.ownConfirmed || l.own
	if turn := r.turns(); turn > r.periodTurn {
		r.period = min(maxPeriod, max(firstPeriod, 2*r.period))
		r.periodTurn = turn
	}
	r.heldUntil = now.Add(r.period)
	return r
}

// addServerLoss records a loss under its server. It drops the loss if the bounds
// are still reached after old entries were removed.
func (g *ledger) addServerLoss(fp Fingerprint, l loss, now time.Time) {
	lost := g.servers[l.server]
	if lost == nil {
		if len(g.servers) >= maxServers {
			g.sweepServers(now)
		}
		if len(g.servers) >= maxServers {
			return
		}
		lost = &serverLosses{firstAt: l.at, requests: make(map[Fingerprint]time.Time)}
		g.servers[l.server] = lost
	}
	if since := l.at.Sub(lost.firstAt); since > processDownTime || since < 0 && since >= -processDownTime {
		lost.firstAt = l.at
	}
	if len(lost.requests) >= maxLossesPerServer {
		maps.DeleteFunc(lost.requests, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > 2*serverFailureWindow })
	}
	if len(lost.requests) < maxLossesPerServer {
		lost.requests[fp] = l.at
	}
}

// evictOldest drops the record whose last loss is the oldest if the ledger is
// full.
func (g *ledger) evictOldest() {
	if len(g.records) < maxRecords {
		return
	}
	var oldest Fingerprint
	var oldestAt time.Time
	for fp, r := range g.records {
		if at := r.lastLoss(); oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = fp, at
		}
	}
	g.remove(oldest)
}

// answered records a response to the request and drops the losses before it. It returns the
// number of losses dropped. What remains, if the response became known late, is judged anew.
func (g *ledger) answered(fp Fingerprint, at, now time.Time, told bool) int {
	g.answers.add(fp, at, told)
	r := g.records[fp]
	if r == nil {
		return 0
	}
	remaining := slices.DeleteFunc(slices.Clone(r.losses), func(l loss) bool { return !l.at.After(at) })
	dropped := len(r.losses) - len(remaining)
	if dropped == 0 {
		return 0
	}
	g.remove(fp)
	for _, l := range remaining {
		l.turn = 0
		g.addLoss(fp, l, now)
	}
	return dropped
}

// decision is what happens to a request that arrives.
type decision struct {
	standing standing
	// until is the time until which the request is refused; zero if it is not.
	until time.Time
	// trial is set if the request may run as a trial, or one is running, until then.
	trial bool
}

// decide decides about a request. It changes nothing but holds that became obsolete.
func (g *ledger) decide(fp Fingerprint, now time.Time) decision {
	r := g.records[fp]
	if r == nil {
		return decision{}
	}
	d := decision{standing: g.standing(fp, r, now)}
	if d.standing == unsuspected {
		return d
	}
	if d.standing == suspected {
		r.heldUntil = earlier(r.heldUntil, r.lastLoss().Add(suspectHold))
	}
	held := d.standing == confirmed || g.holdsAfterFirst()
	switch {
	case r.trial.runs(now):
		d.until, d.trial = r.trial.until, true
	case held && now.Before(r.heldUntil):
		d.until = r.heldUntil
	case now.Sub(r.heldUntil) > recordRetention+r.period:
		g.remove(fp)
		return decision{}
	default:
		d.trial = true
	}
	return d
}

// allowSecondAttempt reports whether a request that was just lost may be
// attempted on one other server.
func (g *ledger) allowSecondAttempt(fp Fingerprint, now time.Time) bool {
	r := g.records[fp]
	if r == nil {
		return true
	}
	if len(r.losses) >= g.threshold {
		return !g.holdsAfterFirst() && g.standing(fp, r, now) == unsuspected
	}
	if g.answeredRecently(fp, now) {
		return true
	}
	if r.retried && g.holdsAfterFirst() {
		return false
	}
	r.retried = true
	return true
}

// sweep removes expired records and server losses.
func (g *ledger) sweep(now time.Time) {
	for fp, r := range g.records {
		if now.Sub(r.heldUntil) > recordRetention+r.period {
			g.remove(fp)
		}
	}
	g.sweepServers(now)
}

func (g *ledger) sweepServers(now time.Time) {
	for server, lost := range g.servers {
		maps.DeleteFunc(lost.requests, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > recordRetention })
		if len(lost.requests) == 0 {
			delete(g.servers, server)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
