package claim

import (
	"context"
	"fmt"
	"time"
)

// Fingerprint identifies the content of a request: method, path, query and
// body.
type Fingerprint [32]byte

// Request asks for the right to run a keyed request.
type Request struct {
	// Key is the caller's Idempotency-Key, scoped by service.
	Service string
	Key     string
	// Fingerprint must equal that of an earlier claim of the key.
	Fingerprint Fingerprint
	// Attempt is unique for each request that an instance receives.
	Attempt string
}

// Verdict tells what a claim allows.
type Verdict int

// Verdicts of a claim.
const (
	// Run means the caller of Claim holds the key and may send once.
	Run Verdict = iota + 1
	// Replay means the request finished and its answer is attached.
	Replay
	// InProgress means another attempt holds the key and has not ended.
	InProgress
	// Unknown means an attempt may have run and its answer is lost.
	Unknown
	// Finished means the request ran to its end but its answer is not
	// kept.
	Finished
	// Mismatch means the key was used with another fingerprint.
	Mismatch
)

// Answer is a finished answer that is small enough to be kept.
type Answer struct {
	Status int
	// Header holds the answer's end-to-end headers.
	Header map[string][]string
	Body   []byte
}

// Decision is the outcome of a claim.
type Decision struct {
	Verdict Verdict
	// Answer is set for Replay.
	Answer *Answer
	// RetryAfter is set for InProgress.
	RetryAfter time.Duration
}

// EndState tells how a claimed attempt ended.
type EndState int

// End states of an attempt.
const (
	// EndNotRun frees the key: the request provably did not run.
	EndNotRun EndState = iota + 1
	// EndFinished keeps the key and, if present, the answer.
	EndFinished
	// EndUnknown keeps the key for good: the request may have run.
	EndUnknown
)

// Claimer claims keys. Implementations are safe for concurrent use.
type Claimer interface {
	// Claim decides whether the request may run. On error the request must
	// not be sent, and there is nothing to finish: a claim that may have been
	// recorded nevertheless is freed.
	Claim(ctx context.Context, req Request) (Decision, error)
	// Finish records the end of an attempt. It queues the record, does not
	// block, and is best effort: a lost record leaves the key taken.
	Finish(req Request, state EndState, answer *Answer)
}

// UnavailableError reports that no claim could be made now.
type UnavailableError struct {
	RetryAfter time.Duration
	Err        error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("claim: journal unavailable: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
