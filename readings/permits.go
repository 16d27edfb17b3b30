package readings

import (
	"math"
	"math/rand/v2"
	"time"
)

// permits are this instance's permits for requests to one server of which all instances
// together may send only so many a second.
//
// Nothing is agreed on among the instances. Each gets permits at random times, as many a
// second as its share of the rate; all together form a Poisson process whose rate stays
// below what is allowed, whichever instances are late, cut off or frozen. What the others are
// known to have sent holds permits back, which cuts off the bursts that chance would bring.
type permits struct {
	// sent is the number of requests of all instances in excess of the allowed rate, as of
	// sentAt.
	sent   float64
	sentAt time.Time
	// rate is the number of permits of this instance a second, next the time of its next
	// permit.
	rate float64
	next time.Time
}

// permitRule says how many permits there are.
type permitRule struct {
	// allowed is the number of requests a second that are allowed, issued the number of
	// permits a second of all instances together.
	allowed, issued float64
	// ttl is the time after which a permit lapses that was not used.
	ttl time.Duration
}

// countSent records that instances sent requests to the server.
func (p *permits) countSent(n int, allowed float64, now time.Time) {
	p.leak(allowed, now)
	p.sent += float64(n)
}

// leak subtracts the requests that were allowed since the last call.
func (p *permits) leak(allowed float64, now time.Time) {
	if elapsed := now.Sub(p.sentAt); elapsed > 0 {
		p.sent = max(p.sent-allowed*elapsed.Seconds(), 0)
		p.sentAt = now
	}
}

// available reports whether this instance, one of the given number, may send a request now.
func (p *permits) available(rule permitRule, instances int, now time.Time) bool {
	rate := rule.issued / float64(max(instances, 1))
	if rate <= 0 {
		return false
	}
	// The time until the next permit does not depend on how long the last one is ago, so
	// it can be drawn anew at any time.
	if rate != p.rate {
		p.rate = rate
		p.next = now.Add(p.interval())
	}
	if now.Sub(p.next) > rule.ttl {
		p.next = now.Add(p.interval() - rule.ttl)
	}
	p.leak(rule.allowed, now)
	return !now.Before(p.next) && p.sent+1 <= max(rule.allowed*limitBurst.Seconds(), 1)
}

// use uses a permit.
func (p *permits) use() {
	if p.rate > 0 {
		p.next = p.next.Add(p.interval())
	}
}

// interval draws the time between two permits.
func (p *permits) interval() time.Duration {
	seconds := rand.ExpFloat64() / p.rate
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/4))
}
