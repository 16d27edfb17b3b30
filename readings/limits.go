package readings

import (
	"fmt"
	"math"
	"time"
)

const (
	// requestShare and checkShare are the shares of a server's limit that the requests
	// and the periodic status checks of all instances use.
	requestShare = 0.7
	checkShare   = 0.15
	// permitTTL is the time after which a permit lapses that was not used, so that
	// instances without requests don't store up a burst.
	permitTTL = 400 * time.Millisecond
	// limitBurst is the time within which a server may get all requests that its limit
	// allows in that time.
	limitBurst = time.Second
	// maxLimitedCheckInterval bounds the time between two status checks of a server
	// with a low limit: it may name another one at any time.
	maxLimitedCheckInterval = 5 * time.Second
	// minLimitStep is the relative change of a limit from which the other instances are
	// told.
	minLimitStep = 0.05
)

// Limit is the rate of requests that a server takes from all instances together.
type Limit struct {
	// Named reports whether the server names a limit.
	Named bool
	// PerSecond is the number of requests a second. Status checks count as requests.
	PerSecond float64
}

// String returns the limit for logs.
func (l Limit) String() string {
	if !l.Named {
		return "none"
	}
	return fmt.Sprintf("%.3g/s", l.PerSecond)
}

// differs reports whether the change to another limit matters to other instances.
func (l Limit) differs(other Limit) bool {
	return l.Named != other.Named || math.Abs(l.PerSecond-other.PerSecond) > minLimitStep*l.PerSecond
}

// LimitChange reports that a server names another limit than before.
type LimitChange struct {
	// Server is the ID of the server.
	Server        string
	Limit, Before Limit
	// At is when the answer with the limit arrived.
	At time.Time
	// Requests and Checks are the numbers of requests and of status checks that this
	// instance sent to the server under the limit before, which was in force for Held.
	Requests, Checks int
	Held             time.Duration
}

// limitState is what this instance knows of the limit of one server, and its share of it.
type limitState struct {
	Limit
	permits
	// server is the ID of the server.
	server string
	// told is the limit that was last reported as a change.
	told Limit
	// at is when the answer arrived from which the limit is known, since when the limit
	// last changed.
	at, since        time.Time
	requests, checks int
	// fromCheck is set if a status check named a limit. Otherwise, a check without a
	// limit doesn't show that there is none.
	fromCheck bool
}

// record records the limit that an answer named. It returns the change, if there is one.
func (s *limitState) record(limit Limit, at time.Time) (LimitChange, bool) {
	if at.Before(s.at) {
		return LimitChange{}, false
	}
	s.at = at
	if !s.told.differs(limit) {
		s.Limit = limit
		return LimitChange{}, false
	}
	change := LimitChange{Server: s.server, Limit: limit, Before: s.told, At: at, Requests: s.requests, Checks: s.checks}
	if s.Named {
		change.Held = at.Sub(s.since)
	}
	if !limit.Named {
		*s = limitState{server: s.server, at: at}
		return change, true
	}
	s.Limit, s.told, s.since, s.requests, s.checks = limit, limit, at, 0, 0
	return change, true
}

// permitted reports whether this instance, one of the given number, may send a request now to
// the server, which names a limit.
func (s *limitState) permitted(instances int, now time.Time) bool {
	return s.available(permitRule{allowed: s.PerSecond, issued: requestShare * s.PerSecond, ttl: permitTTL}, instances, now)
}

// take uses a permit for a request.
func (s *limitState) take(now time.Time) {
	s.requests++
	s.countSent(1, s.PerSecond, now)
	s.use()
}

// ShareLimits sets the number of instances among which the limits of servers are shared.
func (b *Board) ShareLimits(instances func() int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = instances
}

// RecordLimit records the limit that an answer of the server named to this instance, or none.
// fromCheck is set if it was the answer to a status check. RecordLimit reports the change if
// the other instances have to know of it.
func (b *Board) RecordLimit(server string, limit Limit, fromCheck bool, now time.Time) (LimitChange, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := KeyOf(server)
	s := b.servers[key]
	if !limit.Named && (s == nil || !s.limit.Named || fromCheck && !s.limit.fromCheck) {
		return LimitChange{}, false
	}
	s = b.stateLocked(key)
	s.limit.server = server
	s.limit.fromCheck = s.limit.fromCheck || fromCheck
	return s.limit.record(limit, now)
}

// ReceiveLimit records a limit that an answer to another instance named at the given time.
func (b *Board) ReceiveLimit(server string, limit Limit, at time.Time) (LimitChange, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateLocked(KeyOf(server))
	s.limit.server = server
	return s.limit.record(limit, at)
}

// Limits returns the limits that servers name now, as changes from none.
func (b *Board) Limits() []LimitChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	var limits []LimitChange
	for _, s := range b.servers {
		if s.limit.Named {
			limits = append(limits, LimitChange{Server: s.limit.server, Limit: s.limit.Limit, At: s.limit.at})
		}
	}
	return limits
}

// TakePermit reports whether this instance may send the server something now that is no
// request of a caller, and counts it if the server names a limit.
func (b *Board) TakePermit(server string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[KeyOf(server)]
	if s == nil || !s.limit.Named {
		return true
	}
	if !s.limit.permitted(b.instances(), now) {
		return false
	}
	s.limit.use()
	return true
}

// BeganCheck records that this instance sends a status check to the server.
func (b *Board) BeganCheck(server string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[KeyOf(server)]; s != nil && s.limit.Named {
		s.limit.checks++
		s.limit.countSent(1, s.limit.PerSecond, now)
		b.limitedChecks++
	}
}

// CheckInterval returns the minimum time between two status checks of the server that its
// limit demands; 0 if it names none.
func (b *Board) CheckInterval(server string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[KeyOf(server)]
	if s == nil || !s.limit.Named {
		return 0
	}
	seconds := 1 / (checkShare * s.limit.PerSecond)
	return time.Duration(min(seconds, maxLimitedCheckInterval.Seconds()) * float64(time.Second))
}

// LimitedSends returns how many requests and status checks this instance has sent to servers
// that named a limit.
func (b *Board) LimitedSends() (requests, checks uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limitedRequests, b.limitedChecks
}
