package proxy

import "sync"

const (
	// initialTokens is the number of additional attempts that a service may
	// make before any request has added to its budget.
	initialTokens = 10
	// maxTokens is the largest number of additional attempts that can be saved
	// up.
	maxTokens = 100
)

// budget is a token bucket that limits the additional attempts (retries and
// hedges) to a percentage of the requests. Each costs one token.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: initialTokens} }

// earn adds the tokens that one request earns.
func (b *budget) earn(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+float64(percent)/100, maxTokens)
}

// take takes one token and reports whether there was one.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
