package claim

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"
)

// heldKept is how long an attempt that never finishes is remembered.
const heldKept = time.Hour

// attemptID names an attempt within its instance.
type attemptID struct {
	key     keyID
	attempt string
}

type heldAttempt struct {
	nonce uint64
	since time.Time
}

// heldAttempts maps the attempts that this instance runs to the random numbers
// that stand for them in the journal. A number belongs to one call of Claim, so
// that attempts with equal names, on this instance or others, stay apart.
type heldAttempts struct {
	mu      sync.Mutex
	held    map[attemptID]heldAttempt
	sweptAt time.Time
}

func newNonce() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

func (h *heldAttempts) add(id attemptID, nonce uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held == nil {
		h.held = make(map[attemptID]heldAttempt)
	}
	h.sweep(now)
	h.held[id] = heldAttempt{nonce, now}
}

// take removes and returns the number of an attempt.
func (h *heldAttempts) take(id attemptID) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.held[id]
	delete(h.held, id)
	return held.nonce, ok
}

// sweep forgets attempts that never finished.
func (h *heldAttempts) sweep(now time.Time) {
	if now.Sub(h.sweptAt) < heldKept {
		return
	}
	h.sweptAt = now
	for id, held := range h.held {
		if now.Sub(held.since) >= heldKept {
			delete(h.held, id)
		}
	}
}
