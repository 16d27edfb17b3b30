package quarantine

import (
	"slices"
	"time"
)

const (
	// sameCrashWindow is the time within which losses on one server whose start is not
	// known count as one crash.
	sameCrashWindow = 500 * time.Millisecond
	// processDownTime is the time within which losses at one process of a server belong to the
	// same failure. A process that is in use later was not reachable, but has not crashed.
	processDownTime = 5 * time.Second
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
	// turnsToConfirm is the number of turns that confirm a request, sufficientTurns the number
	// if other servers were lost each time. A request that servers survived before needs one
	// more.
	turnsToConfirm, sufficientTurns = 2, 3
	// turnGap is the time in which a server that failed is known to be down.
	turnGap = 500 * time.Millisecond
	// commonCauseWindow is the time within which losses on different servers may have the same
	// cause.
	commonCauseWindow = time.Second
	// recentAnswer is the time for which a response speaks for a request that is lost
	// later.
	recentAnswer = 30 * time.Second
)

// standing is what the losses of a request say about it.
type standing int

const (
	// unsuspected requests run as others do.
	unsuspected standing = iota
	// suspected requests run one at a time in the whole fleet, until one receives a
	// response or is lost.
	suspected
	// confirmed requests are refused.
	confirmed
)

func (s standing) String() string { return [...]string{"unsuspected", "suspected", "confirmed"}[s] }

// process is one process of a server.
type process struct {
	server string
	// started tells the processes of a server apart; 0 if it is not known.
	started int64
}

// loss is an attempt without a whole response that was open at a server when that went down.
type loss struct {
	id     uint64
	server process
	// sent and at are when the request was sent and when the server went down, at the latest.
	sent, at time.Time
	// own is set if the attempt was one of this instance. knownAt is when this instance
	// could first tell that the request was lost.
	own     bool
	knownAt time.Time
	// turn is the length of the longest chain of losses in which each run of the request
	// began after its instance knew of the loss before. Losses of one moment have the same
	// turn.
	turn int
	// toldExplained is set if a peer knows of another server that was lost at about the same
	// time, although the request was not lost there.
	toldExplained bool
}

// sameCrash reports whether two losses are due to the same crash of a server: those at one process
// within processDownTime, or within sameCrashWindow if its start is not known. Requests that it ran
// at the same time were lost together, however late an instance noticed.
func (l loss) sameCrash(other loss) bool {
	window := sameCrashWindow
	if l.server.started != 0 {
		window = processDownTime
	}
	switch {
	case l.server != other.server:
		return false
	case l.at.Sub(other.at).Abs() < window:
		return true
	}
	return !l.sent.After(other.at) && !other.sent.After(l.at)
}

// updateTurns sets the turns of the losses of this instance. They become known in any order,
// since a server is checked before its losses count.
func (g *ledger) updateTurns(fp Fingerprint, r *record) {
	for range r.losses {
		changed := false
		for i := range r.losses {
			if l := &r.losses[i]; l.own {
				turn := g.turnOf(fp, r, *l)
				changed = changed || turn > l.turn
				l.turn = max(l.turn, turn)
			}
		}
		if !changed {
			return
		}
	}
}

func (g *ledger) turnOf(fp Fingerprint, r *record, l loss) int {
	turn, gap := 0, g.turnGap(fp, r, l)
	for _, known := range r.losses {
		if !known.knownAt.After(l.sent) && !known.at.Add(gap).After(l.sent) && !known.sameCrash(l) && g.ran(known) {
			turn = max(turn, known.turn)
		}
	}
	return turn + 1
}

// turnGap returns the least time between a loss and a run that belongs to another turn. A request
// that is sent again at once may meet a server that was lost in the same failure. If two losses
// confirm, this matters only for requests that servers are known to survive and those that many
// servers ran at once: others would cost a third server.
func (g *ledger) turnGap(fp Fingerprint, r *record, l loss) time.Duration {
	others := 0
	for _, have := range r.losses {
		if !have.sameCrash(l) {
			others++
		}
	}
	last := g.answers.last(fp)
	answered := !last.IsZero() && l.sent.Sub(last) <= recentAnswer
	if g.holdsAfterFirst() && !answered && others <= 1 {
		return 0
	}
	return turnGap
}

// ran reports whether the server can have run the request. It can't if it had crashed before
// the request was sent. The times of a peer's loss are late by the transit of its message.
func (g *ledger) ran(l loss) bool {
	crash := g.servers[l.server]
	if crash == nil || l.server.started == 0 {
		return true
	}
	sent := l.sent
	if !l.own {
		sent = sent.Add(-transitTolerance)
	}
	return !sent.After(crash.firstAt)
}

