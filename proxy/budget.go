package proxy

import "sync"

const (
	// budgetReserve is the number of further attempts that a quiet service
	// may make at once.
	budgetReserve = 10
	// budgetCeiling bounds the attempts saved up in busy times.
	budgetCeiling = 100
)

// budget bounds further attempts to a percentage of the requests.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: budgetReserve} }

// deposit adds the share of one request.
func (b *budget) deposit(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+float64(percent)/100, budgetCeiling)
}

// take spends one attempt and reports whether it may be made.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
