package readings

import (
	"math"
	"sync"
	"time"
)

// Health is the result of the last status check of a server.
type Health int

// Health states.
const (
	HealthUnknown Health = iota
	HealthGood
	HealthBad
	// HealthUnreachable means that the check got no response.
	HealthUnreachable
)

// ServerKey identifies a server by a hash of its ID. Datagrams carry it in place of the
// ID, which is several times as long. Two of 1,000 servers have the same key in one of two
// million fleets; each then gets the readings of both.
type ServerKey uint64

// keyBits is the number of bits of a [ServerKey].
const keyBits = 40

// KeyOf returns the key of the server with the given ID.
func KeyOf(id string) ServerKey {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * prime
	}
	return ServerKey((h ^ h>>keyBits) & (1<<keyBits - 1))
}

// NormalSlowdownPercent is the slowdown, in percent, of a machine without other load.
const NormalSlowdownPercent = 100

const (
	// failureHalfLife is the half-life of the weight of a past result.
	failureHalfLife = 1500 * time.Millisecond
	// failurePrior is the number of successful results that every server is
	// assumed to have, so that one without recent results counts as healthy.
	failurePrior = 3.0
	// maxEvents bounds the request events kept per server. Only those newer
	// than the last report matter, which are far fewer.
	maxEvents = 64
)

// Report is the load that a server reports about itself.
type Report struct {
	// Running and Waiting are numbers of requests; Slots is the number that the
	// server can run concurrently.
	Running, Waiting, Slots int
	// SlowdownPercent is the slowdown factor in percent: the time that work currently
	// takes, relative to an unloaded machine.
	SlowdownPercent int
}

// Reading is the observed state of a server: its health and, if HasReport is set, its
// load report. Times are on the local monotonic clock.
type Reading struct {
	Server ServerKey
	Report
	// HasReport reports whether Report is set, and At is when the report arrived.
	HasReport bool
	At        time.Time
	// Health is the result of the last status check, unless it is HealthUnknown, and
	// HealthAt is when that check ended.
	Health   Health
	HealthAt time.Time
	// Warm reports whether that check said that the server is warm.
	Warm bool
}

// newest returns the time of the newer of the report and the check.
func (r Reading) newest() time.Time {
	if r.HealthAt.After(r.At) {
		return r.HealthAt
	}
	return r.At
}

// Notice is what a server says in an answer about requests to come.
type Notice struct {
	// Leaving is set if the server leaves and wants no further requests.
	Leaving bool
	// Quiet is the time for which the server wants nothing from this instance; 0 if it
	// asked for no such time.
	Quiet time.Duration
	// Limit is the rate of requests that the server takes from all instances.
	Limit Limit
	// WarmthKnown is set if the answer says whether the server is cold, ColdFor is how
	// long it stays so.
	WarmthKnown bool
	ColdFor     time.Duration
	// Began is when the status check was sent that the server answers. The receiver of the
	// answer sets it.
	Began time.Time
}

// Results counts the attempts at one server by outcome.
type Results struct {
	Server       ServerKey
	Good, Failed int
}

// Load is the state of one server that routing decisions are based on.
type Load struct {
	Report
	Health Health
	// HealthAt is when the status check that determined Health ended.
	HealthAt time.Time
	// AliveAt is when the server last answered any instance, as far as this one knows. DownSince
	// is when the first status check since then ended without an answer, or zero.
	AliveAt, DownSince time.Time
	// Age is the age of the report. HasReport reports whether there is one.
	Age       time.Duration
	HasReport bool
	// OwnInFlight is the number of in-flight requests of this instance at the server.
	OwnInFlight int
	// UnreportedInFlight is the net change in this instance's in-flight requests since the
	// report, which the report therefore does not include.
	UnreportedInFlight int
	// FailureRate is the fraction, from 0 to 1, of the recent attempts at all
	// instances that failed.
	FailureRate float64
	// QuietUntil is the time until which the server wants nothing from this instance.
	QuietUntil time.Time
	// Limit is the rate of requests that the server takes from all instances, and Cold
	// reports whether the server is cold and takes requests at the rate of its warm-up.
	// Permitted reports whether these leave room for a request of this instance now, and
	// ColdRate is the number of requests a second that this instance may send to a cold one.
	Limit     Limit
	Cold      bool
	ColdRate  float64
	Permitted bool
}

// Limited reports whether the server gets only the requests for which this instance has
// permits of its own.
func (l Load) Limited() bool { return l.Limit.Named || l.Cold }

// Quiet reports whether the server wants nothing from this instance at the given time.
func (l Load) Quiet(now time.Time) bool { return now.Before(l.QuietUntil) }

// NoneUntil returns the time until which the server takes nothing from this instance, as far
// as it is known, or a time that is not after now.
func (l Load) NoneUntil(now time.Time) time.Time {
	if l.Limit.Named && l.Limit.PerSecond == 0 {
		return now.Add(maxLimitedCheckInterval)
	}
	return l.QuietUntil
}

