package readings

import (
	"math"
	"time"
)

const (
	// coldPermitTTL is the time after which a permit for a cold server lapses. Half of that
	// of a limit, since the bound holds in any second instead of any four.
	coldPermitTTL = 200 * time.Millisecond
	// coldJitter is the assumed spread of the time from a permit to the arrival at the
	// server: connections that are opened, and delays of the network.
	coldJitter = 100 * time.Millisecond
	// coldRisk bounds the probability that chance alone breaks the bound in a given second.
	// Some 10,000 seconds of a cold server under full demand, in which the instances don't
	// hear each other, are then broken once in a thousand times.
	coldRisk = 1e-7
	// coldShareStep is the change of the end of a warm-up from which the other instances
	// are told.
	coldShareStep = 250 * time.Millisecond
)

// WarmUpLimits bound the requests that all instances together send to a cold server. In any
// second these are at most its rate x Excess + Slack.
type WarmUpLimits struct {
	Excess float64
	// Slack is a number of requests.
	Slack float64
}

// WarmUp is what a server needs after a start. The zero value is a server that is never
// treated as cold.
type WarmUp struct {
	// PerSecond is the number of requests a second that a cold server accepts from all
	// instances together; 0 if it takes any number.
	PerSecond float64
	Limits    WarmUpLimits
	// For is the duration of a warm-up.
	For time.Duration
	// Born is the start of the server in Unix milliseconds, and Until the end of its warm-up
	// by its entry.
	Born  int64
	Until time.Time
}

// ColdSource is how it is known that a server is cold or warm.
type ColdSource string

// Sources.
const (
	ColdByEntry    ColdSource = "entry"
	ColdByCheck    ColdSource = "check"
	ColdByDatagram ColdSource = "datagram"
	// ColdByNoAnswer is a server that left a request or check without an answer.
	ColdByNoAnswer ColdSource = "no answer"
	// ColdByReturn is a server whose data centre returned to service.
	ColdByReturn ColdSource = "return"
)

// ColdHint is what other instances have to know of a cold server, or one that is no longer.
type ColdHint struct {
	Server string
	// Until is the end of the warm-up; the zero time if the server is warm.
	Until time.Time
	// At is when the status check began that said so.
	At time.Time
}

// ColdChange reports that a server turned cold or warm.
type ColdChange struct {
	Server string
	Cold   bool
	// Source is how that is known, At as of when, Until the expected end, if known.
	Source    ColdSource
	At, Until time.Time
	// Requests is the number of requests that this instance sent to the server while it was
	// cold, which lasted for Held; both are set once it is warm.
	Requests int
	Held     time.Duration
}

// warmth is what this instance knows of the warm-up of one server. Times are on the local
// monotonic clock.
type warmth struct {
	permits
	rule WarmUp
	// issued is the number of permits a second of all instances together.
	issued float64
	// server is the ID of the server; born is the start for which the entry was taken in.
	server string
	born   int64
	seen   bool
	// until is the end of the warm-up, as said by source at the time at. A status check is
	// dated back to its start.
	until, at time.Time
	source    ColdSource
	// told is the end of the warm-up that the other instances know of.
	told time.Time
	// suspectedAt is the time from which the server counts as cold until a later status
	// check speaks of it; zero if it does not. suspicion is the cause, answeredAt when it
	// first answered something that was sent later.
	suspectedAt, answeredAt time.Time
	suspicion               ColdSource
	// reported is whether the server was cold at the last call of TakeColdChanges, since
	// reportedAt; requests is the number of requests sent since.
	reported   bool
	reportedAt time.Time
	requests   int
	// assumed keeps the state through the next Retain.
	assumed bool
}

// set sets the rule. The entry counts once for each start of the server: the end that it names
// is computed anew from a remaining time at each read, which may be old.
func (w *warmth) set(server string, rule WarmUp, now time.Time) {
	if rule.PerSecond != w.rule.PerSecond || rule.Limits != w.rule.Limits {
		w.issued = coldRate(rule.PerSecond, rule.Limits)
	}
	w.server, w.rule = server, rule
	if rule.PerSecond <= 0 || w.seen && rule.Born == w.born {
		return
	}
	w.seen, w.born = true, rule.Born
	if rule.Until.After(now) {
		if rule.Until.After(w.until) {
			w.until = rule.Until
		}
		w.at, w.source, w.told = now, ColdByEntry, rule.Until
	}
}

