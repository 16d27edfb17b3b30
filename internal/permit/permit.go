// Package permit gives out permits at random times, with which instances share a rate without
// agreeing on anything.
//
// Each instance gets as many permits a second as its share of the rate. Those of all instances
// together form a Poisson process whose rate is the sum of the shares, whichever instances are
// delayed, cut off or frozen.
package permit

import (
	"math"
	"time"
)

// Permits are the permits of one instance. The zero value has none. It is not safe for concurrent
// use.
type Permits struct {
	// rate is the number of permits a second, next the time of the next permit.
	rate float64
	next time.Time
}

// Exponential draws a number with the exponential distribution of mean 1, such as
// [math/rand/v2.ExpFloat64].
type Exponential func() float64

// Available reports whether there is a permit now, of so many a second. One that was not used
// lapses after ttl, so that instances without requests don't store up a burst.
func (p *Permits) Available(perSecond float64, ttl time.Duration, now time.Time, draw Exponential) bool {
	if perSecond <= 0 {
		return false
	}
	// The time until the next permit does not depend on how long the last one is ago, so
	// it can be drawn anew at any time.
	if perSecond != p.rate {
		p.rate = perSecond
		p.next = now.Add(p.interval(draw))
	}
	if now.Sub(p.next) > ttl {
		p.next = now.Add(p.interval(draw) - ttl)
	}
	return !now.Before(p.next)
}

// Use uses a permit.
func (p *Permits) Use(draw Exponential) {
	if p.rate > 0 {
		p.next = p.next.Add(p.interval(draw))
	}
}

// interval draws the time between two permits.
func (p *Permits) interval(draw Exponential) time.Duration {
	seconds := draw() / p.rate
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/4))
}
