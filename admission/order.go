package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Request is a queued request.
type Request struct {
	// Priority is its priority; 0 is the most urgent.
	Priority int
	// Target is the time after which the response loses most of its value to the
	// caller, Deadline the time at which the caller stops waiting.
	Target, Deadline time.Time
	// Workspace is the workspace of the caller, Weight its weight among the workspaces,
	// relative to their mean; 0 if the table has no workspaces.
	Workspace string
	Weight    float64
}

// Late reports whether the request would miss its target if it were sent now and
// took the expected time.
func (r Request) Late(now time.Time, expected time.Duration) bool {
	return now.Add(expected).After(r.Target)
}

// MissesDeadline reports whether the request would miss its deadline if it were
// sent now and took the expected time.
func (r Request) MissesDeadline(now time.Time, expected time.Duration) bool {
	return now.Add(expected).After(r.Deadline)
}

// Compare orders queued requests; it is negative if a goes before b. Requests that
// can still meet their target go first, then the more urgent, then those with the
// earlier target, or deadline if they are late.
func Compare(a, b Request, now time.Time, expected time.Duration) int {
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

// Sort sorts queued items into the order in which their requests are sent.
func Sort[T any](queued []T, request func(T) Request, now time.Time, expected time.Duration) {
	slices.SortStableFunc(queued, func(a, b T) int { return Compare(request(a), request(b), now, expected) })
}

// Counts is a number of queued requests: InTime those that can still meet their
// target, Late those that can't.
type Counts struct{ InTime, Late int }

func (c Counts) plus(other Counts) Counts {
	return Counts{InTime: c.InTime + other.InTime, Late: c.Late + other.Late}
}

// minus returns the difference, which is not below 0.
func (c Counts) minus(other Counts) Counts {
	return Counts{InTime: max(c.InTime-other.InTime, 0), Late: max(c.Late-other.Late, 0)}
}

// Shares returns how many of its own queued requests an instance may send now.
// Late requests get the capacity that those in time leave.
func Shares(capacity int, own, others Counts) Counts {
	left := capacity - own.InTime - others.InTime
	return Counts{InTime: Share(capacity, own.InTime, others.InTime), Late: Share(left, own.Late, others.Late)}
}

// Share returns how many of its own queued requests an instance may send now,
// given the spare capacity and the number of requests queued at other instances.
// Fractions are rounded at random, so that the shares of all instances add up to
// the capacity on average.
func Share(capacity, own, others int) int { return shareRounded(capacity, own, others, rand.Float64()) }

// shareRounded is [Share] with a random number from [0, 1) for rounding.
func shareRounded(capacity, own, others int, random float64) int {
	if capacity <= 0 || own <= 0 {
		return 0
	}
	if own+others <= capacity {
		return own
	}
	share := float64(capacity) * float64(own) / float64(own+others)
	rounded := math.Floor(share)
	if random < share-rounded {
		rounded++
	}
	return min(int(rounded), own)
}

// EstimateWait estimates the queueing time of a request with ahead requests before
// it, if the instance sends at the given rate in requests a second.
func EstimateWait(ahead int, rate float64) time.Duration {
	if ahead == 0 {
		return 0
	}
	if rate <= 0 {
		return time.Duration(math.MaxInt64)
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}
