package quota

import (
	"math"
	"math/rand/v2"
	"time"
)

// permitTTL is the time after which a permit lapses that was not used, so that instances
// without requests don't store up a burst.
const permitTTL = 400 * time.Millisecond

// permits are given out at random times. Those of all instances together form a Poisson
// process, whichever instances are delayed, cut off or frozen.
type permits struct {
	rate float64
	next time.Time
}

// take uses a permit if there is one. rate is the number of permits a second.
func (p *permits) take(rate float64, now time.Time, random *rand.Rand) bool {
	if rate <= 0 {
		return false
	}
	// The time until the next permit does not depend on how long the last one is ago, so
	// it can be drawn anew at any time.
	if rate != p.rate {
		p.rate = rate
		p.next = now.Add(p.interval(random))
	}
	if now.Sub(p.next) > permitTTL {
		p.next = now.Add(p.interval(random) - permitTTL)
	}
	if now.Before(p.next) {
		return false
	}
	p.next = p.next.Add(p.interval(random))
	return true
}

// interval draws the time between two permits.
func (p *permits) interval(random *rand.Rand) time.Duration {
	seconds := random.ExpFloat64() / p.rate
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/4))
}