// event is the start (delta 1) or end (delta -1) of a request of this instance.
type event struct {
	at    time.Time
	delta int
}

type state struct {
	reading            Reading
	aliveAt, downSince time.Time
	// readingUnshared is set while the reading still has to be sent to other
	// instances. queued is set while the server is in the board's shareQueue.
	readingUnshared bool
	queued          bool
	// readingHeld and heldFailed are a failed status check and the number of requests
	// without an answer that other instances are not told of yet.
	readingHeld bool
	heldFailed  int
	ownInFlight int
	quietUntil  time.Time
	limit       limitState
	warmth      warmth
	events      []event
	good        float64
	failed      float64
	// decayed is when the decay of good and failed was last applied.
	decayed time.Time
	// unsharedGood and unsharedFailed count the results to send with the next
	// datagram.
	unsharedGood, unsharedFailed int
}

// Board holds the load and health of all servers. It is safe for concurrent use.
type Board struct {
	mu      sync.Mutex
	servers map[ServerKey]*state
	// shareQueue lists the servers with readings or results that may still have
	// to be sent to other instances.
	shareQueue []ServerKey
	// instances returns the number of instances among which the limits of servers are
	// shared.
	instances func() int
	links     links
	// limitedRequests and limitedChecks count what was sent to servers that named a limit.
	limitedRequests, limitedChecks uint64
	// coldRequests counts the requests sent to cold servers.
	coldRequests uint64
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{servers: make(map[ServerKey]*state), instances: func() int { return 1 }}
}

func (b *Board) stateLocked(server ServerKey) *state {
	s := b.servers[server]
	if s == nil {
		s = &state{}
		b.servers[server] = s
	}
	return s
}

// queueLocked queues a server whose reading or results have to be sent to other
// instances.
func (b *Board) queueLocked(server ServerKey, s *state) {
	if !s.queued {
		s.queued = true
		b.shareQueue = append(b.shareQueue, server)
	}
}

// Observe records a reading made by this instance, which is then shared with other
// instances.
func (b *Board) Observe(r Reading) { b.observe(r, true) }

// Receive records a reading made by another instance.
func (b *Board) Receive(r Reading) { b.observe(r, false) }

func (b *Board) observe(r Reading, own bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateLocked(r.Server)
	newReport := r.HasReport && !r.At.Before(s.reading.At)
	newHealth := r.Health != HealthUnknown && !r.HealthAt.Before(s.reading.HealthAt)
	if !newReport && !newHealth {
		return
	}
	s.reading.Server = r.Server
	if newReport {
		s.reading.Report, s.reading.HasReport, s.reading.At = r.Report, true, r.At
		s.alive(r.At)
	}
	if newHealth {
		s.reading.Health, s.reading.HealthAt, s.reading.Warm = r.Health, r.HealthAt, r.Warm
		s.warmth.observe(r, own)
		if r.Health != HealthUnreachable {
			s.alive(r.HealthAt)
		} else if s.downSince.IsZero() {
			s.downSince = r.HealthAt
		}
	}
	switch {
	case own && r.Health == HealthUnreachable:
		s.readingHeld = true
		b.links.missed(r.Server, len(b.servers), r.HealthAt)
	case own:
		s.readingUnshared, s.readingHeld = true, false
		b.queueLocked(r.Server, s)
	default:
		s.readingUnshared, s.readingHeld = false, false
	}
}

// alive records that the server answered at the given time.
func (s *state) alive(at time.Time) {
	if at.After(s.aliveAt) {
		s.aliveAt = at
	}
	if s.aliveAt.After(s.downSince) {
		s.downSince = time.Time{}
	}
}

// KeepQuiet records that the server wants nothing from this instance until the given time.
func (b *Board) KeepQuiet(server string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.stateLocked(KeyOf(server)); until.After(s.quietUntil) {
		s.quietUntil = until
	}
}

// QuietUntil returns the time until which the server wants nothing from this instance, or
// the zero time.
func (b *Board) QuietUntil(server string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[KeyOf(server)]; s != nil {
		return s.quietUntil
	}
	return time.Time{}
}

// Began records that this instance sent a request to the server.
func (b *Board) Began(server string, now time.Time) { b.addEvent(server, now, 1) }

// Ended records the end of a request recorded by [Board.Began].
func (b *Board) Ended(server string, now time.Time) { b.addEvent(server, now, -1) }

func (b *Board) addEvent(server string, now time.Time, delta int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateLocked(KeyOf(server))
	s.ownInFlight += delta
	b.links.count(delta, now)
	if delta > 0 && s.limit.Named {
		s.limit.take(now)
		b.limitedRequests++
	}
	if delta > 0 && s.warmth.cold(now) {
		s.warmth.take(now)
		b.coldRequests++
	}
	if len(s.events) == maxEvents {
		s.events = append(s.events[:0], s.events[1:]...)
	}
	s.events = append(s.events, event{at: now, delta: delta})
}

