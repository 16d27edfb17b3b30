package quota

import (
	"math"
	"time"
)

// bucketKey identifies a bucket. Units that are granted in place of another allocator have one of
// their own.
type bucketKey struct {
	workspace  uint64
	substitute bool
}

// bucket is the token bucket of a workspace.
type bucket struct {
	// id identifies the bucket among those of the instance.
	id    uint32
	level float64
	at    time.Time
	// openedAt is when this instance began to grant units of it, granted the number since then,
	// grantedAt when it last granted one.
	openedAt  time.Time
	granted   float64
	grantedAt time.Time
	// askedAt is when units of it were last asked for.
	askedAt time.Time
	// assumed is set while the level is a lower bound: no answer has told it yet.
	assumed bool
	// inquiries holds the allocators that have not said whether they have a bucket of the
	// workspace too. unclean is set if one of the others may have granted units in this window.
	inquiries map[string]*inquiry
	unclean   bool
	// refused is the number of units refused lately, as of at.
	refused float64
}

// inquiry is a question to another allocator for its bucket.
type inquiry struct {
	// number identifies the request; 0 before it is first sent, at askedAt.
	number  uint64
	askedAt time.Time
	// sentAt is when it was last sent.
	sentAt time.Time
	// again is set if the allocator is to be asked once more after its answer, which it may have
	// given before it took the bucket over.
	again bool
}

// handover records that a bucket was handed over.
type handover struct {
	to string
	at time.Time
	// process is that of the new holder, number its request; missing is what the bucket lacked,
	// unless its level was only assumed.
	process uint32
	number  uint64
	missing float64
	assumed bool
	// grantedAt is when this instance last granted a unit.
	grantedAt time.Time
}

// rates returns the rate at which a bucket fills now, in units a second, and its depth.
func (a *Allocator) rates(key bucketKey, b *bucket, c Cap) (rate, depth float64) {
	rate, depth = c.PerSecond*a.share, a.limits.depth(c)*a.share
	if key.substitute {
		return rate * substituteShare, max(depth*substituteShare, 1)
	}
	return rate * a.certainty(b), depth
}

// certainty returns the part of the rate that may be granted before all other allocators have
// said whether they grant units too.
func (a *Allocator) certainty(b *bucket) float64 {
	certainty := 1.0
	for id := range b.inquiries {
		if b.assumed && a.others[id].present {
			return substituteShare
		}
		certainty = takeoverShare
	}
	return certainty
}

// advance fills the bucket for the time since it was last used.
func (a *Allocator) advance(key bucketKey, b *bucket, c Cap, now time.Time) {
	rate, depth := a.rates(key, b, c)
	elapsed := max(now.Sub(b.at).Seconds(), 0)
	b.level = min(b.level+rate*elapsed, depth)
	b.refused *= math.Exp(-elapsed / refusedDecay)
	b.at = now
}

// missing returns the number of units that the bucket lacks.
func (a *Allocator) missing(b *bucket, c Cap) float64 { return max(a.limits.depth(c)-b.level, 0) }

// learn takes over the level of another allocator's bucket, which is no longer used.
func (a *Allocator) learn(b *bucket, c Cap, missing float64) {
	depth := a.limits.depth(c)
	level := depth - missing - b.granted
	if !b.assumed {
		level = b.level - missing
	}
	b.level = min(max(level, 0), depth*a.share)
	b.assumed = false
}

// settle ends the uncertainty about a bucket once all other allocators have answered. If none of
// them, nor this one, has granted units in this window, the bucket is full.
func (a *Allocator) settle(b *bucket, c Cap, now time.Time) {
	if len(b.inquiries) > 0 || !b.assumed {
		return
	}
	b.assumed = false
	if !b.unclean && a.cleanSince(now) {
		b.level = max(a.limits.depth(c)*a.share-b.granted, 0)
	}
}
