package claim

import (
	"context"
	"fmt"
	"time"
)

// Fingerprint is a hash of the content of a request: its service, method, path,
// query and body.
type Fingerprint [32]byte

// Request is a request for the right to run a request with an idempotency key.
type Request struct {
	// Key is the caller's Idempotency-Key. It is scoped by Service.
	Service string
	Key     string
	// Fingerprint must equal the fingerprint of any earlier claim of the
	// key.
	Fingerprint Fingerprint
	// Attempt is a name that is unique for each request an instance
	// receives.
	Attempt string
}

// Verdict is the result of a claim.
type Verdict int

// Verdicts of a claim.
const (
	// Run means that the caller of Claim now holds the key and may send the
	// request once.
	Run Verdict = iota + 1
	// Replay means that the request has finished and the decision contains
	// its response.
	Replay
	// InProgress means that another attempt holds the key and has not
	// ended.
	InProgress
	// Unknown means that an attempt may have run and its response is lost.
	Unknown
	// Finished means that the request has finished but no response is
	// stored for it.
	Finished
	// Mismatch means that the key was used with a different fingerprint.
	Mismatch
)

// Response is a complete response that is small enough to be stored for replay.
type Response struct {
	Status int
	// Header holds the end-to-end headers of the response.
	Header map[string][]string
	Body   []byte
}

// Decision is the result of a claim.
type Decision struct {
	Verdict Verdict
	// Response is set if Verdict is Replay.
	Response *Response
	// RetryAfter is set if Verdict is InProgress.
	RetryAfter time.Duration
}

// EndState is how a claimed attempt ended.
type EndState int

// End states of an attempt.
const (
	// EndNotRun releases the key: the request is known not to have run.
	EndNotRun EndState = iota + 1
	// EndFinished keeps the key claimed and stores the response, if there
	// is one.
	EndFinished
	// EndUnknown keeps the key claimed until it expires: the request may
	// have run.
	EndUnknown
)

// Claimer claims idempotency keys. Implementations are safe for concurrent use.
type Claimer interface {
	// Claim decides whether the request may run. On error the request must
	// not be sent and Finish need not be called: a claim that may have been
	// recorded despite the error is released.
	Claim(ctx context.Context, req Request) (Decision, error)
	// Finish records the end of an attempt. It queues the record and does
	// not block. Delivery is best effort: if the record is lost, the key
	// stays claimed.
	Finish(req Request, state EndState, response *Response)
}

// UnavailableError reports that no claim can be made at present. RetryAfter is
// how long the caller should wait before the next attempt.
type UnavailableError struct {
	RetryAfter time.Duration
	Err        error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("claim: journal unavailable: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
