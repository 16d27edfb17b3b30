package quota

import (
	"math/rand/v2"
	"time"

	"github.com/pomelolock/pomelolock/internal/permit"
)

// Source names what a share of a cap comes from.
type Source string

// Sources.
const (
	// SourceOwn is the instance's own part of the cap.
	SourceOwn Source = "own"
	// SourceGrant is a grant of an allocator.
	SourceGrant Source = "grant"
	// SourceFloor means that the instance has no share at the time, only permits.
	SourceFloor Source = "floor"
)

// fractionalTTL reduces the time for which a bucket shallower than one request holds one.
// Whether it holds one is random, and the sum over many instances varies.
const fractionalTTL = 0.7

// maxMissing bounds what an empty bucket adds to the demand. Deep buckets belong to high
// demands, which are known well enough.
const maxMissing = 3

// permitTTL is the time after which a permit lapses that was not used.
const permitTTL = 400 * time.Millisecond

// share is a part of a cap.
type share struct{ perSecond, depth float64 }

func (s share) scaled(rate, depth float64) share { return share{s.perSecond * rate, s.depth * depth} }

// grant is a share that an allocator granted at a time, until another time.
type grant struct {
	share
	sentAt, until time.Time
}

// bucket is the token bucket of one workspace at one instance. What fills it changes with
// time: a grant while it is valid, then nothing, and the instance's own share once what was
// lent has lapsed.
type bucket struct {
	name string
	hash uint64
	cap  Cap
	// lendings and grants are those of the planes.
	lendings [planes]*lending
	grants   [planes]grant

	// level is the number of requests that the bucket holds as of at, or, if it is
	// shallower than one request, the part of the next one that has accrued.
	level float64
	at    time.Time
	// heldUntil is set while a bucket shallower than one request holds one.
	heldUntil time.Time
	// depth is the depth as of at; 0 if nothing fills the bucket.
	depth float64

	usedAt   time.Time
	demand   demand
	refused  demand
	reported float64
	floor    permit.Permits
}

// current returns the share in force, the sum over the planes, and what it is from.
func (b *bucket) current(s *Share, now time.Time) (share, Source) {
	var sum share
	source := SourceFloor
	for plane, l := range b.lendings {
		part := share{}
		switch {
		case now.Before(b.grants[plane].until):
			part, source = b.grants[plane].share, SourceGrant
		case !now.Before(l.ownFrom):
			part = s.ownShare(b.cap)
			if source == SourceFloor {
				source = SourceOwn
			}
		}
		sum.perSecond, sum.depth = sum.perSecond+part.perSecond, sum.depth+part.depth
	}
	return sum, source
}

// age returns the time since the newest part of the share in force was granted, or since the
// own share is in force.
func (b *bucket) age(source Source, now time.Time) time.Duration {
	var newest time.Time
	for plane, l := range b.lendings {
		if at := b.grants[plane].sentAt; source == SourceGrant && at.After(newest) {
			newest = at
		}
		if source == SourceOwn && l.ownFrom.After(newest) && !l.ownFrom.After(now) {
			newest = l.ownFrom
		}
	}
	if newest.IsZero() {
		return 0
	}
	return now.Sub(newest)
}

// advance fills the bucket up to a time.
func (b *bucket) advance(s *Share, now time.Time) {
	for b.at.Before(now) {
		end := now
		for plane, l := range b.lendings {
			for _, change := range []time.Time{b.grants[plane].until, l.ownFrom} {
				if change.After(b.at) && change.Before(end) {
					end = change
				}
			}
		}
		current, _ := b.current(s, b.at)
		b.fill(current, end, s.random)
	}
}

// adapt applies a share that changed at the time up to which the bucket is filled.
func (b *bucket) adapt(s *Share) {
	current, _ := b.current(s, b.at)
	b.resize(current.depth, s.random)
}

// empty discards what the bucket holds.
func (b *bucket) empty(now time.Time) {
	b.level, b.depth, b.heldUntil, b.at = 0, 0, time.Time{}, now
}

// fill fills the bucket from a share up to a time.
func (b *bucket) fill(s share, now time.Time, random *rand.Rand) {
	b.resize(s.depth, random)
	elapsed := now.Sub(b.at).Seconds()
	b.at = now
	if s.depth <= 0 || elapsed <= 0 {
		return
	}
	b.level += s.perSecond * elapsed
	if s.depth >= 1 {
		b.level = min(b.level, s.depth)
		return
	}
	if b.level >= 1 {
		whole := float64(int(b.level))
		b.level -= whole
		accrued := time.Duration(b.level / s.perSecond * float64(time.Second))
		b.hold(s, now.Add(-accrued))
	}
}

// hold makes a bucket shallower than one request hold one, for a time after which all such
// buckets together hold no more than the sum of their depths.
func (b *bucket) hold(s share, from time.Time) {
	if s.perSecond > 0 {
		b.heldUntil = from.Add(time.Duration(fractionalTTL * s.depth / s.perSecond * float64(time.Second)))
	}
}

// resize changes the depth.
func (b *bucket) resize(depth float64, random *rand.Rand) {
	switch {
	case depth <= 0:
		b.empty(b.at)
	case depth >= 1:
		if b.at.Before(b.heldUntil) {
			b.level++
		}
		b.heldUntil = time.Time{}
		b.level = min(b.level, depth)
	case b.depth == 0:
		// A random part, so that buckets that start together don't fill together.
		b.level = random.Float64()
	case b.depth >= 1:
		b.level = min(b.level, depth)
	}
	b.depth = max(depth, 0)
}

// take takes a request out of the bucket if it holds one. advance must have been called.
func (b *bucket) take() bool {
	switch {
	case b.depth >= 1 && b.level >= 1:
		b.level--
		return true
	case b.depth < 1 && b.at.Before(b.heldUntil):
		b.heldUntil = time.Time{}
		return true
	}
	return false
}

// put returns a request to the bucket.
func (b *bucket) put(s share) {
	if b.depth >= 1 {
		b.level = min(b.level+1, b.depth)
	} else if b.depth > 0 {
		b.hold(s, b.at)
	}
}

// wait returns the time after which the bucket holds a request.
func (b *bucket) wait(s share) time.Duration {
	if s.perSecond <= 0 || s.depth <= 0 {
		return 0
	}
	return time.Duration(min((1-b.level)/s.perSecond, maxRetryAfter.Seconds()) * float64(time.Second))
}

// missing returns how many requests less than its depth the bucket holds.
func (b *bucket) missing() float64 {
	if b.depth < 1 {
		return 0
	}
	return min(b.depth-b.level, maxMissing)
}