// suspected reports whether the server counts as cold because it did not answer or its data
// centre returned.
func (w *warmth) suspected(now time.Time) bool {
	return !w.suspectedAt.IsZero() && (w.answeredAt.IsZero() || now.Sub(w.answeredAt) < w.rule.For)
}

func (w *warmth) cold(now time.Time) bool {
	return w.rule.PerSecond > 0 && (now.Before(w.until) || w.suspected(now))
}

// suspect records that the server may have become cold at the given time.
func (w *warmth) suspect(source ColdSource, at time.Time) {
	if !at.After(w.at) || !at.After(w.suspectedAt) {
		return
	}
	w.suspectedAt, w.suspicion, w.answeredAt = at, source, time.Time{}
}

// answered records that the server answered what was sent to it at the given time.
func (w *warmth) answered(sent, now time.Time) {
	if !w.suspectedAt.IsZero() && w.answeredAt.IsZero() && sent.After(w.suspectedAt) {
		w.answeredAt = now
	}
}

// learn records what a status check that began at the given time said. A check that began
// before the server did not answer doesn't end the suspicion, and an older one changes nothing:
// learn then returns false.
func (w *warmth) learn(until, began time.Time, source ColdSource) bool {
	if began.Before(w.at) {
		return false
	}
	w.until, w.at, w.source = until, began, source
	if began.After(w.suspectedAt) {
		w.suspectedAt, w.answeredAt = time.Time{}, time.Time{}
	}
	return true
}

// observe records what a status check shows, whether it was answered and, if another instance
// made it, whether the server is warm. When that check began is not known, only that it took no
// longer than checkTimeout.
func (w *warmth) observe(r Reading, own bool) {
	if r.Health == HealthUnreachable {
		w.suspect(ColdByNoAnswer, r.HealthAt)
		return
	}
	if own {
		return
	}
	began := r.HealthAt.Add(-checkTimeout)
	w.answered(began, r.HealthAt)
	if r.Warm && w.learn(time.Time{}, began, ColdByDatagram) {
		w.told = time.Time{}
	}
}

// available reports whether this instance may send a request now to the server, which is cold.
func (w *warmth) available(instances int, now time.Time) bool {
	return w.permits.available(permitRule{allowed: w.rule.PerSecond, issued: w.issued, ttl: coldPermitTTL}, instances, now)
}

// take uses a permit for a request.
func (w *warmth) take(now time.Time) {
	w.requests++
	w.countSent(1, w.rule.PerSecond, now)
	w.use()
}

// hint returns what a new instance has to know of the server, which is cold.
func (w *warmth) hint(now time.Time) ColdHint {
	hint := ColdHint{Server: w.server, Until: w.until, At: w.at}
	if w.suspected(now) {
		hint.At = w.suspectedAt
		if end := now.Add(w.rule.For); end.After(hint.Until) {
			hint.Until = end
		}
	}
	return hint
}

