package readings

import (
	"math/rand/v2"
	"time"

	"github.com/pomelolock/pomelolock/internal/permit"
)

// permits are this instance's permits for requests to one server of which all instances
// together may send only so many a second. What the others are known to have sent holds permits
// back, which cuts off the bursts that chance would bring.
type permits struct {
	own permit.Permits
	// sent is the number of requests of all instances in excess of the allowed rate, as of
	// sentAt.
	sent   float64
	sentAt time.Time
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
	p.leak(rule.allowed, now)
	return p.own.Available(rule.issued/float64(max(instances, 1)), rule.ttl, now, rand.ExpFloat64) &&
		p.sent+1 <= max(rule.allowed*limitBurst.Seconds(), 1)
}

// use uses a permit.
func (p *permits) use() { p.own.Use(rand.ExpFloat64) }
