package claim

import (
	"time"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

// keyID is the truncated hash of a service and its Idempotency-Key.
type keyID [16]byte

// entry is what a partition remembers of a key.
type entry struct {
	fingerprint [16]byte
	attempt     uint64
	timeMS      int64
	runningMS   int32
	state       claimpb.State
	answer      *claimpb.Answer
}

// index holds the keys of one partition as of one version of its head.
type index map[keyID]entry

// apply adds a batch of the journal.
func (x index) apply(batch *claimpb.Batch) {
	for _, end := range batch.GetEnds() {
		x.applyEnd(end)
	}
	for _, c := range batch.GetClaims() {
		x[keyID(c.GetKey())] = entryOf(c)
	}
}

func (x index) applyEnd(end *claimpb.End) {
	id := keyID(end.GetKey())
	e, ok := x[id]
	if !ok || !e.endsWith(end) {
		return
	}
	if end.GetState() == claimpb.State_STATE_NOT_RUN {
		delete(x, id)
		return
	}
	e.state, e.answer = end.GetState(), end.GetAnswer()
	x[id] = e
}

// endsWith reports whether the end belongs to the attempt that holds the key
// and that attempt has not ended before.
func (e entry) endsWith(end *claimpb.End) bool {
	return e.attempt == end.GetAttempt() && e.state == claimpb.State_STATE_TAKEN
}

func entryOf(c *claimpb.Claim) entry {
	state := c.GetState()
	if state == claimpb.State_STATE_UNSPECIFIED {
		state = claimpb.State_STATE_TAKEN
	}
	return entry{
		fingerprint: [16]byte(c.GetFingerprint()),
		attempt:     c.GetAttempt(),
		timeMS:      c.GetTimeMs(),
		runningMS:   int32(min(c.GetRunningMs(), 1<<31-1)),
		state:       state,
		answer:      c.GetAnswer(),
	}
}

// expired reports whether the entry is older than the retention.
func (e entry) expired(nowMS, retentionMS int64) bool {
	return e.timeMS+retentionMS <= nowMS
}

// prune deletes expired entries.
func (x index) prune(nowMS, retentionMS int64) {
	for id, e := range x {
		if e.expired(nowMS, retentionMS) {
			delete(x, id)
		}
	}
}

// decide returns the verdict about a claim of a key that has an entry.
func (e entry) decide(c *claimpb.Claim, nowMS int64) Decision {
	if e.fingerprint != [16]byte(c.GetFingerprint()) {
		return Decision{Verdict: Mismatch}
	}
	switch e.state {
	case claimpb.State_STATE_FINISHED:
		if e.answer == nil {
			return Decision{Verdict: Finished}
		}
		return Decision{Verdict: Replay, Answer: answerOf(e.answer)}
	case claimpb.State_STATE_TAKEN:
		return e.decideTaken(c.GetAttempt(), nowMS)
	default:
		return Decision{Verdict: Unknown}
	}
}

// decideTaken answers Run again to the attempt that holds the key, because
// only the one call of Claim of that attempt uses the answer.
func (e entry) decideTaken(attempt uint64, nowMS int64) Decision {
	if e.attempt == attempt {
		return Decision{Verdict: Run}
	}
	left := e.timeMS + int64(e.runningMS) - nowMS
	if left <= 0 {
		return Decision{Verdict: Unknown}
	}
	wait := min(time.Duration(left)*time.Millisecond, maxRetryAfter)
	return Decision{Verdict: InProgress, RetryAfter: wait}
}
