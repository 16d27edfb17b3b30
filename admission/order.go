package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Waiting is a request that waits for room.
type Waiting struct {
	// Priority ranks it; 0 is the most urgent.
	Priority int
	// Target is when its answer loses most of its worth, Deadline when its
	// caller stops waiting.
	Target, Deadline time.Time
}

// Late reports whether a request that is sent now and takes the expected time
// misses its target.
func (w Waiting) Late(now time.Time, expected time.Duration) bool {
	return now.Add(expected).After(w.Target)
}

// Hopeless reports whether it would miss its deadline.
func (w Waiting) Hopeless(now time.Time, expected time.Duration) bool {
	return now.Add(expected).After(w.Deadline)
}

// Before orders waiting requests: it is negative if a goes before b. Those that
// can still meet their target go first, then the more urgent, then those whose
// time ends first.
func Before(a, b Waiting, now time.Time, expected time.Duration) int {
	lateA, lateB := a.Late(now, expected), b.Late(now, expected)
	switch {
	case lateA && !lateB:
		return 1
	case lateB && !lateA:
		return -1
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if lateA {
		return a.Deadline.Compare(b.Deadline)
	}
	return a.Target.Compare(b.Target)
}

// Sort puts the requests into the order in which they are sent.
func Sort[W any](waiting []W, of func(W) Waiting, now time.Time, expected time.Duration) {
	slices.SortStableFunc(waiting, func(a, b W) int { return Before(of(a), of(b), now, expected) })
}

// Counts are waiting requests: those that can still meet their target and those
// that can't.
type Counts struct{ InTime, Late int }

// Shares returns how many of its own waiting requests an instance may send now of
// either kind. Requests that are late get the room that those in time leave.
func Shares(room int, own, others Counts) Counts {
	left := room - own.InTime - others.InTime
	return Counts{InTime: Share(room, own.InTime, others.InTime), Late: Share(left, own.Late, others.Late)}
}

// Share returns how many of its own waiting requests an instance may send now,
// when room is free for that many requests and others wait at other instances.
// Fractions are rounded at random, so that the shares add up to the room on
// average.
func Share(room, own, others int) int {
	if room <= 0 || own <= 0 {
		return 0
	}
	if own+others <= room {
		return own
	}
	part := float64(room) * float64(own) / float64(own+others)
	whole := math.Floor(part)
	if rand.Float64() < part-whole {
		whole++
	}
	return min(int(whole), own)
}

// Wait estimates how long a request waits that has ahead requests before it, at
// the rate in requests a second at which the instance sends.
func Wait(ahead int, rate float64) time.Duration {
	if ahead == 0 {
		return 0
	}
	if rate <= 0 {
		return time.Duration(math.MaxInt64)
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}
