package claim

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"
)

// attemptTTL is how long an attempt that does not finish is kept in memory.
const attemptTTL = time.Hour

// attemptID identifies an attempt within its instance.
type attemptID struct {
	key     keyID
	attempt string
}

type activeAttempt struct {
	nonce uint64
	since time.Time
}

// activeAttempts maps the running attempts of this instance to the nonces that
// identify them in the journal. Each call of Claim has its own nonce, so that
// attempts with equal names, on this or other instances, are not confused.
type activeAttempts struct {
	mu        sync.Mutex
	attempts  map[attemptID]activeAttempt
	lastSweep time.Time
}

func newNonce() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

func (a *activeAttempts) add(id attemptID, nonce uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.attempts == nil {
		a.attempts = make(map[attemptID]activeAttempt)
	}
	a.sweep(now)
	a.attempts[id] = activeAttempt{nonce, now}
}

// remove removes an attempt and returns its nonce.
func (a *activeAttempts) remove(id attemptID) (uint64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	attempt, ok := a.attempts[id]
	delete(a.attempts, id)
	return attempt.nonce, ok
}

// sweep removes attempts that did not finish within attemptTTL.
func (a *activeAttempts) sweep(now time.Time) {
	if now.Sub(a.lastSweep) < attemptTTL {
		return
	}
	a.lastSweep = now
	for id, attempt := range a.attempts {
		if now.Sub(attempt.since) >= attemptTTL {
			delete(a.attempts, id)
		}
	}
}
