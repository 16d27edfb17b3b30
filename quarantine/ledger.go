package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// suspectHold is how long a request is held back after each loss that does
	// not confirm it, and during a trial.
	suspectHold = 2 * time.Second
	// firstPeriod is the first quarantine period. Each further loss doubles
	// the period, up to maxPeriod.
	firstPeriod = 5 * time.Minute
	maxPeriod   = 24 * time.Hour
	// recordRetention and the record's quarantine period together are how long
	// a record is kept after its hold expired. It is also how long losses are
	// kept per server, and the maximum age of a loss in a peer's message.
	recordRetention = 10 * time.Minute
	// sameCrashWindow is the time within which losses of a request on one
	// server count as one crash.
	sameCrashWindow = 500 * time.Millisecond
	// A server that lost serverFailureRequests different requests within
	// serverFailureWindow of a loss is taken to have failed independently of
	// the request.
	serverFailureWindow   = time.Second
	serverFailureRequests = 3
	// If correlatedRequests requests reach their confirming loss within
	// correlatedWindow, several servers are taken to have failed together, and
	// each of the requests needs one more loss.
	correlatedWindow   = 2 * time.Second
	correlatedRequests = 3
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

// loss is a connection to a server that broke while a request was in flight.
type loss struct {
	id     uint64
	server string
	at     time.Time
}

// record is the state of one request with losses.
type record struct {
	losses []loss
	// heldUntil is the end of the current hold or quarantine period.
	heldUntil time.Time
	// period is the current quarantine period; 0 before the request is
	// confirmed.
	period time.Duration
	// confirmedAt is when the request first reached the threshold; zero before.
	confirmedAt time.Time
	// correlated is set if several requests reached the threshold at about the
	// same time.
	correlated bool
	// retried is set once this instance allowed a second attempt.
	retried bool
}

func (r *record) lastLoss() time.Time {
	var last time.Time
	for _, l := range r.losses {
		if l.at.After(last) {
			last = l.at
		}
	}
	return last
}

// isDuplicate reports whether the loss belongs to a crash that is already
// recorded, or is older than all losses of a full record.
func (r *record) isDuplicate(l loss) bool {
	if len(r.losses) == maxLosses && l.at.Before(r.losses[0].at) {
		return true
	}
	return slices.ContainsFunc(r.losses, func(have loss) bool {
		return have.id == l.id || have.server == l.server && have.at.Sub(l.at).Abs() < sameCrashWindow
	})
}

// ledger holds the records and decides which requests are refused. It is not
// safe for concurrent use.
type ledger struct {
	// threshold is the number of losses that confirm a crashing request.
	threshold int
	records   map[Fingerprint]*record
	// byServer holds, per server, the time of the latest loss of each request.
	byServer map[string]map[Fingerprint]time.Time
	// completed holds the requests that received a response recently.
	completed recentSet
}

func newLedger(threshold int) *ledger {
	return &ledger{
		threshold: threshold,
		records:   make(map[Fingerprint]*record),
		byServer:  make(map[string]map[Fingerprint]time.Time),
	}
}

// addLoss records a loss and returns the record, or nil if the loss is a
// duplicate.
func (g *ledger) addLoss(fp Fingerprint, l loss, now time.Time) *record {
	g.addServerLoss(fp, l, now)
	r := g.records[fp]
	if r == nil {
		g.evictOldest()
		r = &record{}
		g.records[fp] = r
	}
	if r.isDuplicate(l) {
		return nil
	}
	if len(r.losses) == maxLosses {
		r.losses = r.losses[1:]
	}
	r.losses = append(r.losses, l)
	if len(r.losses) < g.threshold {
		r.heldUntil = now.Add(suspectHold)
		return r
	}
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
		g.markCorrelated(r)
	}
	r.period = min(maxPeriod, max(firstPeriod, 2*r.period))
	r.heldUntil = now.Add(r.period)
	return r
}

// addServerLoss records a loss under its server. It drops the loss if the bounds
// are still reached after old entries were removed.
func (g *ledger) addServerLoss(fp Fingerprint, l loss, now time.Time) {
	lost := g.byServer[l.server]
	if lost == nil {
		if len(g.byServer) >= maxServers {
			g.sweepServers(now)
		}
		if len(g.byServer) >= maxServers {
			return
		}
		lost = make(map[Fingerprint]time.Time)
		g.byServer[l.server] = lost
	}
	if len(lost) >= maxLossesPerServer {
		maps.DeleteFunc(lost, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > 2*serverFailureWindow })
	}
	if len(lost) < maxLossesPerServer {
		lost[fp] = l.at
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
	delete(g.records, oldest)
}

