// Package retrybudget limits the additional attempts (retries and hedges) of the
// whole fleet without coordination between its instances. Each instance earns a
// fixed fraction of an attempt for each of its own requests, up to a small
// reserve, so that the sum over the fleet stays below the limit. A new process
// starts with an empty reserve, so that restarts don't add attempts.
package retrybudget

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Limits bound the additional attempts for one service across the fleet.
type Limits struct {
	// Ratio is the number of additional attempts for each request.
	Ratio float64
	// Burst is the number of additional attempts beyond the ratio in any window.
	Burst float64
}

const (
	// earnedShare is the share of the allowed ratio that is earned; the rest
	// covers requests that end in a later window than the one that earned their
	// retries.
	earnedShare = 0.95
	// reserveShare is the share of the allowed burst that the reserves of all
	// instances add up to.
	reserveShare = 0.6
)

// lapseTime is the time after which an attempt lapses that an instance has earned and not
// taken, if the burst is smaller than the fleet.
const lapseTime = time.Second

// Budget is the retry budget of one instance, kept for each service. It is safe
// for concurrent use.
type Budget struct {
	mu     sync.Mutex
	limits Limits
	// maxTokens is the largest reserve for one service.
	maxTokens float64
	// lapsing is set if the burst doesn't allow each instance a reserve of one attempt.
	// Attempts are then earned whole, at random, and lapse if they are not taken soon.
	lapsing  bool
	reserves map[string]reserve
}

// reserve is the reserve for one service.
type reserve struct {
	// tokens is the number of available attempts, as of the last time one was earned or
	// given back.
	tokens float64
	at     time.Time
}

// New returns an empty budget for one instance of a fleet of the given size.
func New(limits Limits, instances int) *Budget {
	b := &Budget{reserves: make(map[string]reserve)}
	b.SetLimits(limits, instances)
	return b
}

// SetLimits changes the limits. instances should be the largest number of instances
// that the fleet may have.
func (b *Budget) SetLimits(limits Limits, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
	b.lapsing = limits.Burst < float64(instances)
	b.maxTokens = max(limits.Burst*reserveShare/float64(max(instances, 1)), 1)
}

// Earn adds the share of an attempt that one request for the service earns.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	earned := b.limits.Ratio * earnedShare
	if b.lapsing {
		if rand.Float64() >= earned {
			return
		}
		earned = 1
	}
	b.addLocked(service, earned)
}

func (b *Budget) addLocked(service string, tokens float64) {
	now := time.Now()
	b.reserves[service] = reserve{tokens: min(b.tokensLocked(service, now)+tokens, b.maxTokens), at: now}
}

// tokensLocked returns the number of available attempts.
func (b *Budget) tokensLocked(service string, now time.Time) float64 {
	r := b.reserves[service]
	if b.lapsing && now.Sub(r.at) > lapseTime {
		return 0
	}
	return r.tokens
}

// Take deducts one additional attempt for the service. It reports false, and
// deducts nothing, if the budget is exhausted.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.tokensLocked(service, time.Now())
	if tokens < 1 {
		return false
	}
	r := b.reserves[service]
	r.tokens = tokens - 1
	b.reserves[service] = r
	return true
}

// Return gives back an attempt that did not reach a server.
func (b *Budget) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocked(service, 1)
}
