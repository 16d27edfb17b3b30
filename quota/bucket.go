package quota

import (
	"fmt"
	"math"
	"time"
)

// shareLogStep is the change of a bucket's part of the cap that is logged.
const shareLogStep = 0.25

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
	// share is the part of the cap that this instance had at that time, roof the largest one
	// within roofTime before, as of roofAt.
	share float64
	roof  float64
	// toldShare is the part that was last logged.
	toldShare float64
	roofAt    time.Time
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

// shareOf returns the part of the cap that a bucket of this instance may grant. Units in place of
// another allocator are not lent.
func (a *Allocator) shareOf(key bucketKey, now time.Time) float64 {
	if key.substitute {
		return a.share * substituteShare
	}
	return min(a.share, a.opts.Part(key.workspace, now))
}

// rates returns the rate at which a bucket fills, in units a second, and its depth, with the given
// part of the cap.
func (a *Allocator) rates(key bucketKey, c Cap, share float64) (rate, depth float64) {
	rate, depth = c.PerSecond*share, a.limits.depth(c)*share
	if key.substitute {
		depth = max(depth, 1)
	}
	return rate, depth
}

// advance fills the bucket for the time since it was last used, by the smaller of the parts of the cap
// that this instance had at its begin and has now.
func (a *Allocator) advance(key bucketKey, b *bucket, c Cap, now time.Time) {
	share := a.shareOf(key, now)
	rate, _ := a.rates(key, c, min(share, b.share))
	b.raise(share, now)
	_, depth := a.rates(key, c, b.roof)
	elapsed := max(now.Sub(b.at).Seconds(), 0)
	b.level = min(b.level+rate*elapsed, depth)
	b.refused *= math.Exp(-elapsed / refusedDecay)
	b.at, b.share = now, share
	if math.Abs(share-b.toldShare) >= shareLogStep {
		b.toldShare = share
		a.opts.Logger.Info("part of a cap changed", "workspace_hash", fmt.Sprintf("%x", key.workspace), "bucket", fmt.Sprintf("%08x", b.id),
			"share", share, "heard_share", a.share, "level", b.level)
	}
}

// raise records the part of the cap that limits the level. A part that is lent elsewhere for a moment, or
// arrives later than the bucket, costs no units.
func (b *bucket) raise(share float64, now time.Time) {
	if share >= b.roof || now.Sub(b.roofAt) >= roofTime {
		b.roof, b.roofAt = share, now
	}
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
	b.raise(1, b.at)
	b.level = min(max(level, 0), depth)
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
		b.level = max(a.limits.depth(c)*b.share-b.granted, 0)
	}
}