// coldRate returns the number of permits a second for a cold server of all instances together:
// as for a limit, or fewer if chance would otherwise break the bound of a second. The requests
// that arrive in a second had their permits in that second, the time before in which permits
// don't lapse, and the spread on the way.
func coldRate(perSecond float64, limits WarmUpLimits) float64 {
	if perSecond <= 0 {
		return 0
	}
	most := math.Floor(perSecond*limits.Excess + limits.Slack)
	span := (time.Second + coldPermitTTL + coldJitter).Seconds()
	low, high := 0.0, requestShare*perSecond
	if poissonTail(high*span, most) <= coldRisk {
		return high
	}
	for range 50 {
		if middle := (low + high) / 2; poissonTail(middle*span, most) <= coldRisk {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// poissonTail returns the probability that a Poisson variable exceeds most.
func poissonTail(mean, most float64) float64 {
	if mean <= 0 {
		return 0
	}
	if mean > most {
		return 1
	}
	lgamma, _ := math.Lgamma(most + 2)
	term, sum := math.Exp((most+1)*math.Log(mean)-mean-lgamma), 0.0
	for k := most + 1; term > sum*1e-12; k++ {
		sum += term
		term *= mean / (k + 1)
	}
	return sum
}

// LoadWarming returns the state of a server that may be cold. It records the server's warm-up,
// by which [Board.Load] and the other methods judge from then on.
func (b *Board) LoadWarming(server string, warmUp WarmUp, now time.Time) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.setWarmUpLocked(server, warmUp, now).load(b, now)
}

// SetWarmUp records the server's warm-up.
func (b *Board) SetWarmUp(server string, warmUp WarmUp, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setWarmUpLocked(server, warmUp, now)
}

// setWarmUpLocked records the server's warm-up and returns the state of the server, which is
// nil if nothing is known of it. It does little for servers without a warm-up, since it is
// called for each server that a request may choose.
func (b *Board) setWarmUpLocked(server string, warmUp WarmUp, now time.Time) *state {
	key := KeyOf(server)
	s := b.servers[key]
	if warmUp.PerSecond <= 0 && (s == nil || s.warmth.rule.PerSecond <= 0) {
		return s
	}
	if s == nil {
		s = b.stateLocked(key)
	}
	s.warmth.set(server, warmUp, now)
	return s
}

// warmsUp reports whether requests to the server are limited while it is cold.
func (b *Board) warmsUp(server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[KeyOf(server)]
	return s != nil && s.warmth.rule.PerSecond > 0
}

// RecordWarmth records what the response to a status check said at the given time of the
// server's warm-up. It returns a hint if the other instances have to know of it.
func (b *Board) RecordWarmth(server string, notice Notice, now time.Time) (ColdHint, bool) {
	if !notice.WarmthKnown {
		return ColdHint{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &b.stateLocked(KeyOf(server)).warmth
	w.server = server
	before, suspected := w.cold(now), w.suspected(now)
	hint := ColdHint{Server: server, At: notice.Began}
	if notice.ColdFor > 0 {
		hint.Until = now.Add(notice.ColdFor)
	}
	w.learn(hint.Until, notice.Began, ColdByCheck)
	moved := hint.Until.Sub(w.told).Abs() > coldShareStep
	changed := notice.ColdFor > 0 && (moved || suspected) || notice.ColdFor == 0 && before
	if !changed || w.rule.PerSecond <= 0 || !w.at.Equal(notice.Began) || w.suspected(now) {
		// An answer to a check that began before the suspicion is no news either.
		return ColdHint{}, false
	}
	w.told = hint.Until
	return hint, true
}

// ReceiveCold records what a status check of another instance said.
func (b *Board) ReceiveCold(hint ColdHint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &b.stateLocked(KeyOf(hint.Server)).warmth
	w.server = hint.Server
	if w.learn(hint.Until, hint.At, ColdByDatagram) {
		w.told = hint.Until
	}
}

// AnsweredTo records that the server answered a request or check that was sent to it at the
// given time.
func (b *Board) AnsweredTo(server string, sent, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[KeyOf(server)]; s != nil {
		s.warmth.answered(sent, now)
	}
}

// SuspectCold records that the server left a request without an answer: it may have restarted
// at the given time, and counts as cold until a status check that began later says that it is
// warm, but no longer than a warm-up after it has answered again.
func (b *Board) SuspectCold(server string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateLocked(KeyOf(server)).warmth.suspect(ColdByNoAnswer, at)
}

// AssumeCold records that the servers may be cold since the given time because their data
// centre returned to service. They count as cold like those of [Board.SuspectCold]. It may be
// called before the servers are in use again.
func (b *Board) AssumeCold(servers []string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, server := range servers {
		w := &b.stateLocked(KeyOf(server)).warmth
		w.suspect(ColdByReturn, at)
		w.assumed = true
	}
}

// ColdServers returns the servers that are cold.
func (b *Board) ColdServers(now time.Time) []ColdHint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var hints []ColdHint
	for _, s := range b.servers {
		if s.warmth.cold(now) {
			hints = append(hints, s.warmth.hint(now))
		}
	}
	return hints
}

// TakeColdChanges returns the servers that have turned cold or warm since the last call, and
// the number of cold ones.
func (b *Board) TakeColdChanges(now time.Time) (changes []ColdChange, cold int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		w := &s.warmth
		isCold := w.cold(now)
		if isCold {
			cold++
		}
		if isCold == w.reported {
			continue
		}
		change := ColdChange{Server: w.server, Cold: isCold, Source: w.source, At: w.at, Until: w.until}
		if w.suspected(now) {
			change.Source, change.At, change.Until = w.suspicion, w.suspectedAt, time.Time{}
		} else if !isCold && !w.suspectedAt.IsZero() {
			change.Source, change.At = w.suspicion, w.suspectedAt
		}
		if !isCold {
			change.Requests, change.Held = w.requests, now.Sub(w.reportedAt)
			w.requests = 0
		}
		w.reported, w.reportedAt = isCold, now
		changes = append(changes, change)
	}
	return changes, cold
}

// ColdSends returns how many requests this instance has sent to cold servers.
func (b *Board) ColdSends() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.coldRequests
}
