package readings

import (
	"fmt"
	"time"
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

// LimitChange reports that a server names another limit than before.
type LimitChange struct {
	Limit, Before Limit
	// Requests and Checks are the numbers of requests and of status checks that this
	// instance sent to the server under the limit before, which was in force for Held.
	Requests, Checks int
	Held             time.Duration
}

// limitState is what this instance knows of the limit of one server.
type limitState struct {
	Limit
	// at is when the answer arrived from which the limit is known, since when the limit
	// last changed.
	at, since        time.Time
	requests, checks int
}

// record records the limit that an answer named. It returns the change, if there is one.
func (s *limitState) record(limit Limit, at time.Time) (LimitChange, bool) {
	if at.Before(s.at) {
		return LimitChange{}, false
	}
	s.at = at
	if limit == s.Limit {
		return LimitChange{}, false
	}
	change := LimitChange{Limit: limit, Before: s.Limit, Requests: s.requests, Checks: s.checks, Held: at.Sub(s.since)}
	if s.since.IsZero() {
		change.Held = 0
	}
	s.Limit, s.since, s.requests, s.checks = limit, at, 0, 0
	return change, true
}

// RecordLimit records the limit that an answer of the server named to this instance. It
// reports the change, if the limit is another one than before.
func (b *Board) RecordLimit(server string, limit Limit, now time.Time) (LimitChange, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := KeyOf(server)
	if s := b.servers[key]; !limit.Named && (s == nil || !s.limit.Named) {
		return LimitChange{}, false
	}
	return b.stateLocked(key).limit.record(limit, now)
}

// BeganCheck records that this instance sends a status check to the server.
func (b *Board) BeganCheck(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[KeyOf(server)]; s != nil && s.limit.Named {
		s.limit.checks++
		b.limitedChecks++
	}
}

// LimitedSends returns how many requests and status checks this instance has sent to servers
// that named a limit.
func (b *Board) LimitedSends() (requests, checks uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limitedRequests, b.limitedChecks
}
