// Package outcome defines the error responses that pomelolock generates itself, as
// opposed to those of backend servers, and the headers of requests and responses.
// Each error response states whether a backend server ran the request, so that the
// caller knows whether it is safe to repeat.
package outcome

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers of requests and responses.
const (
	// HeaderOutcome holds the [Outcome] of the request.
	HeaderOutcome = "Pomelolock-Outcome"
	// HeaderRequestID holds the ID of the request on all hops.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline holds the remaining time of the request in milliseconds, on
	// requests from callers and to backend servers.
	HeaderDeadline = "Request-Timeout-Ms"
	// HeaderIdempotencyKey holds the key of a request that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderCaller identifies the caller for fair queueing.
	HeaderCaller = "Caller-Id"
	// HeaderReplayed marks a stored response from the first run of a key.
	HeaderReplayed = "Idempotency-Replayed"
)

// Headers of responses of backend servers.
const (
	// HeaderLoad holds the load of the server as "in-flight/slots".
	HeaderLoad = "Server-Load"
	// HeaderDraining is "true" on every response of a draining server.
	HeaderDraining = "Server-Draining"
	// HeaderNotRun is "true" on a response to a request that the server certainly
	// did not run.
	HeaderNotRun = "Server-Not-Run"
)

// Outcome states whether a backend server ran a request.
type Outcome string

// Outcomes.
const (
	// NotRun means that no backend server ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
	// Ran means that a backend server ran the request to its end.
	Ran Outcome = "ran"
)

// Code is the reason of an error response.
type Code string

// Codes.
const (
	CodeBadRequest      Code = "bad_request"
	CodeNoRoute         Code = "no_route"
	CodeNotReady        Code = "not_ready"
	CodeOverload        Code = "overload"
	CodeNoServer        Code = "no_server"
	CodeDeadline        Code = "deadline"
	CodeBodyTooLarge    Code = "body_too_large"
	CodeKeyRequired     Code = "key_required"
	CodeKeyMismatch     Code = "key_mismatch"
	CodeKeyInProgress   Code = "key_in_progress"
	CodeKeyFinished     Code = "key_finished"
	CodeKeyUnknown      Code = "key_unknown"
	CodeClaimsDown      Code = "claims_unavailable"
	CodeServerFailed    Code = "server_failed"
	CodeServerUnreached Code = "server_unreached"
	CodeCrashesServers  Code = "crashes_servers"
	CodeHeldBack        Code = "held_back"
	CodeOverCap         Code = "over_cap"
	CodeCallerGone      Code = "caller_gone"
	CodeStopping        Code = "stopping"
	// CodeUnauthorized means that the request has no key of a workspace, CodeTableStale
	// that the instance can't judge its key because its table may not be the newest.
	CodeUnauthorized Code = "unauthorized"
	CodeTableStale   Code = "table_stale"
)

// Error is a failed request, to which pomelolock sends an error response.
type Error struct {
	Outcome Outcome
	Status  int
	Code    Code
	Detail  string
	// RetryAfter is the delay after which a retry may succeed; zero if there is
	// none.
	RetryAfter time.Duration
	Err        error
}

func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Outcome, e.Detail, e.Err)
	}
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Quarantined returns the error for a request whose content was lost with servers that crashed:
// confirmed if it crashes the servers that run it, otherwise held back until more is known.
func Quarantined(confirmed bool, retryAfter time.Duration) *Error {
	if !confirmed {
		return &Error{
			Outcome: NotRun, Status: http.StatusServiceUnavailable, Code: CodeHeldBack,
			Detail: "servers that ran the same request were lost, and its trial has not ended", RetryAfter: retryAfter,
		}
	}
	return &Error{
		Outcome: NotRun, Status: http.StatusUnprocessableEntity, Code: CodeCrashesServers,
		Detail: "the same request crashed backend servers", RetryAfter: retryAfter,
	}
}

type body struct {
	Outcome      Outcome `json:"outcome"`
	Code         Code    `json:"code"`
	Detail       string  `json:"detail"`
	RequestID    string  `json:"request_id"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
}

// Write sends the error as a complete response with a JSON body. The Retry-After
// header is in seconds, rounded up.
func (e *Error) Write(w http.ResponseWriter, requestID string) error {
	data, err := json.Marshal(body{
		Outcome:      e.Outcome,
		Code:         e.Code,
		Detail:       e.Detail,
		RequestID:    requestID,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	})
	if err != nil {
		return fmt.Errorf("encode response: %w", err)
	}
	data = append(data, '\n')
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(data)))
	header.Set(HeaderOutcome, string(e.Outcome))
	header.Set(HeaderRequestID, requestID)
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	_, err = w.Write(data)
	return err
}
