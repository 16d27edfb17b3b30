package claim

import (
	"time"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

// fingerprintBytes is the length of a truncated fingerprint in memory and in
// the journal.
const fingerprintBytes = 8

// keyID is the truncated hash of a service and its Idempotency-Key.
type keyID [16]byte

// entry is the state of a key. It contains no pointers, so that the garbage
// collector does not scan the map's contents.
type entry struct {
	fingerprint [fingerprintBytes]byte
	attempt     uint64
	timeMS      int64
	maxRunMS    uint32
	state       uint8
	// compacted means that only 31 bits of the fingerprint are known.
	compacted bool
}

// index holds the keys of one partition as of one version of its head.
type index struct {
	keys      map[keyID]entry
	responses responseCache
	// ended holds compacted keys, oldest run first. Keys in the map take
	// precedence over them.
	ended []*endedRun
	// keysAfterCompaction is the number of keys that the last compaction
	// left in the map.
	keysAfterCompaction int
}

func newIndex(responseBytes int) *index {
	return &index{keys: make(map[keyID]entry), responses: newResponseCache(responseBytes)}
}

// apply applies a batch of the journal.
func (x *index) apply(batch *claimpb.Batch) {
	for _, end := range batch.GetEnds() {
		x.applyEnd(end)
	}
	for _, c := range batch.GetClaims() {
		id := keyID(c.GetKey())
		x.keys[id] = newEntry(c)
		x.responses.set(id, c.GetAnswer())
	}
}

func (x *index) applyEnd(end *claimpb.End) {
	id := keyID(end.GetKey())
	e, ok := x.keys[id]
	if !ok || !e.endedBy(end) {
		return
	}
	if end.GetState() == claimpb.State_STATE_NOT_RUN {
		delete(x.keys, id)
		return
	}
	e.state = uint8(end.GetState())
	x.keys[id] = e
	x.responses.set(id, end.GetAnswer())
}

// prune deletes expired entries.
func (x *index) prune(nowMS, retentionMS int64) {
	for id, e := range x.keys {
		if e.expired(nowMS, retentionMS) {
			delete(x.keys, id)
			x.responses.set(id, nil)
		}
	}
	x.pruneRuns(nowMS, retentionMS)
}

// endedBy reports whether the end belongs to the attempt that holds the key and
// the attempt has not ended yet.
func (e entry) endedBy(end *claimpb.End) bool {
	return e.attempt == end.GetAttempt() && e.inState(claimpb.State_STATE_TAKEN)
}

func (e entry) inState(state claimpb.State) bool { return e.state == uint8(state) }

func newEntry(c *claimpb.Claim) entry {
	state := c.GetState()
	if state == claimpb.State_STATE_UNSPECIFIED {
		state = claimpb.State_STATE_TAKEN
	}
	return entry{
		fingerprint: [fingerprintBytes]byte(c.GetFingerprint()),
		attempt:     c.GetAttempt(),
		timeMS:      c.GetTimeMs(),
		maxRunMS:    uint32(min(c.GetRunningMs(), 1<<32-1)),
		state:       uint8(state),
	}
}

// expired reports whether the entry has exceeded the retention.
func (e entry) expired(nowMS, retentionMS int64) bool {
	return e.timeMS+retentionMS <= nowMS
}

// decide decides a claim of a key that has an entry. response is the stored
// response, or nil.
func (e entry) decide(c *claimpb.Claim, response *claimpb.Answer, nowMS int64) Decision {
	if !e.matches([fingerprintBytes]byte(c.GetFingerprint())) {
		return Decision{Verdict: Mismatch}
	}
	switch {
	case e.inState(claimpb.State_STATE_FINISHED) && response == nil:
		return Decision{Verdict: Finished}
	case e.inState(claimpb.State_STATE_FINISHED):
		return Decision{Verdict: Replay, Response: decodeResponse(response)}
	case e.inState(claimpb.State_STATE_TAKEN):
		return e.decideTaken(c.GetAttempt(), nowMS)
	default:
		return Decision{Verdict: Unknown}
	}
}

func (e entry) matches(fingerprint [fingerprintBytes]byte) bool {
	if e.compacted {
		return tagOf(e.fingerprint) == tagOf(fingerprint)
	}
	return e.fingerprint == fingerprint
}

// decideTaken returns Run again to the attempt that holds the key. That is safe
// because a nonce belongs to one call of Claim, so only that call uses the
// result.
func (e entry) decideTaken(attempt uint64, nowMS int64) Decision {
	if e.attempt == attempt {
		return Decision{Verdict: Run}
	}
	left := e.timeMS + int64(e.maxRunMS) - nowMS
	if left <= 0 {
		return Decision{Verdict: Unknown}
	}
	wait := min(time.Duration(left)*time.Millisecond, maxRetryAfter)
	return Decision{Verdict: InProgress, RetryAfter: wait}
}