// Result records whether an attempt of this instance failed. The result is shared
// with other instances.
func (b *Board) Result(server string, failed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := KeyOf(server)
	s := b.stateLocked(key)
	b.queueLocked(key, s)
	s.decay(now)
	if failed {
		s.failed++
		s.unsharedFailed++
		return
	}
	s.good++
	s.unsharedGood++
}

// ReceiveResults adds the results of another instance.
func (b *Board) ReceiveResults(r Results, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateLocked(r.Server)
	s.decay(now)
	s.good += float64(r.Good)
	s.failed += float64(r.Failed)
	if s.limit.Named {
		s.limit.countSent(r.Good+r.Failed, s.limit.PerSecond, now)
	}
	if s.warmth.cold(now) {
		s.warmth.countSent(r.Good+r.Failed, s.warmth.rule.PerSecond, now)
	}
}

func (s *state) decay(now time.Time) {
	if elapsed := now.Sub(s.decayed); elapsed > 0 {
		keep := math.Exp2(-float64(elapsed) / float64(failureHalfLife))
		s.good *= keep
		s.failed *= keep
		s.decayed = now
	}
}

// Load returns the state of a server at the given time. Of a server that is not known it
// says only that requests are permitted.
func (b *Board) Load(server string, now time.Time) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.servers[KeyOf(server)].load(b, now)
}

// load returns the state of a server, of which nothing is known if s is nil.
func (s *state) load(b *Board, now time.Time) Load {
	if s == nil {
		return Load{Permitted: true}
	}
	s.decay(now)
	load := Load{
		Report:      s.reading.Report,
		Health:      s.reading.Health,
		HealthAt:    s.reading.HealthAt,
		AliveAt:     s.aliveAt,
		DownSince:   s.downSince,
		HasReport:   s.reading.HasReport,
		Age:         now.Sub(s.reading.At),
		OwnInFlight: s.ownInFlight,
		QuietUntil:  s.quietUntil,
		Limit:       s.limit.Limit,
		Permitted:   !s.limit.Named || s.limit.permitted(b.instances(), now),
		Cold:        s.warmth.cold(now),
		FailureRate: s.failed / (s.good + s.failed + failurePrior),
	}
	if load.Cold {
		instances := b.instances()
		load.ColdRate = s.warmth.issued / float64(max(instances, 1))
		load.Permitted = load.Permitted && s.warmth.available(instances, now)
	}
	load.UnreportedInFlight = s.unreported()
	return load
}

// unreported returns the net change in this instance's in-flight requests since the report.
func (s *state) unreported() int {
	sum := 0
	for _, e := range s.events {
		if e.at.After(s.reading.At) {
			sum += e.delta
		}
	}
	return sum
}

// shared returns the reading for other instances, with the requests that this instance has sent
// since the report. The instance that gets a response is the first to know of the free slot and
// often uses it before the reading is sent; without these requests, the others would use the
// same slot.
func (s *state) shared() Reading {
	r := s.reading
	if r.HasReport {
		r.Running = max(r.Running+s.unreported(), 0)
	}
	return r
}

// TakeUnshared returns the readings and results that this instance recorded since
// the last call.
func (b *Board) TakeUnshared() ([]Reading, []Results) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var readings []Reading
	var results []Results
	for _, server := range b.shareQueue {
		s := b.servers[server]
		if s == nil || !s.queued {
			continue
		}
		s.queued = false
		if s.readingUnshared && !s.readingHeld {
			s.readingUnshared = false
			readings = append(readings, s.shared())
		}
		if s.unsharedGood > 0 || s.unsharedFailed > 0 {
			results = append(results, Results{Server: server, Good: s.unsharedGood, Failed: s.unsharedFailed})
			s.unsharedGood, s.unsharedFailed = 0, 0
		}
	}
	b.shareQueue = b.shareQueue[:0]
	return readings, results
}

// Recent returns the readings of all servers that are not older than the given age.
func (b *Board) Recent(now time.Time, maxAge time.Duration) []Reading {
	b.mu.Lock()
	defer b.mu.Unlock()
	var recent []Reading
	for _, s := range b.servers {
		if now.Sub(s.reading.newest()) <= maxAge {
			recent = append(recent, s.shared())
		}
	}
	return recent
}

// LastReading returns the time of the server's last report or status check, or the zero
// time if there is none.
func (b *Board) LastReading(server string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[KeyOf(server)]; s != nil {
		return s.reading.newest()
	}
	return time.Time{}
}

// Retain removes the servers for which keep returns false, except those with
// in-flight requests of this instance.
func (b *Board) Retain(keep func(server ServerKey) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for server, s := range b.servers {
		if s.ownInFlight == 0 && !keep(server) && !s.warmth.assumed {
			delete(b.servers, server)
		}
		s.warmth.assumed = false
	}
}
