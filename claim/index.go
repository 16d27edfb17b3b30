package claim

import (
	"time"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

// fingerprintBytes is the length of a fingerprint in memory and in the journal.
const fingerprintBytes = 8

// keyID is the truncated hash of a service and its Idempotency-Key.
type keyID [16]byte

// entry is what a partition remembers of a key. It holds no pointers, so that
// the garbage collector need not look at it.
type entry struct {
	fingerprint [fingerprintBytes]byte
	attempt     uint64
	timeMS      int64
	runningMS   uint32
	state       uint8
	// compacted tells that only 31 bits of the fingerprint are known.
	compacted bool
}

// index holds the keys of one partition as of one version of its head.
type index struct {
	keys    map[keyID]entry
	answers answers
	// ended holds earlier keys, oldest run first.
	ended []*endedRun
	// left is the number of keys that the last compaction left in the map.
	left int
}

func newIndex(answerBytes int) *index {
	return &index{keys: make(map[keyID]entry), answers: newAnswers(answerBytes)}
}

// apply adds a batch of the journal.
func (x *index) apply(batch *claimpb.Batch) {
	for _, end := range batch.GetEnds() {
		x.applyEnd(end)
	}
	for _, c := range batch.GetClaims() {
		id := keyID(c.GetKey())
		x.keys[id] = entryOf(c)
		x.answers.set(id, c.GetAnswer())
	}
}

func (x *index) applyEnd(end *claimpb.End) {
	id := keyID(end.GetKey())
	e, ok := x.keys[id]
	if !ok || !e.endsWith(end) {
		return
	}
	if end.GetState() == claimpb.State_STATE_NOT_RUN {
		delete(x.keys, id)
		return
	}
	e.state = uint8(end.GetState())
	x.keys[id] = e
	x.answers.set(id, end.GetAnswer())
}

// prune deletes expired entries.
func (x *index) prune(nowMS, retentionMS int64) {
	for id, e := range x.keys {
		if e.expired(nowMS, retentionMS) {
			delete(x.keys, id)
			x.answers.set(id, nil)
		}
	}
	x.pruneRuns(nowMS, retentionMS)
}

// endsWith reports whether the end belongs to the attempt that holds the key
// and that attempt has not ended before.
func (e entry) endsWith(end *claimpb.End) bool {
	return e.attempt == end.GetAttempt() && e.is(claimpb.State_STATE_TAKEN)
}

func (e entry) is(state claimpb.State) bool { return e.state == uint8(state) }

func entryOf(c *claimpb.Claim) entry {
	state := c.GetState()
	if state == claimpb.State_STATE_UNSPECIFIED {
		state = claimpb.State_STATE_TAKEN
	}
	return entry{
		fingerprint: [fingerprintBytes]byte(c.GetFingerprint()),
		attempt:     c.GetAttempt(),
		timeMS:      c.GetTimeMs(),
		runningMS:   uint32(min(c.GetRunningMs(), 1<<32-1)),
		state:       uint8(state),
	}
}

// expired reports whether the entry is older than the retention.
func (e entry) expired(nowMS, retentionMS int64) bool {
	return e.timeMS+retentionMS <= nowMS
}

// decide returns the verdict about a claim of a key that has an entry, with the
// answer kept for it if there is one.
func (e entry) decide(c *claimpb.Claim, answer *claimpb.Answer, nowMS int64) Decision {
	if !e.matches([fingerprintBytes]byte(c.GetFingerprint())) {
		return Decision{Verdict: Mismatch}
	}
	switch {
	case e.is(claimpb.State_STATE_FINISHED) && answer == nil:
		return Decision{Verdict: Finished}
	case e.is(claimpb.State_STATE_FINISHED):
		return Decision{Verdict: Replay, Answer: answerOf(answer)}
	case e.is(claimpb.State_STATE_TAKEN):
		return e.decideTaken(c.GetAttempt(), nowMS)
	default:
		return Decision{Verdict: Unknown}
	}
}

func (e entry) matches(fingerprint [fingerprintBytes]byte) bool {
	if e.compacted {
		return markOf(e.fingerprint) == markOf(fingerprint)
	}
	return e.fingerprint == fingerprint
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