// explained reports whether the loss may have a cause other than the request: another request
// that is confirmed to crash servers was lost in the same crash, or a server at which this one was
// not lost was lost at about the same time.
func (g *ledger) explained(fp Fingerprint, r *record, l loss) bool {
	if crash := g.servers[l.server]; crash != nil {
		for other, at := range crash.requests {
			if known := g.records[other]; known != nil && known.period > 0 && at.Sub(l.at).Abs() <= commonCauseWindow && g.lostElsewhere(known, fp, r) {
				return true
			}
		}
	}
	for server, crash := range g.servers {
		if !g.wasLostAt(fp, r, server, l.at) && crash.near(l.at, commonCauseWindow) > 0 {
			return true
		}
	}
	return false
}

// lostElsewhere reports whether a request has losses at servers at which another was not lost.
func (g *ledger) lostElsewhere(r *record, other Fingerprint, otherRecord *record) bool {
	return slices.ContainsFunc(r.losses, func(l loss) bool { return !g.wasLostAt(other, otherRecord, l.server, l.at) })
}

// wasLostAt reports whether the request was lost in the failure of a server at the given time, even
// if it has received a response since.
func (g *ledger) wasLostAt(fp Fingerprint, r *record, server process, at time.Time) bool {
	if crash := g.servers[server]; crash != nil {
		if lostAt, ok := crash.requests[fp]; ok && lostAt.Sub(at).Abs() <= processDownTime {
			return true
		}
	}
	return slices.ContainsFunc(r.losses, func(l loss) bool { return l.server == server && l.at.Sub(at).Abs() <= processDownTime })
}

// standing judges a request by its losses. Losses of one moment may have one cause beside the
// request, so any number of them only make it suspected. To be confirmed, it has to be lost
// once more in a run that began when the earlier losses were known, and at a moment when no
// other server was lost; or, in case others are lost each time, in a longer series.
func (g *ledger) standing(fp Fingerprint, r *record, now time.Time) standing {
	crashes, turns, turnsAlone := 0, 0, 0
	for _, l := range r.losses {
		if !g.ran(l) {
			continue
		}
		crashes++
		turns = max(turns, l.turn)
		if !l.toldExplained && !g.explained(fp, r, l) {
			turnsAlone = max(turnsAlone, l.turn)
		}
	}
	required, more := g.requiredLosses(r), 0
	if g.answeredBefore(fp, r) {
		more = 1
	}
	switch {
	case crashes >= required && (turnsAlone >= turnsToConfirm+more || turns >= sufficientTurns+more+required-g.threshold):
		return confirmed
	case crashes == 0, crashes < g.threshold && !g.holdsAfterFirst():
		return unsuspected
	case (crashes < g.threshold || r.correlated) && g.holdsAfterFirst() && g.exempt(fp, r, now):
		return unsuspected
	}
	return suspected
}

// holdsAfterFirst reports whether requests are held back from their first loss on.
func (g *ledger) holdsAfterFirst() bool { return g.threshold <= defaultLosses }

// requiredLosses returns the number of losses that confirm the request.
func (g *ledger) requiredLosses(r *record) int {
	if r.correlated {
		return g.threshold + 1
	}
	return g.threshold
}

// markCorrelated marks the requests that were confirmed at about the same time as r, if
// there are at least correlatedRequests of them.
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

// exempt reports whether a request need not be held back after its first losses, because
// it received a response recently or all its losses are due to servers that
// failed independently.
func (g *ledger) exempt(fp Fingerprint, r *record, now time.Time) bool {
	if g.answeredRecently(fp, now) {
		return true
	}
	for _, l := range r.losses {
		if !g.serverFailed(l) {
			return false
		}
	}
	return true
}

// answeredBefore reports whether the request received a response not long before its first loss.
func (g *ledger) answeredBefore(fp Fingerprint, r *record) bool {
	last := g.answers.last(fp)
	return !last.IsZero() && r.firstLoss().Sub(last) <= recentAnswer
}

func (g *ledger) answeredRecently(fp Fingerprint, now time.Time) bool {
	last := g.answers.last(fp)
	return !last.IsZero() && now.Sub(last) <= recentAnswer
}

// serverFailed reports whether the server lost several different requests at
// about the time of the loss and so failed independently of this one.
func (g *ledger) serverFailed(l loss) bool {
	crash := g.servers[l.server]
	return crash != nil && crash.near(l.at, serverFailureWindow) >= serverFailureRequests
}

// serverLosses are the requests that one process of a server lost recently.
type serverLosses struct {
	// firstAt is the time of the first loss in the latest failure.
	firstAt time.Time
	// requests holds the time of the latest loss of each request.
	requests map[Fingerprint]time.Time
}

// near returns the number of requests lost within the given time of at.
func (s *serverLosses) near(at time.Time, window time.Duration) int {
	n := 0
	for _, lostAt := range s.requests {
		if lostAt.Sub(at).Abs() <= window {
			n++
		}
	}
	return n
}
