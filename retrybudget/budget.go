// Package retrybudget limits the additional attempts (retries and hedges) of the
// whole fleet without coordination between its instances. Each instance earns a
// fixed fraction of an attempt for each of its own requests, up to a small
// reserve, so that the sum over the fleet stays below the limit. A new process
// starts with an empty reserve, so that restarts don't add attempts.
package retrybudget

import "sync"

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

// Budget is the retry budget of one instance, kept for each service. It is safe
// for concurrent use.
type Budget struct {
	mu     sync.Mutex
	limits Limits
	// maxTokens is the largest reserve for one service.
	maxTokens float64
	// tokens is the number of available attempts by service.
	tokens map[string]float64
}

// New returns an empty budget for one instance of a fleet of the given size.
func New(limits Limits, instances int) *Budget {
	b := &Budget{tokens: make(map[string]float64)}
	b.SetLimits(limits, instances)
	return b
}

// SetLimits changes the limits. instances should be the largest number of instances
// that the fleet may have.
func (b *Budget) SetLimits(limits Limits, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
	b.maxTokens = max(limits.Burst*reserveShare/float64(max(instances, 1)), 1)
}

// Earn adds the share of an attempt that one request for the service earns.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.tokens[service]+b.limits.Ratio*earnedShare, b.maxTokens)
}

// Take deducts one additional attempt for the service. It reports false, and
// deducts nothing, if the budget is exhausted.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}

// Return gives back an attempt that did not reach a server.
func (b *Budget) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.tokens[service]+1, b.maxTokens)
}