// clear removes the record of a request that received a response and reports
// whether there was one.
func (g *ledger) clear(fp Fingerprint, now time.Time) bool {
	g.completed.add(fp, now)
	if _, ok := g.records[fp]; !ok {
		return false
	}
	delete(g.records, fp)
	return true
}

// refusal returns how long the request is to be refused; zero allows it. If the
// hold has expired, it allows the request as a trial, starts a new hold for all
// later requests and returns trial as true.
func (g *ledger) refusal(fp Fingerprint, now time.Time) (wait time.Duration, trial bool) {
	r := g.records[fp]
	if r == nil {
		return 0, false
	}
	if len(r.losses) < g.requiredLosses(r) && (g.threshold > defaultLosses || g.exempt(fp, r, now)) {
		return 0, false
	}
	if now.Before(r.heldUntil) {
		return g.remainingHold(r, now), false
	}
	if now.Sub(r.heldUntil) > recordRetention+r.period {
		delete(g.records, fp)
		return 0, false
	}
	r.heldUntil = now.Add(suspectHold)
	return 0, true
}

// remainingHold returns how long the request is still refused, at least 1 ms.
// If the request needs a further loss to be confirmed, it shortens the hold to
// suspectHold after the last loss.
func (g *ledger) remainingHold(r *record, now time.Time) time.Duration {
	if len(r.losses) < g.requiredLosses(r) {
		r.heldUntil = earlier(r.heldUntil, r.lastLoss().Add(suspectHold))
	}
	return max(time.Millisecond, r.heldUntil.Sub(now))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// requiredLosses returns the number of losses that confirm the request.
func (g *ledger) requiredLosses(r *record) int {
	if r.correlated {
		return g.threshold + 1
	}
	return g.threshold
}

// markCorrelated marks the requests that reached the threshold at about the same
// time as r, if there are at least correlatedRequests of them.
func (g *ledger) markCorrelated(r *record) {
	var together []*record
	for _, other := range g.records {
		if !other.confirmedAt.IsZero() && other.confirmedAt.Sub(r.confirmedAt).Abs() <= correlatedWindow {
			together = append(together, other)
		}
	}
	if len(together) < correlatedRequests {
		return
	}
	for _, other := range together {
		other.correlated = true
	}
}

// exempt reports whether an unconfirmed request need not be held back, because
// it received a response recently or all its losses are due to servers that
// failed independently.
func (g *ledger) exempt(fp Fingerprint, r *record, now time.Time) bool {
	if g.completed.contains(fp, now) {
		return true
	}
	return !slices.ContainsFunc(r.losses, func(l loss) bool { return !g.serverFailed(l) })
}

// serverFailed reports whether the server lost several different requests at
// about the time of the loss and so failed independently of this one.
func (g *ledger) serverFailed(l loss) bool {
	requests := 0
	for _, at := range g.byServer[l.server] {
		if at.Sub(l.at).Abs() <= serverFailureWindow {
			requests++
		}
	}
	return requests >= serverFailureRequests
}

// allowSecondAttempt reports whether a request that was just lost may be
// attempted on one other server.
func (g *ledger) allowSecondAttempt(fp Fingerprint, now time.Time) bool {
	r := g.records[fp]
	if r == nil {
		return true
	}
	if len(r.losses) >= g.threshold {
		return false
	}
	if g.completed.contains(fp, now) {
		return true
	}
	if r.retried && g.threshold == defaultLosses {
		return false
	}
	r.retried = true
	return true
}

// sweep removes expired records and server losses.
func (g *ledger) sweep(now time.Time) {
	for fp, r := range g.records {
		if now.Sub(r.heldUntil) > recordRetention+r.period {
			delete(g.records, fp)
		}
	}
	g.sweepServers(now)
}

func (g *ledger) sweepServers(now time.Time) {
	for server, lost := range g.byServer {
		maps.DeleteFunc(lost, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > recordRetention })
		if len(lost) == 0 {
			delete(g.byServer, server)
		}
	}
}
